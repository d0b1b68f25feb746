package waxwingpick

// KeyValueCall is a method of the key-value service.
type KeyValueCall uint8

// The methods of the key-value service.
const (
	CallGet KeyValueCall = iota
	CallList
	CallSwap
	CallDelete
	CallGrant
	CallKeepAlive
	CallRevoke
	CallWatch
)

// KeyValueCalls returns every method.
func KeyValueCalls() []KeyValueCall {
	return []KeyValueCall{CallGet, CallList, CallSwap, CallDelete, CallGrant, CallKeepAlive, CallRevoke, CallWatch}
}

// String returns the name used in metrics and admin calls.
func (c KeyValueCall) String() string {
	switch c {
	case CallGet:
		return "get"
	case CallList:
		return "list"
	case CallSwap:
		return "swap"
	case CallDelete:
		return "delete"
	case CallGrant:
		return "grant"
	case CallKeepAlive:
		return "keepAlive"
	case CallRevoke:
		return "revoke"
	case CallWatch:
		return "watch"
	}
	return "unknown"
}

// Writes reports whether the call changes the service's state, so that a lost response leaves its outcome unknown.
func (c KeyValueCall) Writes() bool {
	switch c {
	case CallGet, CallList, CallWatch:
		return false
	case CallSwap, CallDelete, CallGrant, CallKeepAlive, CallRevoke:
		return true
	}
	return false
}
