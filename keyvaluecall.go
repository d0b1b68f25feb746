package waxwingpick

// KeyValueCall is a kind of call to the key-value service.
type KeyValueCall uint8

// The kinds of calls to the key-value service.
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

// KeyValueCalls lists every kind of call.
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

// Writes reports whether the call changes the service's state, so that a lost answer leaves its outcome unknown.
func (c KeyValueCall) Writes() bool {
	switch c {
	case CallGet, CallList, CallWatch:
		return false
	case CallSwap, CallDelete, CallGrant, CallKeepAlive, CallRevoke:
		return true
	}
	return false
}
