package admission

import (
	"container/heap"
	"time"
)

// job is one attempt that waits or runs.
type job struct {
	request   Request
	workspace *workspace
	pieces    int
	// prefill counts the prompt tokens that the engine has to compute.
	prefill int
	// service is the predicted time from the start to the last token.
	service time.Duration
	// cost is the service divided by the weight of the workspace.
	cost float64
	// due is the deadline, key the deadline put back by what the workspace had waiting and running when the job came,
	// both in nanoseconds of Unix time; the key predicts waits.
	due int64
	key int64
	// latest is the last moment at which a start is in time.
	latest     time.Time
	inList     int
	inExpiry   int
	started    time.Time
	firstToken time.Time
	running    bool
}

// jobList holds the waiting jobs of one kind.
type jobList struct {
	jobs []*job
	// next is the job that starts next; it is found anew where nil.
	next *job
}

func (l *jobList) add(j *job) {
	j.inList = len(l.jobs)
	l.jobs = append(l.jobs, j)
	l.next = nil
}

func (l *jobList) remove(j *job) {
	last := l.jobs[len(l.jobs)-1]
	l.jobs[j.inList] = last
	last.inList = j.inList
	l.jobs = l.jobs[:len(l.jobs)-1]
	l.next = nil
}

// head returns the job that is next in order, or nil.
func (l *jobList) head(c *Controller) *job {
	if l.next != nil {
		return l.next
	}
	var first int64
	for _, j := range l.jobs {
		if at := c.turn(j); l.next == nil || at < first {
			l.next = j
			first = at
		}
	}
	return l.next
}

// ahead returns the number of jobs whose key is before the given one.
func (l *jobList) ahead(key int64) int {
	n := 0
	for _, j := range l.jobs {
		if j.key < key {
			n++
		}
	}
	return n
}

// last returns the job with the last key, or nil.
func (l *jobList) last() *job {
	var worst *job
	for _, j := range l.jobs {
		if worst == nil || j.key > worst.key {
			worst = j
		}
	}
	return worst
}

// expiryHeap orders waiting jobs by the last moment at which a start is in time.
type expiryHeap struct {
	jobs []*job
}

func (h *expiryHeap) Len() int {
	return len(h.jobs)
}

func (h *expiryHeap) Less(i, j int) bool {
	return h.jobs[i].latest.Before(h.jobs[j].latest)
}

func (h *expiryHeap) Swap(i, j int) {
	h.jobs[i], h.jobs[j] = h.jobs[j], h.jobs[i]
	h.jobs[i].inExpiry = i
	h.jobs[j].inExpiry = j
}

// Push adds a job; only container/heap calls it.
func (h *expiryHeap) Push(x any) {
	j := x.(*job)
	j.inExpiry = len(h.jobs)
	h.jobs = append(h.jobs, j)
}

// Pop removes the last job; only container/heap calls it.
func (h *expiryHeap) Pop() any {
	last := h.jobs[len(h.jobs)-1]
	h.jobs = h.jobs[:len(h.jobs)-1]
	return last
}

func (h *expiryHeap) remove(j *job) {
	heap.Remove(h, j.inExpiry)
}

// head returns the job that is next in order, or nil.
func (h *expiryHeap) head() *job {
	if len(h.jobs) == 0 {
		return nil
	}
	return h.jobs[0]
}

// turn returns the deadline, put back by what the job's workspace runs already, in nanoseconds of Unix time; the job
// with the earliest turn starts next.
func (c *Controller) turn(j *job) int64 {
	return j.due + int64(j.workspace.running[kindOf(j)]*c.lagNanos)
}

// enqueue puts a job into the queue of its kind.
func (c *Controller) enqueue(j *job) {
	c.queueOf(j).add(j)
	heap.Push(&c.expiry, j)
	c.queuedPieces += j.pieces
	c.queuedPrefill[kindOf(j)] += j.prefill
}

// dequeue takes a job out of the queue of its kind.
func (c *Controller) dequeue(j *job) {
	c.queueOf(j).remove(j)
	c.expiry.remove(j)
	c.queuedPieces -= j.pieces
	c.queuedPrefill[kindOf(j)] -= j.prefill
}

func (c *Controller) queueOf(j *job) *jobList {
	return &c.queues[kindOf(j)]
}
