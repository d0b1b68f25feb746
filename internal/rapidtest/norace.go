//go:build !race

package rapidtest

const watchedShare = 1
