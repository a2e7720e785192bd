package sched

import "time"

const (
	// shortRun is the longest expected run time of work that long batch makes room for.
	shortRun = 30 * time.Second
	// longerBy is how many times longer the batch has yet to run.
	longerBy = 4
	// minRun is how long that batch has run at least, so that it gets on.
	minRun = 10 * time.Second
	// maxShortStops bounds the tasks that one round checkpoints for short work.
	maxShortStops = 4
	// maxShort bounds the entries of short work that a round remembers.
	maxShort = 32
)

// noteShort remembers short batch that found no room.
func (r *round) noteShort(e *entry, v verdict) {
	if v != noRoom || e.tier != tierNormal || e.job.Policy != Batch || len(r.short) == maxShort {
		return
	}
	if r.now.Sub(e.job.Submitted) >= r.cell.settings.ShortPatience && r.cell.expected(e.job.class, e.job.Expected, 0, 0.5) <= shortRun {
		r.short = append(r.short, e)
	}
}

// serveShort checkpoints long batch of teams that are no further below their shares for
// short work that has waited for longer than its patience.
func (r *round) serveShort() {
	stops := 0
	for _, e := range r.short {
		expected := r.cell.expected(e.job.class, e.job.Expected, 0, 0.5)
		for _, t := range e.tasks[e.taken:] {
			if stops == maxShortStops || !r.makeRoomShort(t, expected) {
				break
			}
			stops++
		}
	}
}

func (r *round) makeRoomShort(t *task, expected time.Duration) bool {
	need := r.reserveFor(t)
	if r.claimPending(need) {
		return true
	}
	r.minLeft = max(minRun, longerBy*expected)
	defer func() { r.minLeft = 0 }()
	own := r.settledPosition(t.job.team(r.cell))
	for _, donor := range r.donors(nil) {
		if donor != t.job.team(r.cell) && r.settledPosition(donor) <= own {
			continue
		}
		if u, victims := r.cheapest(need, donor); u != nil {
			r.claims[u] = r.claims[u].Add(need)
			r.evict(victims, StopForShort)
			return true
		}
	}
	return false
}

// mayLeave reports whether a task may be checkpointed for the work in question.
func (r *round) mayLeave(t *task) bool {
	if !t.evictable() || r.minLeft == 0 {
		return t.evictable()
	}
	left, _ := r.cell.remaining(t, r.now)
	return left >= r.minLeft && r.now.Sub(t.since) >= minRun
}
