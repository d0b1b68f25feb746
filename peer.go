package waxwingpick

import (
	"context"

	"github.com/rotisserie/eris"
)

// ErrPeerUnreachable says that another process of the system did not answer.
var ErrPeerUnreachable = eris.New("peer unreachable")

// RecordRevision says which accepted revision of a record a process holds.
type RecordRevision struct {
	// Key is the record's key in the key-value service.
	Key string `json:"key"`
	// Revision is the key's modification revision; zero where the process holds none.
	Revision int64 `json:"revision"`
}

// RecordBody carries one accepted revision of a record, whole or as a delta.
type RecordBody struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	// Base is the revision that Data was compressed against; zero where Data stands alone.
	Base int64 `json:"base,omitempty"`
	// Sum is the xxhash of the uncompressed body.
	Sum uint64 `json:"sum,string"`
	// Data is the compressed body.
	Data []byte `json:"data"`
}

// ListStatus tells which state of the platform's list a process holds.
type ListStatus struct {
	// Unknown says that the process holds no list.
	Unknown bool `json:"unknown,omitempty"`
	// Sum is the hash of the list.
	Sum uint64 `json:"sum,string"`
	// AgeMillis is the time since the platform was asked for the list, at least.
	AgeMillis int64 `json:"ageMillis"`
}

// ListChanges carries the difference between two states of the platform's list.
type ListChanges struct {
	// Base is the hash of the list that the changes are made to.
	Base uint64 `json:"base,omitempty,string"`
	// Whole says that Rows is the whole list.
	Whole bool `json:"whole,omitempty"`
	// Rows holds the new and the changed rows, Removed names those that are gone.
	Rows    []Instance   `json:"rows,omitempty"`
	Removed []InstanceID `json:"removed,omitempty"`
}

// PeerMessage is one message between two processes of the system; each part may be absent.
type PeerMessage struct {
	// From names the sending process.
	From InstanceID `json:"from"`
	// Sum is the hash over the sender's revisions; equal sums mean equal records.
	Sum uint64 `json:"sum,string"`
	// Digest lists the sender's revisions, with the answer to a differing sum.
	Digest []RecordRevision `json:"digest,omitempty"`
	// Pull asks for newer records than the listed revisions.
	Pull []RecordRevision `json:"pull,omitempty"`
	// Bodies carries records that the receiver lacks.
	Bodies []RecordBody `json:"bodies,omitempty"`
	// Control is the sender's address, for a receiver that does not know it from the platform's list.
	Control string `json:"control,omitempty"`
	// List tells the sender's state of the platform's list.
	List *ListStatus `json:"list,omitempty"`
	// ListChanges leads to the sender's list from the one that the receiver told of.
	ListChanges *ListChanges `json:"listChanges,omitempty"`
}

// Peers is the port to the other processes of the system.
type Peers interface {
	// Exchange sends a message to the process on an instance and returns its answer; it fails with ErrPeerUnreachable.
	Exchange(ctx context.Context, instance Instance, msg PeerMessage) (PeerMessage, error)
}

// PeerHandler answers the messages of other processes.
type PeerHandler interface {
	// HandleExchange takes a message and returns the answer to it.
	HandleExchange(ctx context.Context, msg PeerMessage) (PeerMessage, error)
}
