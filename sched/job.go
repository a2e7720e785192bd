package sched

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// noSamples is the state of a task before its first usage report.
var noSamples = [len(measured)]uint8{noSample, noSample}

// job is a job with its tasks.
type job struct {
	Job
	class *class
	tasks []task
	// waiting counts the tasks in queues.
	waiting int
	// failedOn lists upstreams on which a task of the job failed.
	failedOn    []*upstream
	reservation *reservation
	// noReservationUntil bars another reservation for a while after one that came to nothing.
	noReservationUntil time.Time
}

// unended counts the tasks that still have to run; a gang starts with all of them.
func (j *job) unended() int {
	n := 0
	for i := range j.tasks {
		if j.tasks[i].phase != Ended {
			n++
		}
	}
	return n
}

func (j *job) team(c *Cell) *team { return c.teams[j.Team] }

// task is one task with what it holds.
type task struct {
	job     *job
	index   int32
	attempt uint32
	phase   Phase
	// queued is set while the task is in a queue or waits for its timer.
	queued    bool
	throttled bool
	// forced is set when a hard stop followed a checkpoint that did not end in time.
	forced bool
	// lastEnded is the last attempt whose end was learned from.
	lastEnded uint32
	sample    [len(measured)]uint8
	entry     *entry
	up        *upstream
	pos       int
	reserved  resource.Vector
	use       [len(measured)]int64
	since     time.Time
	notBefore time.Time
	rationale *rationale
}

func (t *task) ref() TaskRef { return TaskRef{t.job.ID, t.index, t.attempt} }

func (t *task) need() resource.Vector { return t.job.Needs[t.index] }

// reportedUse returns the reported use in the measured dimensions.
func (t *task) reportedUse() resource.Vector {
	var v resource.Vector
	for i, d := range measured {
		v[d] = t.use[i]
	}
	return v
}

// load returns what the task counts for on its upstream.
func (t *task) load() resource.Vector { return t.reserved.Max(t.reportedUse()) }

// evictable reports whether the task may be checkpointed for other work.
func (t *task) evictable() bool {
	return t.job.Policy == Batch && t.job.Repeatable && !t.job.Urgent && (t.phase == Running || t.phase == Placed)
}

// rankToStop orders tasks by how little is lost by stopping them: batch before gangs
// before services, work that is not urgent first.
func (t *task) rankToStop() int {
	rank := 0
	switch t.job.Policy {
	case Gang:
		rank = 1
	case Service:
		rank = 2
	}
	if t.job.Urgent {
		rank += 3
	}
	if !t.job.Repeatable {
		rank += 6
	}
	return rank
}
