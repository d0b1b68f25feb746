// Package operator implements the commands of the operators' client, such as changes
// of presets, announcements of leaving instances, status, reports and checks of files.
//
// A command exits with 0 on success, 1 on failure, 2 on invalid arguments, and 3 if
// another operator's change was accepted first. A burn report exits with 10 or 11 if
// it contains an alert.
package operator
