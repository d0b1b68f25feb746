// Package jsonlines writes log lines as JSON to a stream that may block, such as a pipe to a log collector. Writers never
// block: lines are buffered up to a limit for each class, and lines beyond it are dropped and counted.
package jsonlines
