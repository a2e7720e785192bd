package sched

import "time"

const (
	// shortRun is the longest expected run time of work that counts as short.
	shortRun = 30 * time.Second
	// minRemainingRatio is how many times the expected run time of the short work the
	// batch must have left to run.
	minRemainingRatio = 4
	// minRunBeforeEviction is how long the batch must have run, so that it makes
	// progress. It is also the least that the batch must have left to run.
	minRunBeforeEviction = 10 * time.Second
	// maxShortStops bounds the tasks that one round checkpoints for short work.
	maxShortStops = 4
	// maxShort bounds the entries of short work that a round records.
	maxShort = 32
)

// recordShort records short batch that found no room for Settings.ShortPreemptDelay or
// longer.
func (r *round) recordShort(e *entry, v verdict) {
	if v != noRoom || e.tier != tierNormal || e.job.Policy != Batch || len(r.short) == maxShort {
		return
	}
	if r.now.Sub(e.job.Submitted) >= r.cell.settings.ShortPreemptDelay && r.cell.expected(e.job.class, e.job.ExpectedRunTime, 0, 0.5) <= shortRun {
		r.short = append(r.short, e)
	}
}

// serveShort checkpoints long batch for short work that has waited long enough: batch of
// the same team, or of teams with a higher weighted share.
func (r *round) serveShort() {
	stops := 0
	for _, e := range r.short {
		expected := r.cell.expected(e.job.class, e.job.ExpectedRunTime, 0, 0.5)
		for _, t := range e.tasks[e.booked:] {
			if stops == maxShortStops || !r.makeRoomForShort(t, expected) {
				break
			}
			stops++
		}
	}
}

// makeRoomForShort reports whether room for one short task is being freed.
func (r *round) makeRoomForShort(t *task, expected time.Duration) bool {
	need := r.amountToReserve(t)
	if r.claimPending(need) {
		return true
	}
	r.minRemaining = max(minRunBeforeEviction, minRemainingRatio*expected)
	defer func() { r.minRemaining = 0 }()
	own := r.projectedShare(t.job.team(r.cell))
	for _, donor := range r.donors(nil) {
		if donor != t.job.team(r.cell) && r.projectedShare(donor) <= own {
			continue
		}
		if u, victims := r.cheapestEviction(need, donor); u != nil {
			r.claims[u] = r.claims[u].Add(need)
			r.evict(victims, StopForShort)
			return true
		}
	}
	return false
}

// mayEvict reports whether a task may be checkpointed for the work in question, given the
// round's minRemaining.
func (r *round) mayEvict(t *task) bool {
	if !t.evictable() || r.minRemaining == 0 {
		return t.evictable()
	}
	left, _ := r.cell.remaining(t, r.now)
	return left >= r.minRemaining && r.now.Sub(t.since) >= minRunBeforeEviction
}
