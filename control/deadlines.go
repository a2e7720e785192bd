package control

import (
	"container/heap"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/state"
)

// deadlineRecheck is the time until the start deadline of a placed job that has not started
// is checked again.
const deadlineRecheck = time.Second

// startDeadline is the Unix time in nanoseconds at which a job that has not started is refused.
type startDeadline struct {
	ns  int64
	job state.JobID
}

// deadlineHeap is a min-heap of start deadlines by time.
type deadlineHeap []startDeadline

// watchDeadline starts watching the start deadline of a job, if its caller set one.
func (c *Controller) watchDeadline(j *state.Job) {
	if j.StartDeadlineNS != 0 {
		heap.Push(&c.deadlines, startDeadline{j.StartDeadlineNS, j.ID})
	}
}

// refuseOverdue refuses waiting jobs whose start deadline has passed. A job that has started
// once has met its deadline, even if it has to start again later.
func (c *Controller) refuseOverdue() {
	now := time.Now().UnixNano()
	for len(c.deadlines) > 0 && c.deadlines[0].ns < now {
		d := heap.Pop(&c.deadlines).(startDeadline)
		j := c.state.Job(d.job)
		switch {
		case j == nil || hasStarted(j):
		case j.State == lifecycle.JobWaiting:
			c.proposeRefusal(j.ID, apiv1.Reason_REASON_DEADLINE, "it did not start within the caller's bound")
		case j.State == lifecycle.JobRunning:
			heap.Push(&c.deadlines, startDeadline{now + int64(deadlineRecheck), j.ID})
		}
	}
}

// hasStarted reports whether any task of a job has started, failed or ended.
func hasStarted(j *state.Job) bool {
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.Started || t.Failures > 0 || t.State == lifecycle.TaskEnded {
			return true
		}
	}
	return false
}

// Len implements heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h deadlineHeap) Less(i, j int) bool { return h[i].ns < h[j].ns }

// Swap implements heap.Interface.
func (h deadlineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(startDeadline)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
