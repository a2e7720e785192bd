package control

import (
	"container/heap"
	"time"
)

// timer calls due once when the controller's clock has reached at.
type timer struct {
	at  time.Duration
	due func(now time.Duration)
	// index is the position in the heap plus one; 0 while the timer is not set.
	index int
}

// timers is a min-heap of the set timers by time, so that a tick costs only what is due.
type timers struct {
	list []*timer
}

// set sets a timer, or moves one that is set.
func (t *timers) set(x *timer, at time.Duration) {
	x.at = at
	if x.index == 0 {
		heap.Push(t, x)
		return
	}
	heap.Fix(t, x.index-1)
}

// clear removes a timer if it is set.
func (t *timers) clear(x *timer) {
	if x.index != 0 {
		heap.Remove(t, x.index-1)
	}
}

// run calls every timer that is due. Timers set by these calls wait for the next run.
func (t *timers) run(now time.Duration) {
	var due []*timer
	for len(t.list) > 0 && t.list[0].at <= now {
		due = append(due, heap.Pop(t).(*timer))
	}
	for _, x := range due {
		x.due(now)
	}
}

// Len implements heap.Interface.
func (t *timers) Len() int { return len(t.list) }

// Less implements heap.Interface.
func (t *timers) Less(i, j int) bool { return t.list[i].at < t.list[j].at }

// Swap implements heap.Interface.
func (t *timers) Swap(i, j int) {
	t.list[i], t.list[j] = t.list[j], t.list[i]
	t.list[i].index, t.list[j].index = i+1, j+1
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	t.list = append(t.list, x.(*timer))
	x.(*timer).index = len(t.list)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(t.list) - 1
	x := t.list[last]
	t.list[last] = nil
	t.list = t.list[:last]
	x.index = 0
	return x
}
