// Package rawhttp provides tests with HTTP messages as bytes, which a server or a client might interpret in place of forwarding them.
package rawhttp
