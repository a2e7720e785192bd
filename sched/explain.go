package sched

import (
	"fmt"
	"time"
)

// Explain says in plain sentences why a job's tasks wait or run where they do.
func (c *Cell) Explain(id JobID, now time.Time) []string {
	j := c.jobs[id]
	if j == nil {
		return []string{fmt.Sprintf("Job %d has ended or is not known to the scheduler.", id)}
	}
	var counts [Ended + 1]int
	for i := range j.tasks {
		counts[j.tasks[i].status.Phase]++
	}
	out := []string{fmt.Sprintf("Job %d (%s, team %s): %d tasks waiting, %d placed, %d running, %d stopping, %d ended.",
		id, j.Policy, j.Team, counts[Waiting], counts[Placed], counts[Running], counts[Stopping], counts[Ended])}
	if counts[Waiting] > 0 {
		out = append(out, c.explainWaiting(j, now)...)
	}
	return out
}

func (c *Cell) explainWaiting(j *job, _ time.Time) []string {
	tm := c.teams[j.Team]
	need := j.Needs[0]
	if d, ok := tm.used.Add(need).FirstOver(tm.Limit); !ok {
		return []string{fmt.Sprintf("Team %s is at its upper limit in %s.", j.Team, d)}
	}
	unusable, full := 0, 0
	for _, u := range c.order {
		switch {
		case !c.usable(u):
			unusable++
		case !u.used.Add(need).Fits(u.Capacity):
			full++
		}
	}
	return []string{fmt.Sprintf("Of %d upstreams %d take no work and %d have no room for %s.", len(c.order), unusable, full, need)}
}
