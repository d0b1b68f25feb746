// Package entry implements the process that accepts callers' requests. It classifies requests, chooses targets,
// sends attempts to the targets' sidecars and assembles the responses. The decisions are made by the core packages.
package entry
