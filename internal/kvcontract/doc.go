// Package kvcontract checks implementations of the key-value port against one model of what the port promises.
package kvcontract
