//go:build !race

package config_test

const ciRuns = 340
