//go:build race

package config_test

// ciRuns is smaller under the race detector, which has one thread to watch here.
const ciRuns = 40
