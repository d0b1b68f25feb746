package waxwingpick

import (
	"context"

	"github.com/rotisserie/eris"
)

// ErrPeerUnreachable means that another process of the system did not respond.
var ErrPeerUnreachable = eris.New("peer unreachable")

// RecordRevision is the accepted revision of a record that a process holds.
type RecordRevision struct {
	// Key is the record's key in the key-value service.
	Key string `json:"key"`
	// Revision is the key's modification revision; zero if the process does not hold the record.
	Revision int64 `json:"revision"`
}

// RecordBody carries one accepted revision of a record, complete or as a delta.
type RecordBody struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	// Base is the revision that Data was compressed against; zero if Data is complete.
	Base int64 `json:"base,omitempty"`
	// Sum is the XXH64 of the uncompressed body.
	Sum uint64 `json:"sum,string"`
	// Data is the compressed body.
	Data []byte `json:"data"`
}

// ListStatus identifies the version of the platform's list that a process holds.
type ListStatus struct {
	// Unknown means that the process holds no list.
	Unknown bool `json:"unknown,omitempty"`
	// Sum is the hash of the list.
	Sum uint64 `json:"sum,string"`
	// AgeMillis is a lower bound on the time since the list was read from the platform.
	AgeMillis int64 `json:"ageMillis"`
}

// ListChanges is the difference between two versions of the platform's list.
type ListChanges struct {
	// Base is the hash of the list that the changes apply to.
	Base uint64 `json:"base,omitempty,string"`
	// Complete means that Rows is the complete list.
	Complete bool `json:"whole,omitempty"`
	// Rows holds the added and changed rows. Removed holds the IDs of the removed ones.
	Rows    []Instance   `json:"rows,omitempty"`
	Removed []InstanceID `json:"removed,omitempty"`
}

// PeerMessage is a message between two processes of the system. Every part is optional.
type PeerMessage struct {
	// From identifies the sending process.
	From InstanceID `json:"from"`
	// Sum is the hash of the sender's record revisions. Equal sums mean equal records.
	Sum uint64 `json:"sum,string"`
	// Digest lists the sender's revisions; it is set in the response to a different sum.
	Digest []RecordRevision `json:"digest,omitempty"`
	// Pull requests records that are newer than the listed revisions.
	Pull []RecordRevision `json:"pull,omitempty"`
	// Bodies carries records that the receiver lacks.
	Bodies []RecordBody `json:"bodies,omitempty"`
	// Control is the sender's address, for a receiver whose copy of the platform's list lacks the sender.
	Control string `json:"control,omitempty"`
	// List identifies the sender's version of the platform's list.
	List *ListStatus `json:"list,omitempty"`
	// ListChanges updates the receiver's reported version of the list to the sender's.
	ListChanges *ListChanges `json:"listChanges,omitempty"`
}

// Peers is the client interface to the other processes of the system.
type Peers interface {
	// Exchange sends a message to the process on an instance and returns its response. It fails with ErrPeerUnreachable.
	Exchange(ctx context.Context, instance Instance, msg PeerMessage) (PeerMessage, error)
}

// PeerHandler handles the messages of other processes.
type PeerHandler interface {
	// HandleExchange processes a message and returns the response.
	HandleExchange(ctx context.Context, msg PeerMessage) (PeerMessage, error)
}
