package etcdwire

// The paths of the gateway.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// The gRPC status codes in errors of the gateway.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeUnavailable       = 14
)

// The messages of errors that their code alone does not identify.
const (
	MessageNoLeader        = "etcdserver: no leader"
	MessageTooManyRequests = "etcdserver: too many requests"
	MessageLeaseNotFound   = "etcdserver: requested lease not found"
	MessageTooLarge        = "etcdserver: request is too large"
)

// Targets and results of a comparison.
const (
	TargetMod    = "MOD"
	TargetCreate = "CREATE"
	ResultEqual  = "EQUAL"
)

// Header is part of every response.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is a key with its value.
type KeyValue struct {
	Key            []byte `json:"key"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads a key, or the keys from Key up to but not including RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
	// MinModRevision omits keys whose last write has a lower revision. Zero omits none.
	MinModRevision int64 `json:"min_mod_revision,string,omitempty"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// Compare is a condition of a transaction.
type Compare struct {
	Result         string `json:"result,omitempty"`
	Target         string `json:"target"`
	Key            []byte `json:"key"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRangeRequest deletes a key.
type DeleteRangeRequest struct {
	Key []byte `json:"key"`
}

// RequestOp is an operation of a transaction.
type RequestOp struct {
	RequestPut         *PutRequest         `json:"request_put,omitempty"`
	RequestDeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest runs the Success operations if every comparison succeeds.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []RequestOp `json:"success"`
}

// PutResponse is the response to a PutRequest.
type PutResponse struct {
	Header Header `json:"header"`
}

// DeleteRangeResponse is the response to a DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  Header `json:"header"`
	Deleted int64  `json:"deleted,string,omitempty"`
}

// ResponseOp is the response to a RequestOp.
type ResponseOp struct {
	ResponsePut         *PutResponse         `json:"response_put,omitempty"`
	ResponseDeleteRange *DeleteRangeResponse `json:"response_delete_range,omitempty"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// Lease is the request of grant, keep-alive and revoke, and the response of the first two. TTL is in seconds.
type Lease struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// KeepAliveResponse is a message of the keep-alive stream.
type KeepAliveResponse struct {
	Result Lease `json:"result"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	CreateRequest RangeRequest `json:"create_request"`
}

// Event is a change of a key. An empty Type means a put.
type Event struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// WatchResult is the result in a message of a watch stream.
type WatchResult struct {
	Header   Header  `json:"header"`
	Created  bool    `json:"created,omitempty"`
	Canceled bool    `json:"canceled,omitempty"`
	Events   []Event `json:"events,omitempty"`
}

// WatchResponse is a message of a watch stream.
type WatchResponse struct {
	Result WatchResult `json:"result"`
	Error  *Status     `json:"error,omitempty"`
}

// Status is an error of the gateway.
type Status struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// PrefixEnd returns the RangeEnd for all keys with the prefix.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
