package placement

import "time"

// credit sums what jobs of one class earned of what they could, in late and in all.
type credit struct{ earned, owed, late, missed, jobs float64 }

func (c *credit) share() float64 { return c.earned / max(c.owed, 1e-9) }

// add counts a job that took some time.
func (c *credit) add(job *replayedJob, took time.Duration) {
	c.owed, c.jobs = c.owed+job.work, c.jobs+1
	switch {
	case took <= job.objective:
		c.earned += job.work
	case took <= 3*job.objective:
		c.earned += 0.2 * job.work
		c.late++
	default:
		c.missed++
	}
}

// sum adds what other jobs earned.
func (c *credit) sum(o *credit) {
	c.earned, c.owed, c.late, c.missed, c.jobs = c.earned+o.earned, c.owed+o.owed, c.late+o.late, c.missed+o.missed, c.jobs+o.jobs
}
