// Package kvcontract checks implementations of waxwingpick.KeyValue against a model of its contract.
package kvcontract
