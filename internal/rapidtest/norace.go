//go:build !race

package rapidtest

const raceDivisor = 1
