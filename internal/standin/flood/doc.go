// Package flood is a stand-in for a faulty target that sends an endless response.
package flood
