// Package bodyend decides whether a response that states neither its length nor its last chunk is complete. The kernel closes
// the connections of a crashed process in order, as the process itself does after a complete response.
package bodyend
