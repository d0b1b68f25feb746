package gateway

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/sendgate"
)

// maxAsks bounds the asks for tokens of one choice of targets. Each delays the request by a round trip between gateways.
const maxAsks = 2

// placed is the result of one choice of targets.
type placed struct {
	selection
	verdict waxwingpick.Verdict
	// ask is the target whose limit's owner is to be asked for a token before the next choice; none otherwise.
	ask waxwingpick.Option[waxwingpick.TargetID]
}

// place selects targets until the gate admits the next send. choose returns its choice among the targets that are not
// blocked, and the target that receives the next send.
func place[T any](now time.Time, st *statements, mayAsk bool, choose func(blocked waxwingpick.Set[waxwingpick.TargetID]) (T, waxwingpick.TargetID, waxwingpick.Verdict)) (T, placed) {
	blocked := st.blocked(now, mayAsk)
	for {
		choice, next, verdict := choose(blocked)
		p := placed{
			verdict: verdict,
		}
		switch verdict {
		case waxwingpick.VerdictPlaced:
			switch st.take(now, next) {
			case sendgate.AdmissionTaken:
				return choice, p
			case sendgate.AdmissionAsk:
				if mayAsk {
					p.verdict = waxwingpick.VerdictBlocked
					p.ask = waxwingpick.Some(next)
					return choice, p
				}
				blocked.Add(next)
			case sendgate.AdmissionRefused:
				blocked.Add(next)
			}
		case waxwingpick.VerdictNone:
			if blocked.Len() > 0 {
				if _, _, open := choose(waxwingpick.NewSet[waxwingpick.TargetID]()); open != waxwingpick.VerdictNone {
					p.verdict = waxwingpick.VerdictBlocked
				}
			}
			return choice, p
		case waxwingpick.VerdictLate, waxwingpick.VerdictBlocked:
			return choice, p
		}
	}
}

// placeWithAsks repeats a choice of targets after asks for tokens.
func (x *exchange) placeWithAsks(choose func(now time.Time, mayAsk bool) placed) placed {
	for asks := 0; ; asks++ {
		p := choose(x.process.timers.Now(), asks < maxAsks)
		id, ok := p.ask.Get()
		if !ok {
			return p
		}
		x.process.statements.ask(x.ctx, id)
	}
}
