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
			if !r.gossips.Until(ctx, at) {
				return
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		r.round(ctx)
	}
}

// round speaks to a few peers at once; a dead one costs its timeout, no more.
func (r *Runner) round(ctx context.Context) {
	known := r.instances()
	aging := r.list != nil && r.list.Aging()
	r.mu.Lock()
	now := r.timers.Now()
	chosen := r.gossip.Start(now, known)
	if aging {
		r.gossip.Hurry(now)
	}
	ask := r.ask
	r.ask = waxwingpick.Instance{}
	r.mu.Unlock()
	chosen = withPeer(chosen, known, ask)
	var wg conc.WaitGroup
	for _, peer := range chosen {
		wg.Go(func() {
			r.exchange(ctx, peer)
		})
	}
	wg.Wait()
}

func (r *Runner) exchange(ctx context.Context, peer waxwingpick.Instance) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.converse(ctx, peer); err != nil {
		r.log.WithError(err).WithField("peer", peer.ID).Debug("exchange with a peer failed")
		return
	}
	r.mu.Lock()
	r.gossip.Answered(peer.ID)
	r.mu.Unlock()
}

func (r *Runner) converse(ctx context.Context, peer waxwingpick.Instance) error {
	r.mu.Lock()
	hello := r.store.Hello(r.self.ID)
	r.mu.Unlock()
	asked := r.timers.Now()
	r.offerList(&hello)
	answer, err := r.peers.Exchange(ctx, peer, hello)
	if err != nil {
		return err
	}
	if err := r.takeList(asked, answer); errors.Is(err, instances.ErrOutdated) {
		r.log.WithError(err).WithField("peer", peer.ID).Debug("list of a peer not taken")
	} else if err != nil {
		r.log.WithError(err).WithField("peer", peer.ID).Warn("refused the list of a peer")
	}
	r.mu.Lock()
	msg, more := r.store.Reply(r.self.ID, answer)
	r.mu.Unlock()
	if !more {
		return nil
	}
	answer, err = r.peers.Exchange(ctx, peer, msg)
	if err != nil {
		return err
	}
	r.mu.Lock()
	news, err := r.store.Finish(answer)
	r.mu.Unlock()
	r.taken(news)
	return err
}
