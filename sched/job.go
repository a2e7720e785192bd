package sched

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// noSamples is the value of task.sample before the first usage report.
var noSamples = [len(measured)]uint8{noSample, noSample}

// job is a job with its tasks.
type job struct {
	Job
	class *class
	tasks []task
	// waiting counts the tasks that are queued or wait for their timer.
	waiting int
	// gang is the entry in which the waiting tasks of a gang are; nil if none waits.
	gang *entry
	// failedOn lists upstreams on which a task of the job failed.
	failedOn    []*upstream
	reservation *reservation
	// noReservationUntil is the time before which the job gets no other reservation,
	// after one that ended without the job being placed.
	noReservationUntil time.Time
}

// unended counts the tasks that have not ended; a gang starts with all of them.
func (j *job) unended() int {
	n := 0
	for i := range j.tasks {
		if j.tasks[i].phase != Ended {
			n++
		}
	}
	return n
}

// team returns the job's team.
func (j *job) team(c *Cell) *team { return c.teams[j.Team] }

// task is the state of one task and the capacity that it holds.
type task struct {
	job     *job
	index   int32
	attempt uint32
	phase   Phase
	// queued is set while the task is in a queue or waits for its timer.
	queued bool
	// throttled is set once a throttle was proposed for the attempt.
	throttled bool
	// forced is set when a stop without a checkpoint was proposed because the checkpoint
	// did not end in time. It is not reset for later attempts.
	forced bool
	// lastEnded is the last attempt whose end was recorded in the models.
	lastEnded uint32
	// sample holds the histogram bucket of the task's peak use per measured dimension.
	sample [len(measured)]uint8
	// entry is the queue entry that the task waits in; nil otherwise.
	entry *entry
	// up is the upstream on which the task holds capacity, pos its position in up.tasks.
	up  *upstream
	pos int
	// reserved is what the task reserves; use is the latest reported use per measured
	// dimension.
	reserved resource.Vector
	use      [len(measured)]int64
	// since is when the task got its upstream or, if later, began to run.
	since time.Time
	// notBefore is the earliest start of the next attempt.
	notBefore time.Time
	// rationale holds the reasons of the placement; nil if an earlier leader placed the
	// task.
	rationale *rationale
}

// ref names the task's current attempt.
func (t *task) ref() TaskRef { return TaskRef{t.job.ID, t.index, t.attempt} }

// need returns the amounts that the task declares.
func (t *task) need() resource.Vector { return t.job.Needs[t.index] }

// reportedUse returns the reported use in the measured dimensions, zero in others.
func (t *task) reportedUse() resource.Vector {
	var v resource.Vector
	for i, d := range measured {
		v[d] = t.use[i]
	}
	return v
}

// load returns the task's part of its upstream's load: for each dimension the larger of
// reservation and reported use.
func (t *task) load() resource.Vector { return t.reserved.Max(t.reportedUse()) }

// evictable reports whether the task may be checkpointed for other work.
func (t *task) evictable() bool {
	return t.job.Policy == Batch && t.job.Repeatable && !t.job.Urgent && (t.phase == Running || t.phase == Placed)
}

// rankToStop ranks tasks by how much is lost by stopping them, least first: work that can
// be repeated before work that can't, within that work that is not urgent before urgent
// work, and then batch before gangs before services.
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
