package records

import (
	"fmt"
	"slices"
	"time"

	"waxwingpick"
)

// addListStatus adds the status of the process's list to the opening message, so that the response contains the missing
// changes.
func (r *Runner) addListStatus(hello *waxwingpick.PeerMessage) {
	if r.list == nil {
		return
	}
	status := r.list.Status()
	hello.List = &status
	hello.Control = r.self.Control
}

// addListChanges adds the list changes that the peer lacks to a response. If the peer's list is younger, an exchange with
// the peer is scheduled, because only the requester can bound the age of a response.
func (r *Runner) addListChanges(msg waxwingpick.PeerMessage, response *waxwingpick.PeerMessage) {
	if r.list == nil || msg.List == nil {
		return
	}
	status, changes := r.list.ChangesFor(*msg.List)
	response.List = &status
	response.ListChanges = changes
	if !r.list.Newer(*msg.List) {
		return
	}
	r.mu.Lock()
	r.pendingPeer = waxwingpick.Instance{
		ID:      msg.From,
		Control: msg.Control,
	}
	r.gossip.Differs(r.timers.Now())
	r.mu.Unlock()
	r.gossipSleeper.Notify()
}

func (r *Runner) applyList(requestedAt time.Time, response waxwingpick.PeerMessage) error {
	if r.list == nil || response.List == nil {
		return nil
	}
	if err := r.list.Apply(requestedAt, *response.List, response.ListChanges); err != nil {
		return fmt.Errorf("apply list: %w", err)
	}
	return nil
}

// listChanged brings the next gossip rounds forward, so that other processes receive the change.
func (r *Runner) listChanged() {
	r.mu.Lock()
	r.gossip.Updated(r.timers.Now())
	r.mu.Unlock()
	r.gossipSleeper.Notify()
}

// addPeer adds a peer to the selected ones, preferring its address in the platform's list.
func addPeer(selected, listed []waxwingpick.Instance, peer waxwingpick.Instance) []waxwingpick.Instance {
	byID := func(i waxwingpick.Instance) bool {
		return i.ID == peer.ID
	}
	if peer.ID == "" || slices.ContainsFunc(selected, byID) {
		return selected
	}
	if i := slices.IndexFunc(listed, byID); i >= 0 {
		peer = listed[i]
	}
	if peer.Control == "" {
		return selected
	}
	return append(selected, peer)
}
