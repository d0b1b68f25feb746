package admission

import (
	"container/heap"
	"time"
)

// job is one attempt that is queued or running.
type job struct {
	request   Request
	workspace *workspace
	blocks    int
	// prefill counts the prompt tokens that the engine has to compute.
	prefill int
	// service is the predicted time from the start to the last token.
	service time.Duration
	// cost is the service divided by the weight of the workspace.
	cost float64
	// deadline is the deadline of the request. key is the deadline delayed by the outstanding requests of the workspace
	// when the job arrived, and is used to predict waits. Both are in nanoseconds of Unix time.
	deadline int64
	key      int64
	// latestStart is the latest start that meets the deadline.
	latestStart time.Time
	inList      int
	inExpiry    int
	started     time.Time
	firstToken  time.Time
	running     bool
}

// jobList holds the queued jobs of one kind.
type jobList struct {
	jobs []*job
	// next caches the job that starts next; nil means that it has to be determined.
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

// head returns the job that starts next, or nil.
func (l *jobList) head(c *Controller) *job {
	if l.next != nil {
		return l.next
	}
	var first int64
	for _, j := range l.jobs {
		if at := c.virtualDeadline(j); l.next == nil || at < first {
			l.next = j
			first = at
		}
	}
	return l.next
}

// ahead returns the number of jobs with a smaller key.
func (l *jobList) ahead(key int64) int {
	n := 0
	for _, j := range l.jobs {
		if j.key < key {
			n++
		}
	}
	return n
}

// last returns the job with the largest key, or nil.
func (l *jobList) last() *job {
	var worst *job
	for _, j := range l.jobs {
		if worst == nil || j.key > worst.key {
			worst = j
		}
	}
	return worst
}

// expiryHeap orders queued jobs by their latest start.
type expiryHeap struct {
	jobs []*job
}

func (h *expiryHeap) Len() int {
	return len(h.jobs)
}

func (h *expiryHeap) Less(i, j int) bool {
	return h.jobs[i].latestStart.Before(h.jobs[j].latestStart)
}

func (h *expiryHeap) Swap(i, j int) {
	h.jobs[i], h.jobs[j] = h.jobs[j], h.jobs[i]
	h.jobs[i].inExpiry = i
	h.jobs[j].inExpiry = j
}

// Push adds a job. It is only called by container/heap.
func (h *expiryHeap) Push(x any) {
	j := x.(*job)
	j.inExpiry = len(h.jobs)
	h.jobs = append(h.jobs, j)
}

// Pop removes the last job. It is only called by container/heap.
func (h *expiryHeap) Pop() any {
	last := h.jobs[len(h.jobs)-1]
	h.jobs = h.jobs[:len(h.jobs)-1]
	return last
}

func (h *expiryHeap) remove(j *job) {
	heap.Remove(h, j.inExpiry)
}

// head returns the job that expires first, or nil.
func (h *expiryHeap) head() *job {
	if len(h.jobs) == 0 {
		return nil
	}
	return h.jobs[0]
}

// virtualDeadline returns the deadline, delayed by the running requests of the job's workspace, in nanoseconds of Unix
// time. The job with the earliest virtual deadline starts next.
func (c *Controller) virtualDeadline(j *job) int64 {
	return j.deadline + int64(j.workspace.running[kindOf(j)]*c.lagNanos)
}

// enqueue adds a job to the queue of its kind.
func (c *Controller) enqueue(j *job) {
	c.queueOf(j).add(j)
	heap.Push(&c.expiry, j)
	c.queuedBlocks += j.blocks
	c.queuedPrefill[kindOf(j)] += j.prefill
}

// dequeue removes a job from the queue of its kind.
func (c *Controller) dequeue(j *job) {
	c.queueOf(j).remove(j)
	c.expiry.remove(j)
	c.queuedBlocks -= j.blocks
	c.queuedPrefill[kindOf(j)] -= j.prefill
}

func (c *Controller) queueOf(j *job) *jobList {
	return &c.queues[kindOf(j)]
}
