package spread

import (
	"errors"

	"waxwingpick"
)

// MaxRecords bounds the records that one message names.
const MaxRecords = 256

// Hello returns the message that opens an exchange.
func (s *Store) Hello(self waxwingpick.InstanceID) waxwingpick.PeerMessage {
	return waxwingpick.PeerMessage{
		From: self,
		Sum:  s.sum,
	}
}

// Handle takes a message of another process and returns the answer, whether a newer record was taken, and what was
// refused.
func (s *Store) Handle(self waxwingpick.InstanceID, msg waxwingpick.PeerMessage) (answer waxwingpick.PeerMessage, news bool, err error) {
	news, err = s.takeAll(msg.Bodies)
	answer = s.Hello(self)
	opening := len(msg.Digest)+len(msg.Pull)+len(msg.Bodies) == 0
	if opening && msg.Sum != s.sum {
		answer.Digest = s.Digest()
		return answer, news, err
	}
	answer.Bodies = s.bodies(msg.Pull)
	return answer, news, err
}

// Reply returns the message that follows an answer to Hello; ok is false where nothing is left to say.
func (s *Store) Reply(self waxwingpick.InstanceID, answer waxwingpick.PeerMessage) (msg waxwingpick.PeerMessage, ok bool) {
	if answer.Sum == s.sum {
		return waxwingpick.PeerMessage{}, false
	}
	behind, ahead := s.compare(bounded(answer.Digest))
	msg = s.Hello(self)
	msg.Bodies = s.bodies(behind)
	msg.Pull = ahead
	return msg, len(msg.Bodies)+len(msg.Pull) > 0
}

// Finish takes the answer to Reply, and reports whether a newer record was taken.
func (s *Store) Finish(answer waxwingpick.PeerMessage) (news bool, err error) {
	return s.takeAll(answer.Bodies)
}

func (s *Store) takeAll(bodies []waxwingpick.RecordBody) (news bool, err error) {
	var errs []error
	for _, b := range bounded(bodies) {
		taken, err := s.take(b)
		news = news || taken
		errs = append(errs, err)
	}
	return news, errors.Join(errs...)
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
