// Package flood is a stand-in of a target in trouble that sends bytes without end.
package flood
