package sched

import (
	"container/heap"
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// tier is a priority level. Work of an earlier tier is placed before any of a later one,
// regardless of shares.
type tier uint8

// Tiers, first to last.
const (
	// tierUrgent holds urgent work.
	tierUrgent tier = iota
	// tierDisplaced holds services after their first attempt, which have lost their upstream.
	tierDisplaced
	// tierNormal holds all other work.
	tierNormal
	numTiers
)

// tierOf returns the tier in which a task waits.
func tierOf(t *task) tier {
	switch {
	case t.job.Urgent:
		return tierUrgent
	case t.job.Policy == Service && t.attempt > 1:
		return tierDisplaced
	}
	return tierNormal
}

// entry is a queue entry: waiting tasks of one job with the same tier and declared
// amounts, or all waiting tasks of a gang.
type entry struct {
	job  *job
	team *team
	tier tier
	need resource.Vector
	// startDeadline is the virtual start deadline, by which a team's entries are ordered.
	startDeadline time.Time
	// pos is the position in the queue; negative while the entry is skipped or parked.
	pos   int
	tasks []*task
	// booked is how many of the tasks the current round has placed.
	booked int
}

// entries is a heap ordered by virtual start deadline.
type entries []*entry

// Len implements heap.Interface.
func (h entries) Len() int { return len(h) }

// Less implements heap.Interface.
func (h entries) Less(i, j int) bool {
	a, b := h[i], h[j]
	if !a.startDeadline.Equal(b.startDeadline) {
		return a.startDeadline.Before(b.startDeadline)
	}
	if a.job.ID != b.job.ID {
		return a.job.ID < b.job.ID
	}
	return a.tasks[0].index < b.tasks[0].index
}

// Swap implements heap.Interface.
func (h entries) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}

// Push implements heap.Interface.
func (h *entries) Push(x any) {
	e := x.(*entry)
	e.pos = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *entries) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.pos = -1
	return e
}

// startDeadline returns the virtual start deadline of a task: its submission plus
// Settings.AgeFactor times its expected run time, weighted by its size and bounded by
// Settings.MaxAge. Small work thus goes ahead of large work that was submitted a little
// earlier, and large work waits for a bounded time at most.
func (c *Cell) startDeadline(t *task) time.Time {
	run := c.expected(t.job.class, t.job.ExpectedRunTime, 0, 0.5)
	weight := float64(c.settings.AgeFactor) * c.relativeSize(t.need())
	return t.job.Submitted.Add(min(c.settings.MaxAge, time.Duration(weight*float64(run))))
}

// relativeSize returns the largest fraction of a typical VM that need takes in any
// dimension; 1 while no upstream is known.
func (c *Cell) relativeSize(need resource.Vector) float64 {
	if c.typical.IsZero() {
		return 1
	}
	return dominantShare(need, c.typical)
}

// enqueue makes a task wait in its queue, at once or from its notBefore on.
func (c *Cell) enqueue(t *task) {
	t.queued = true
	t.job.waiting++
	if t.notBefore.After(c.now) {
		c.timers.add(t.notBefore, t)
		return
	}
	c.admit(t)
}

// admit puts a waiting task in the queue of its team. All tasks of a gang share an entry.
func (c *Cell) admit(t *task) {
	tm := t.job.team(c)
	need := t.need()
	if t.job.Policy == Gang {
		need = t.job.Needs[0]
	}
	e := entryOf(t, need)
	if e == nil {
		e = &entry{job: t.job, team: tm, tier: tierOf(t), need: need, startDeadline: c.startDeadline(t), tasks: []*task{t}}
		heap.Push(&tm.queues[e.tier], e)
	} else {
		e.tasks = append(e.tasks, t)
	}
	t.entry = e
	if t.job.Policy == Gang {
		t.job.gang = e
	}
	c.dirty = true
}

// entryOf finds the entry in which tasks with the same need and tier wait, or nil. Except for gangs, which
// start only if all their tasks are in one entry, it checks only the neighbours of the task and the first
// and last task of the job.
func entryOf(t *task, need resource.Vector) *entry {
	if t.job.Policy == Gang {
		return t.job.gang
	}
	tasks := t.job.tasks
	for _, i := range [...]int{int(t.index) - 1, int(t.index) + 1, 0, len(tasks) - 1} {
		if i < 0 || i >= len(tasks) {
			continue
		}
		if e := tasks[i].entry; e != nil && e.need == need && e.tier == tierOf(t) {
			return e
		}
	}
	return nil
}

// dequeue removes a task from its queue; a timer of the task is ignored when it expires.
func (c *Cell) dequeue(t *task) {
	if !t.queued {
		return
	}
	t.queued = false
	t.job.waiting--
	e := t.entry
	if e == nil {
		return
	}
	t.entry = nil
	if len(e.tasks) == 1 && t.job.gang == e {
		t.job.gang = nil
	}
	if len(e.tasks) > 1 || e.pos < 0 {
		e.removeTask(t)
		return
	}
	heap.Remove(&e.team.queues[e.tier], e.pos)
}

// removeTask removes a task from the entry. The search from the front is linear; mostly
// tasks at the front or the back are removed.
func (e *entry) removeTask(t *task) {
	for i, o := range e.tasks {
		if o != t {
			continue
		}
		if i == 0 {
			e.tasks = e.tasks[1:]
		} else {
			e.tasks = append(e.tasks[:i], e.tasks[i+1:]...)
		}
		return
	}
}

// timers is a heap of delayed tasks by the time at which they enter their queue.
type timers []timer

// timer is the delay of one attempt of a task.
type timer struct {
	at      time.Time
	task    *task
	attempt uint32
}

// Len implements heap.Interface.
func (x timers) Len() int { return len(x) }

// Less implements heap.Interface.
func (x timers) Less(i, j int) bool { return x[i].at.Before(x[j].at) }

// Swap implements heap.Interface.
func (x timers) Swap(i, j int) { x[i], x[j] = x[j], x[i] }

// Push implements heap.Interface.
func (x *timers) Push(v any) { *x = append(*x, v.(timer)) }

// Pop implements heap.Interface.
func (x *timers) Pop() any {
	last := len(*x) - 1
	v := (*x)[last]
	(*x)[last] = timer{}
	*x = (*x)[:last]
	return v
}

// add starts a timer for the task's current attempt.
func (x *timers) add(at time.Time, t *task) { heap.Push(x, timer{at, t, t.attempt}) }

// admitDue queues the tasks whose delay has ended.
func (c *Cell) admitDue() {
	for len(c.timers) > 0 && !c.timers[0].at.After(c.now) {
		x := heap.Pop(&c.timers).(timer)
		if x.task.queued && x.task.entry == nil && x.task.attempt == x.attempt {
			c.admit(x.task)
		}
	}
}
