package placement

import "time"

const (
	// admittedMemory is the time constant of the measured rates at which teams' jobs are admitted.
	admittedMemory = 5 * time.Second
	// excessFactor is the multiple of its share by weight, against what the other teams were admitted with, from which
	// on a team's jobs are excess: teams vary by less from one second to the next. excessSlack is a number of jobs
	// within admittedMemory beyond that, so that small teams may send some at once.
	excessFactor = 2.0
	excessSlack  = 20
)

// jobRate is a decaying number of admitted jobs.
type jobRate struct {
	jobs float64
	at   time.Duration
}

// JobAdmitted records that a new job of a team was taken.
func (a *Admission) JobAdmitted(team string, now time.Duration) {
	r := &a.team(team).admitted
	r.jobs, r.at = r.now(now)+1, now
}

// now returns the decayed number of jobs.
func (r jobRate) now(now time.Duration) float64 {
	return r.jobs * decay(now-r.at, admittedMemory)
}

// sendsExcess reports whether one more job of a team is beyond its share by weight of what is admitted, measured
// against the other teams: a team at many times its usual must not raise its own bound. What it sends within its
// share is as good as the jobs of others.
func (a *Admission) sendsExcess(t *holding, now time.Duration) bool {
	others, weights := 0.0, 0.0
	for _, other := range a.teams {
		if n := other.admitted.now(now); other != t && n >= 1 {
			others, weights = others+n, weights+float64(max(1, other.weight))
		}
	}
	if weights == 0 {
		return false
	}
	return t.admitted.now(now)+1 > excessFactor*others*float64(max(1, t.weight))/weights+excessSlack
}
