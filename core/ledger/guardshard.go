package ledger

import (
	"strconv"
	"sync"
	"time"
)

// guardShard records the attempts of one part of the ID space.
type guardShard struct {
	mu     sync.Mutex
	window int64
	// forgotten is the newest window from which a record was removed, negative if there is none.
	forgotten int64
	// closed is the newest window whose attempts are no longer admitted, because a refusal could not be recorded.
	closed  int64
	records map[string]*guardRecord
	// order holds the records by window, oldest first. The window of an added record is at most one behind the newest.
	order []*guardRecord
	// answered holds the records with responses, in the order in which they finished.
	answered []*guardRecord
}

type guardRecord struct {
	id       string
	window   int64
	standing AttemptState
	started  bool
	answer   *Response
	// answeredAt is the shard's window when the attempt was answered.
	answeredAt int64
	// reserved is the memory reserved for the attempt's response, or used by it, in bytes.
	reserved int
}

func (s *guardShard) add(id string, window int64, standing AttemptState) *guardRecord {
	r := &guardRecord{
		id:       id,
		window:   window,
		standing: standing,
	}
	s.records[id] = r
	s.order = append(s.order, r)
	return r
}

// advance moves the shard to the window of now, removes records that are too old and returns the window.
// The window never decreases, so an older clock reading can't admit what was refused.
func (s *guardShard) advance(g *Guard, now time.Time) int64 {
	s.window = max(s.window, g.windowAt(now))
	for s.forgetOldest(&g.answers, s.window-g.keptWindows) {
	}
	return s.window
}

// admits reports whether attempts of a window are admitted. A window that is not admitted stays so.
func (s *guardShard) admits(window, current int64) bool {
	return window > current-admittedWindows && window > s.closed
}

// hasCapacity reports whether another attempt can be recorded. If there are too many, it first removes records that are
// too old to be admitted.
func (s *guardShard) hasCapacity(g *Guard) bool {
	for len(s.records) >= g.maxAttempts {
		if !s.forgetOldest(&g.answers, s.window-admittedWindows) {
			return false
		}
	}
	return true
}

// evictAnswers removes responses until an attempt's reserve fits or no response may be removed.
func (s *guardShard) evictAnswers(g *Guard, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(g, now)
	for !g.answers.fits(g.reserve) {
		if !s.dropOldest(&g.answers) {
			return
		}
	}
}

// forgetOldest removes the oldest record if its attempt has ended and its window is newest or older.
func (s *guardShard) forgetOldest(memory *answerMemory, newest int64) bool {
	if len(s.order) == 0 || s.order[0].window > newest || !s.order[0].ended() {
		return false
	}
	s.forget(memory, s.order[0])
	s.order[0] = nil
	s.order = s.order[1:]
	return true
}

func (s *guardShard) forget(memory *answerMemory, r *guardRecord) {
	delete(s.records, r.id)
	s.forgotten = max(s.forgotten, r.window)
	s.dropAnswer(memory, r)
	for len(s.answered) > 0 && s.answered[0].answer == nil {
		s.answered[0] = nil
		s.answered = s.answered[1:]
	}
}

// finish stores the response if it fits, after removing older responses if necessary.
func (s *guardShard) finish(memory *answerMemory, r *guardRecord, answer *Response) {
	more := answer.size() - r.reserved
	for !memory.reserve(more) {
		if !s.dropOldest(memory) {
			s.end(memory, r, StandingLost)
			return
		}
	}
	r.reserved += more
	r.answeredAt = s.window
	r.standing = StandingAnswered
	r.answer = answer
	s.answered = append(s.answered, r)
}

// end sets the final state of an attempt that has no response to store and releases its memory.
func (s *guardShard) end(memory *answerMemory, r *guardRecord, standing AttemptState) {
	r.standing = standing
	memory.release(r.reserved)
	r.reserved = 0
}

// dropOldest removes the response that finished first, if the window of that time is no longer admitted.
func (s *guardShard) dropOldest(memory *answerMemory) bool {
	if len(s.answered) == 0 || s.answered[0].answeredAt > s.window-admittedWindows {
		return false
	}
	s.dropAnswer(memory, s.answered[0])
	s.answered[0] = nil
	s.answered = s.answered[1:]
	return true
}

// dropAnswer removes a stored response. The record still shows that the attempt ran.
func (s *guardShard) dropAnswer(memory *answerMemory, r *guardRecord) {
	if r.answer == nil {
		return
	}
	r.answer = nil
	s.end(memory, r, StandingLost)
}

// ended reports whether the attempt's state is final.
func (r *guardRecord) ended() bool {
	return r.standing != StandingRunning
}

func parseWindow(text string) (int64, bool) {
	window, err := strconv.ParseInt(text, 10, 64)
	return window, err == nil && window >= 0
}
