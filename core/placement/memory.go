package placement

import "time"

const (
	// priorities is the number of priorities that a request may have.
	priorities = 10
	// initialResidence is the assumed time that a request occupies memory, until one is measured.
	initialResidence = time.Second
	// residenceWeight is the weight of a request in the mean residence, per share of an engine's memory that it occupied.
	residenceWeight = 2
)

// memory counts the tokens that requests occupy on an engine. Segments that several requests share count once.
//
// In a burst of long prompts, engines run out of memory long before they run out of slots. A request then waits for
// others to end, while engines that hold less of its prompt have free memory.
type memory struct {
	parts map[uint64]*occupied
	// used is the number of tokens by the priority of the request that first occupied them.
	used [priorities]int
}

// occupied is a prompt segment that running requests use.
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

// need returns the tokens of a prompt that no running request occupies yet.
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
			m.used[o.priority] += o.tokens
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
			m.used[o.priority] -= o.tokens
			delete(m.parts, key)
		}
	}
}

// rank clamps a priority to the range of the counters.
func rank(priority int) int {
	return clamp(priority, priorities-1)
}

// residence is the mean time that requests occupy memory, weighted by the memory they occupy.
type residence struct {
	mean time.Duration
}

// observe records the residence of a request that occupied a share of an engine's memory.
func (r *residence) observe(took time.Duration, share float64) {
	weight := min(1, residenceWeight*share)
	r.mean += time.Duration(weight * float64(took-r.mean))
}

// wait predicts how long a request waits for free memory. Within the mean residence, the entire memory is freed once.
func (r *residence) wait(occupied, need, capacity int) time.Duration {
	over := occupied + need - capacity
	if capacity <= 0 || over <= 0 {
		return 0
	}
	return time.Duration(float64(over) / float64(capacity) * float64(r.mean))
}
