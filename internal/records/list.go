package records

import (
	"fmt"
	"slices"
	"time"

	"waxwingpick"
)

// offerList tells in the opening message which list the process holds, so that the answer carries what it lacks.
func (r *Runner) offerList(hello *waxwingpick.PeerMessage) {
	if r.list == nil {
		return
	}
	status := r.list.Status()
	hello.List = &status
	hello.Control = r.self.Control
}

// answerList adds to an answer what the other process lacks of the list. A younger list of the other process is asked
// for in turn, as only who asks can tell how old an answer may be.
func (r *Runner) answerList(msg waxwingpick.PeerMessage, answer *waxwingpick.PeerMessage) {
	if r.list == nil || msg.List == nil {
		return
	}
	status, changes := r.list.Answer(*msg.List)
	answer.List = &status
	answer.ListChanges = changes
	if !r.list.Newer(*msg.List) {
		return
	}
	r.mu.Lock()
	r.ask = waxwingpick.Instance{
		ID:      msg.From,
		Control: msg.Control,
	}
	r.gossip.Differs(r.timers.Now())
	r.mu.Unlock()
	r.gossips.Notify()
}

func (r *Runner) takeList(asked time.Time, answer waxwingpick.PeerMessage) error {
	if r.list == nil || answer.List == nil {
		return nil
	}
	if err := r.list.Take(asked, *answer.List, answer.ListChanges); err != nil {
		return fmt.Errorf("take list: %w", err)
	}
	return nil
}

// listChanged lets the next rounds come soon, so that others hear of the change.
func (r *Runner) listChanged() {
	r.mu.Lock()
	r.gossip.News(r.timers.Now())
	r.mu.Unlock()
	r.gossips.Notify()
}

// withPeer adds a peer to those that are chosen, under the address of the platform's list where that has one.
func withPeer(chosen, known []waxwingpick.Instance, peer waxwingpick.Instance) []waxwingpick.Instance {
	byID := func(i waxwingpick.Instance) bool {
		return i.ID == peer.ID
	}
	if peer.ID == "" || slices.ContainsFunc(chosen, byID) {
		return chosen
	}
	if i := slices.IndexFunc(known, byID); i >= 0 {
		peer = known[i]
	}
	if peer.Control == "" {
		return chosen
	}
	return append(chosen, peer)
}
