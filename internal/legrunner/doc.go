// Package legrunner carries out the steps of a request on two engines: it calls
// the engines and tells the machine of package legs what came of it.
package legrunner
