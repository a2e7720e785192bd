package sched

import (
	"fmt"
	"slices"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// settled reports whether the cell has existed long enough for its known upstreams to
// prove that a job can never run. Lost upstreams and those in a failure domain that is
// out count as known.
func (c *Cell) settled() bool {
	return len(c.upstreamOrder) > 0 && c.now.Sub(c.began) >= c.settings.SettleTime
}

// refuseInfeasible refuses unchecked jobs with a task that fits no known VM, and gangs
// that do not fit all known VMs together.
func (r *round) refuseInfeasible() {
	c := r.cell
	if !c.settled() {
		return
	}
	if c.recheck {
		c.recheck, c.unchecked = false, c.unchecked[:0]
		for id, j := range c.jobs {
			if j.waiting > 0 {
				c.unchecked = append(c.unchecked, id)
			}
		}
		slices.Sort(c.unchecked)
	}
	for _, id := range c.unchecked {
		if j := c.jobs[id]; j != nil && j.waiting > 0 {
			r.checkFeasible(j)
		}
	}
	c.unchecked = nil
}

// checkFeasible adds a refusal to the decision if the job can never run.
func (r *round) checkFeasible(j *job) {
	for _, need := range distinct(j.Needs) {
		if !r.cell.fitsSomeVM(need) {
			r.decision.Refusals = append(r.decision.Refusals, Refusal{Job: j.ID, Reason: RefusalNeverFits,
				Detail: fmt.Sprintf("a task needs %s; none of the %d known upstreams is large enough even when empty", need, len(r.cell.upstreamOrder))})
			return
		}
	}
	if j.Policy != Gang {
		return
	}
	if room := r.cell.gangCapacity(j); room < len(j.tasks) {
		r.decision.Refusals = append(r.decision.Refusals, Refusal{Job: j.ID, Reason: RefusalGangTooLarge,
			Detail: fmt.Sprintf("the gang has %d tasks; all %d known upstreams together hold %d of them when empty", len(j.tasks), len(r.cell.upstreamOrder), room)})
	}
}

// distinct removes repeated vectors; equal ones must be neighbours in the list.
func distinct(list []resource.Vector) []resource.Vector {
	return slices.Compact(slices.Clone(list))
}

// gangCapacity returns how many of a gang's tasks the empty cell can hold. For each
// dimension it uses the smallest amount that any of the tasks needs, so the result may be
// too high but never too low.
func (c *Cell) gangCapacity(j *job) int {
	least := j.Needs[0]
	for _, n := range j.Needs {
		for d := range least {
			least[d] = min(least[d], n[d])
		}
	}
	sum := 0
	for capacity, n := range c.sizes {
		sum += n * countFitting(least, capacity)
	}
	return sum
}

// countFitting returns how many times need fits into capacity.
func countFitting(need, capacity resource.Vector) int {
	n := int64(1 << 30)
	for d, amount := range need {
		if amount > 0 {
			n = min(n, capacity[d]/amount)
		}
	}
	return int(n)
}
