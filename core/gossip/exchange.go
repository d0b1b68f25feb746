package gossip

import (
	"errors"

	"waxwingpick"
)

// MaxRecords is the maximum number of records in one message.
const MaxRecords = 256

// Hello returns the message that opens an exchange.
func (s *Store) Hello(self waxwingpick.InstanceID) waxwingpick.PeerMessage {
	return waxwingpick.PeerMessage{
		From: self,
		Sum:  s.sum,
	}
}

// Handle processes a message of another process. It returns the response, whether a newer record was accepted, and
// the errors of rejected records.
func (s *Store) Handle(self waxwingpick.InstanceID, msg waxwingpick.PeerMessage) (response waxwingpick.PeerMessage, updated bool, err error) {
	updated, err = s.receiveAll(msg.Bodies)
	response = s.Hello(self)
	opening := len(msg.Digest)+len(msg.Pull)+len(msg.Bodies) == 0
	if opening && msg.Sum != s.sum {
		response.Digest = s.Digest()
		return response, updated, err
	}
	response.Bodies = s.bodies(msg.Pull)
	return response, updated, err
}

// Reply returns the message that follows the response to Hello. It returns false if both sides have equal records.
func (s *Store) Reply(self waxwingpick.InstanceID, response waxwingpick.PeerMessage) (msg waxwingpick.PeerMessage, ok bool) {
	if response.Sum == s.sum {
		return waxwingpick.PeerMessage{}, false
	}
	behind, ahead := s.compare(bounded(response.Digest))
	msg = s.Hello(self)
	msg.Bodies = s.bodies(behind)
	msg.Pull = ahead
	return msg, len(msg.Bodies)+len(msg.Pull) > 0
}

// Finish processes the response to Reply, and reports whether a newer record was accepted.
func (s *Store) Finish(response waxwingpick.PeerMessage) (updated bool, err error) {
	return s.receiveAll(response.Bodies)
}

func (s *Store) receiveAll(bodies []waxwingpick.RecordBody) (updated bool, err error) {
	var errs []error
	for _, b := range bounded(bodies) {
		accepted, err := s.receive(b)
		updated = updated || accepted
		errs = append(errs, err)
	}
	return updated, errors.Join(errs...)
}

func (s *Store) bodies(held []waxwingpick.RecordRevision) []waxwingpick.RecordBody {
	var bodies []waxwingpick.RecordBody
	for _, h := range bounded(held) {
		if b, ok := s.body(h.Key, h.Revision); ok {
			bodies = append(bodies, b)
		}
	}
	return bodies
}

func bounded[T any](list []T) []T {
	return list[:min(len(list), MaxRecords)]
}
