package records

import (
	"context"
	"errors"

	"github.com/sourcegraph/conc"

	"waxwingpick"
	"waxwingpick/core/instances"
)

func (r *Runner) runGossip(ctx context.Context) {
	for {
		r.mu.Lock()
		at := r.gossip.Round()
		r.mu.Unlock()
		if r.timers.Now().Before(at) {
			if !r.gossipSleeper.Until(ctx, at) {
				return
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		r.runRound(ctx)
	}
}

// runRound exchanges records with a few peers concurrently. An unresponsive peer delays the round by at most its timeout.
func (r *Runner) runRound(ctx context.Context) {
	listed := r.instances()
	aging := r.list != nil && r.list.Aging()
	r.mu.Lock()
	now := r.timers.Now()
	selected := r.gossip.Start(now, listed)
	if aging {
		r.gossip.Expedite(now)
	}
	pending := r.pendingPeer
	r.pendingPeer = waxwingpick.Instance{}
	r.mu.Unlock()
	selected = addPeer(selected, listed, pending)
	var wg conc.WaitGroup
	for _, peer := range selected {
		wg.Go(func() {
			r.exchange(ctx, peer)
		})
	}
	wg.Wait()
}

func (r *Runner) exchange(ctx context.Context, peer waxwingpick.Instance) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.syncWith(ctx, peer); err != nil {
		r.log.WithError(err).WithField("peer", peer.ID).Debug("exchange with a peer failed")
		return
	}
	r.mu.Lock()
	r.gossip.Exchanged(peer.ID)
	r.mu.Unlock()
}

func (r *Runner) syncWith(ctx context.Context, peer waxwingpick.Instance) error {
	r.mu.Lock()
	hello := r.store.Hello(r.self.ID)
	r.mu.Unlock()
	requestedAt := r.timers.Now()
	r.addListStatus(&hello)
	response, err := r.peers.Exchange(ctx, peer, hello)
	if err != nil {
		return err
	}
	if err := r.applyList(requestedAt, response); errors.Is(err, instances.ErrOutdated) {
		r.log.WithError(err).WithField("peer", peer.ID).Debug("ignored outdated list of a peer")
	} else if err != nil {
		r.log.WithError(err).WithField("peer", peer.ID).Warn("rejected list of a peer")
	}
	r.mu.Lock()
	msg, more := r.store.Reply(r.self.ID, response)
	r.mu.Unlock()
	if !more {
		return nil
	}
	response, err = r.peers.Exchange(ctx, peer, msg)
	if err != nil {
		return err
	}
	r.mu.Lock()
	updated, err := r.store.Finish(response)
	r.mu.Unlock()
	r.recordsUpdated(updated)
	return err
}
