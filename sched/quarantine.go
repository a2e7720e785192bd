package sched

import (
	"slices"
	"time"
)

const (
	// failureThreshold is the summed weight of failures without a success in between that
	// pauses an upstream.
	failureThreshold = 2.0
	// maxEvidence bounds the failures kept per upstream and the upstreams kept per class.
	maxEvidence = 16
	// maxFailedOn bounds the upstreams that a job avoids.
	maxFailedOn = 4
)

// classHealth lists upstreams by the result of the latest task of a class that finished on
// each: success or failure. Each list keeps at most maxEvidence upstreams.
type classHealth struct {
	succeededOn []*upstream
	failedOn    []*upstream
}

// weight is how strongly one failure of the class counts against its upstream: near 1
// when the class succeeds on other upstreams, near 0 when it fails on all of them.
func (h *classHealth) weight() float64 {
	succeeded, failed := float64(len(h.succeededOn)), float64(len(h.failedOn))
	return (succeeded + 1) / (succeeded + failed + 2)
}

// appendBounded appends an upstream that is not in the list yet; the oldest one is dropped
// when the list has maxEvidence entries.
func appendBounded(list []*upstream, u *upstream) []*upstream {
	if slices.Contains(list, u) {
		return list
	}
	if len(list) == maxEvidence {
		list = list[1:]
	}
	return append(list, u)
}

// failure is one failed attempt as evidence against an upstream.
type failure struct {
	class *class
	job   JobID
}

// upstreamHealth holds the failures on an upstream since its last success, and its
// quarantine: until is the end of the current pause, pauses the number of pauses so far.
type upstreamHealth struct {
	failures []failure
	paused   bool
	until    time.Time
	pauses   int
}

// add records a failure; only the first failure of each job counts.
func (h *upstreamHealth) add(f failure) {
	for _, known := range h.failures {
		if known.job == f.job {
			return
		}
	}
	if len(h.failures) < maxEvidence {
		h.failures = append(h.failures, f)
	}
}

// score is the summed weight of the failures.
func (h *upstreamHealth) score() float64 {
	sum := 0.0
	for _, f := range h.failures {
		sum += f.class.health.weight()
	}
	return sum
}

// AttemptEnded records how an attempt ended, for the models of run time and for the
// quarantine of upstreams. It changes no phase; SetTask does. Repeated reports of one end
// count once, and reports about unknown jobs, upstreams or attempts are ignored.
func (c *Cell) AttemptEnded(e AttemptEnd) {
	j, u := c.jobs[e.Ref.Job], c.upstreams[e.Upstream]
	if j == nil || u == nil || int(e.Ref.Index) >= len(j.tasks) {
		return
	}
	t := &j.tasks[e.Ref.Index]
	if t.attempt != e.Ref.Attempt || t.lastEnded == e.Ref.Attempt {
		return
	}
	t.lastEnded = e.Ref.Attempt
	switch e.Kind {
	case Succeeded:
		c.recordSuccess(j, u, e.RunTime)
	case Failed:
		c.recordFailure(j, u)
	}
}

// recordSuccess adds the run time to the class model, discards the evidence against the
// upstream and ends its quarantine.
func (c *Cell) recordSuccess(j *job, u *upstream, run time.Duration) {
	if run > 0 {
		j.class.observeRun(j.ExpectedRunTime, run)
	}
	j.class.health.succeededOn = appendBounded(j.class.health.succeededOn, u)
	j.class.health.failedOn = without(j.class.health.failedOn, u)
	u.health.failures = nil
	if u.health.paused {
		u.health.paused = false
		delete(c.quarantined, u)
		c.refresh(u)
	}
}

// recordFailure adds evidence against the upstream and pauses it when there is enough, or
// when the probe after a pause has failed.
func (c *Cell) recordFailure(j *job, u *upstream) {
	j.class.health.failedOn = appendBounded(j.class.health.failedOn, u)
	j.class.health.succeededOn = without(j.class.health.succeededOn, u)
	if len(j.failedOn) < maxFailedOn {
		j.failedOn = appendBounded(j.failedOn, u)
	}
	u.health.add(failure{j.class, j.ID})
	if u.health.paused && !c.now.Before(u.health.until) || !u.health.paused && u.health.score() >= failureThreshold {
		c.pause(u)
	}
}

// pause bars an upstream from new work. Each pause is twice as long as the one before, up
// to Settings.MaxQuarantine.
func (c *Cell) pause(u *upstream) {
	const maxDoublings = 16
	h := &u.health
	h.paused = true
	h.until = c.now.Add(min(c.settings.MaxQuarantine, c.settings.QuarantinePause<<min(h.pauses, maxDoublings)))
	h.pauses++
	c.quarantined[u] = true
	c.refresh(u)
	c.dirty = true
}

// avoids reports whether a job must not use an upstream because one of its tasks failed
// there. The rule applies only while the upstreams in job.failedOn are fewer than half as
// many as the usable ones.
func (c *Cell) avoids(j *job, u *upstream) bool {
	return len(j.failedOn) > 0 && 2*len(j.failedOn) < int(c.blocked[Fits]) && slices.Contains(j.failedOn, u)
}

// probe returns a quarantined upstream on which the task may be tried, or nil. Only batch
// that can be repeated and is not urgent is used for probes, one task per upstream.
func (r *round) probe(t *task) *upstream {
	if t.job.Policy != Batch || !t.job.Repeatable || t.job.Urgent || len(r.probes) == 0 {
		return nil
	}
	for i, u := range r.probes {
		if !r.cell.avoids(t.job, u) && r.cell.learnedAmount(t.job.class, t.need()).Fits(u.free()) {
			r.probes = slices.Delete(r.probes, i, i+1)
			return u
		}
	}
	return nil
}

// dueProbes lists the quarantined upstreams whose pause has ended and that run nothing.
func (r *round) dueProbes() []*upstream {
	var due []*upstream
	for _, u := range sorted(r.cell.quarantined) {
		if u.reason == Quarantined && !r.now.Before(u.health.until) && len(u.tasks) == 0 {
			due = append(due, u)
		}
	}
	return due
}
