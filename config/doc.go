// Package samples embeds the sample configuration files.
package samples
