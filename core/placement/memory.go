package placement

import "time"

const (
	// priorities is the number of ranks that a request may have.
	priorities = 10
	// firstResidence is how long a request occupies memory before any was seen to.
	firstResidence = time.Second
	// residenceWeight is the share of a new request in the mean residence, by the share of an engine's memory that it occupied.
	residenceWeight = 2
)

// memory counts the tokens that requests occupy at an engine, the parts that several of them share once.
//
// The load pattern is bursts of long prompts, under which engines run out of memory long before they run out of slots: a
// request then waits until others have ended, while engines that keep less of its prompt have room.
type memory struct {
	parts map[uint64]*occupied
	// taken are the tokens by the priority of the request that brought them.
	taken [priorities]int
}

// occupied is a part that running requests use.
type occupied struct {
	users    int
	tokens   int
	priority int
}

func newMemory() memory {
	return memory{
		parts: make(map[uint64]*occupied),
	}
}

// need returns the tokens of a prompt that no running request occupies.
func (m *memory) need(p Parts) int {
	need := 0
	for i, key := range p.keys {
		if _, ok := m.parts[key]; !ok {
			need += p.tokens[i]
		}
	}
	return need
}

func (m *memory) take(p Parts, priority int) {
	for i, key := range p.keys {
		o, ok := m.parts[key]
		if !ok {
			o = &occupied{
				tokens:   p.tokens[i],
				priority: rank(priority),
			}
			m.parts[key] = o
			m.taken[o.priority] += o.tokens
		}
		o.users++
	}
}

func (m *memory) drop(p Parts) {
	for _, key := range p.keys {
		o, ok := m.parts[key]
		if !ok {
			continue
		}
		if o.users--; o.users == 0 {
			m.taken[o.priority] -= o.tokens
			delete(m.parts, key)
		}
	}
}

// rank returns a priority within the bounds of the counters.
func rank(priority int) int {
	return within(priority, priorities-1)
}

// residence is how long requests occupy memory, weighed by what they occupy.
type residence struct {
	mean time.Duration
}

// observe takes the residence of a request that occupied a share of an engine's memory.
func (r *residence) observe(took time.Duration, share float64) {
	weight := min(1, residenceWeight*share)
	r.mean += time.Duration(weight * float64(took-r.mean))
}

// wait returns how long a request waits until enough of a full memory is free: within the mean residence all of it changes
// hands once.
func (r *residence) wait(occupied, need, capacity int) time.Duration {
	over := occupied + need - capacity
	if capacity <= 0 || over <= 0 {
		return 0
	}
	return time.Duration(float64(over) / float64(capacity) * float64(r.mean))
}
