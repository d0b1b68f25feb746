// Package yaml strictly decodes YAML files of operators: settings files of the
// daemons and configuration files.
//
// A file is decoded completely or not at all. Unknown and duplicate fields,
// anchors and aliases, multiple documents, values of the wrong type and values
// out of range are all reported at once, each with file, line and field. The
// size and nesting depth of a file are limited before it is parsed.
package yaml
