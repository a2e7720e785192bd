package control

import (
	"container/heap"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/state"
)

// deadlineRecheck is the time until a placed job that has not started yet is looked at again.
const deadlineRecheck = time.Second

// startDeadline is when a job that has not started is refused, in Unix nanoseconds.
type startDeadline struct {
	ns  int64
	job state.JobID
}

// deadlineHeap holds the start deadlines by time.
type deadlineHeap []startDeadline

// watchDeadline follows a job whose caller bounds its start.
func (c *Controller) watchDeadline(j *state.Job) {
	if j.StartDeadlineNS != 0 {
		heap.Push(&c.deadlines, startDeadline{j.StartDeadlineNS, j.ID})
	}
}

// refuseOverdue ends waiting jobs whose caller no longer wants them started. A job that has
// started once met its bound, whatever becomes of it later.
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
