// Package yaml reads the operators' YAML files strictly: settings files of the
// daemons and configuration files.
//
// A file is read whole or not at all. Unknown and duplicate fields, anchors and
// aliases, several documents, values of the wrong type and values outside their
// bounds are all reported at once, each with file, line and field. A file's size
// and depth are bounded before it is decoded.
package yaml
