package ledger

import (
	"strconv"
	"sync"
	"time"
)

// guardShard remembers the attempts of one part of the ID space.
type guardShard struct {
	mu     sync.Mutex
	window int64
	// forgotten is the newest window of which an attempt was forgotten, below zero where none was.
	forgotten int64
	// closed is the newest window that admits nothing more, because a refusal could not be remembered.
	closed  int64
	records map[string]*guardRecord
	// order holds the records by window, oldest first; a window is at most one behind the newest when it is added.
	order []*guardRecord
	// answered holds the records with answers, first finished first.
	answered []*guardRecord
}

type guardRecord struct {
	id       string
	window   int64
	standing Standing
	started  bool
	answer   *Answer
	// answeredAt is the newest window that the shard had seen when the attempt was answered.
	answeredAt int64
	// held is the room that the attempt has for its answer, or that the answer takes, in bytes.
	held int
}

func (s *guardShard) add(id string, window int64, standing Standing) *guardRecord {
	r := &guardRecord{
		id:       id,
		window:   window,
		standing: standing,
	}
	s.records[id] = r
	s.order = append(s.order, r)
	return r
}

// advance moves the shard to the window of now, forgets what is too old and returns the window;
// the window never falls, so a late reading of the clock can't admit what was refused.
func (s *guardShard) advance(g *Guard, now time.Time) int64 {
	s.window = max(s.window, g.windowAt(now))
	for s.forgetOldest(&g.answers, s.window-g.keptWindows) {
	}
	return s.window
}

// admits reports whether attempts of a window are admitted; once they are not, they never are again.
func (s *guardShard) admits(window, current int64) bool {
	return window > current-admittedWindows && window > s.closed
}

// room reports whether another attempt can be remembered; where need be, it forgets early what is too old to be admitted.
func (s *guardShard) room(g *Guard) bool {
	for len(s.records) >= g.maxAttempts {
		if !s.forgetOldest(&g.answers, s.window-admittedWindows) {
			return false
		}
	}
	return true
}

// makeRoom drops answers until an attempt's reserve fits or none may be dropped.
func (s *guardShard) makeRoom(g *Guard, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(g, now)
	for !g.answers.fits(g.reserve) {
		if !s.dropOldest(&g.answers) {
			return
		}
	}
}

// forgetOldest forgets the oldest attempt if it is settled and of the given window or before.
func (s *guardShard) forgetOldest(room *answerRoom, newest int64) bool {
	if len(s.order) == 0 || s.order[0].window > newest || !s.order[0].settled() {
		return false
	}
	s.forget(room, s.order[0])
	s.order[0] = nil
	s.order = s.order[1:]
	return true
}

func (s *guardShard) forget(room *answerRoom, r *guardRecord) {
	delete(s.records, r.id)
	s.forgotten = max(s.forgotten, r.window)
	s.dropAnswer(room, r)
	for len(s.answered) > 0 && s.answered[0].answer == nil {
		s.answered[0] = nil
		s.answered = s.answered[1:]
	}
}

// finish keeps the answer where it has room, for which older answers may make way.
func (s *guardShard) finish(room *answerRoom, r *guardRecord, answer *Answer) {
	more := answer.size() - r.held
	for !room.reserve(more) {
		if !s.dropOldest(room) {
			s.settle(room, r, StandingLost)
			return
		}
	}
	r.held += more
	r.answeredAt = s.window
	r.standing = StandingAnswered
	r.answer = answer
	s.answered = append(s.answered, r)
}

// settle ends an attempt that has no answer to keep.
func (s *guardShard) settle(room *answerRoom, r *guardRecord, standing Standing) {
	r.standing = standing
	room.release(r.held)
	r.held = 0
}

// dropOldest drops the answer that was finished first, if the window of that time admits nothing any more.
func (s *guardShard) dropOldest(room *answerRoom) bool {
	if len(s.answered) == 0 || s.answered[0].answeredAt > s.window-admittedWindows {
		return false
	}
	s.dropAnswer(room, s.answered[0])
	s.answered[0] = nil
	s.answered = s.answered[1:]
	return true
}

// dropAnswer drops a kept answer; that the attempt ran stays known as long as its record.
func (s *guardShard) dropAnswer(room *answerRoom, r *guardRecord) {
	if r.answer == nil {
		return
	}
	r.answer = nil
	s.settle(room, r, StandingLost)
}

// settled reports whether nothing more can become of the attempt.
func (r *guardRecord) settled() bool {
	return r.standing != StandingRunning
}

func parseWindow(text string) (int64, bool) {
	window, err := strconv.ParseInt(text, 10, 64)
	return window, err == nil && window >= 0
}
