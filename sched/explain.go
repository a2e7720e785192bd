package sched

import (
	"fmt"
	"strings"
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// maxExplained bounds the placements that one explanation describes.
const maxExplained = 20

// Explain returns plain English sentences on why a job's tasks are waiting, or why they
// run where they do, most important first. It checks every upstream, so it is meant for
// occasional requests by people.
func (c *Cell) Explain(id JobID, now time.Time) []string {
	j := c.jobs[id]
	if j == nil {
		return []string{fmt.Sprintf("Job %d has ended or is not known to the scheduler.", id)}
	}
	x := &explainer{cell: c, job: j, now: now}
	x.origin()
	if t := x.firstWaiting(); t != nil {
		x.waiting(t)
	}
	x.placements()
	return x.out
}

// explainer collects the sentences about one job.
type explainer struct {
	cell *Cell
	job  *job
	now  time.Time
	out  []string
}

// addf appends a formatted sentence.
func (x *explainer) addf(format string, args ...any) {
	x.out = append(x.out, fmt.Sprintf(format, args...))
}

// rounded rounds a duration for display: to 1 ms below one second, to 100 ms above.
func rounded(d time.Duration) time.Duration {
	if d < time.Second {
		return d.Round(time.Millisecond)
	}
	return d.Round(100 * time.Millisecond)
}

// percent formats a fraction as a percentage.
func percent(f float64) string { return fmt.Sprintf("%.1f%%", 100*f) }

// phaseNames are the names of the phases in sentences.
var phaseNames = [...]string{Waiting: "waiting", Placed: "placed", Running: "running", Stopping: "stopping", Ended: "ended"}

// origin describes the job, the call that submitted it and the phases of its tasks.
func (x *explainer) origin() {
	j := x.job
	kind := j.Policy.String()
	if j.Urgent {
		kind = "urgent " + kind
	}
	x.addf("Job %d (%s, team %s) was made by the call Submit with request_id %q in queue %q, %s ago.",
		j.ID, kind, j.Team, j.RequestID, j.Queue, rounded(x.now.Sub(j.Submitted)))
	var counts [len(phaseNames)]int
	for i := range j.tasks {
		counts[j.tasks[i].phase]++
	}
	var parts []string
	for p, n := range counts {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, phaseNames[p]))
		}
	}
	x.addf("Its tasks: %s.", strings.Join(parts, ", "))
}

// firstWaiting returns the waiting task that may start first, or nil if none is waiting.
func (x *explainer) firstWaiting() *task {
	var first *task
	for i := range x.job.tasks {
		t := &x.job.tasks[i]
		if t.phase == Waiting && (first == nil || t.notBefore.Before(first.notBefore)) {
			first = t
		}
	}
	return first
}

// waiting gives the first reason why a task is waiting.
func (x *explainer) waiting(t *task) {
	c := x.cell
	need := c.learnedAmount(t.job.class, t.need())
	x.sizes(t, need)
	tm := t.job.team(c)
	switch d, ok := tm.used.Add(need).FirstOver(tm.Limit); {
	case t.notBefore.After(x.now):
		x.addf("Task %d failed before, or its upstream crashed, and it pauses; it may start again in %s.", t.index, rounded(t.notBefore.Sub(x.now)))
	case !ok:
		x.addf("It waits because of its team's upper limit: team %s uses %s of %s, and the task needs %s more.",
			tm.Name, resource.Format(d, tm.used[d]), resource.Format(d, tm.Limit[d]), resource.Format(d, need[d]))
	case !c.fitsSomeVM(need):
		x.addf("It waits because none of the %d known upstreams is large enough for it even when empty; such jobs are refused once the cell has been known for %s.",
			len(c.upstreamOrder), c.settings.SettleTime)
	default:
		x.room(t, need)
		x.reservation()
		x.order(t)
	}
}

// sizes gives what a task declares, and what is reserved for it where that differs.
func (x *explainer) sizes(t *task, need resource.Vector) {
	if need == t.need() {
		x.addf("Task %d declares %s.", t.index, need)
		return
	}
	x.addf("Task %d declares %s; by what %d tasks of class %q really used, %s is reserved.",
		t.index, t.need(), t.job.class.model.ratio[0].total, t.job.Class, need)
}

// room counts the upstreams by the first reason against them.
func (x *explainer) room(t *task, need resource.Vector) {
	c := x.cell
	var counts reasonCounts
	for _, u := range c.upstreamOrder {
		counts[c.reasonAgainst(t, u, need, x.now)]++
	}
	switch {
	case counts[Fits] > 0 && x.job.Policy == Gang:
		x.addf("%d of %d upstreams have room for one of its tasks; the gang waits until all of them find room.", counts[Fits], len(c.upstreamOrder))
	case counts[Fits] > 0:
		x.addf("%d of %d upstreams have room; the task is placed when its turn comes.", counts[Fits], len(c.upstreamOrder))
	default:
		x.addf("It waits because none of the %d upstreams can take it now.", len(c.upstreamOrder))
	}
	if list := counts.list(); list != "" {
		x.addf("Of the others, %s.", list)
	}
}

// list renders the counts of all reasons except Fits.
func (counts *reasonCounts) list() string {
	var parts []string
	for r := Fits + 1; r < numReasons; r++ {
		if n := counts[r]; n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, r))
		}
	}
	return strings.Join(parts, ", ")
}

// reasonAgainst returns the first reason against placing a task on an upstream, or Fits.
func (c *Cell) reasonAgainst(t *task, u *upstream, need resource.Vector, now time.Time) Reason {
	if u.reason != Fits {
		return u.reason
	}
	switch d, ok := need.FirstOver(u.free()); {
	case !ok:
		return noRoomIn(d)
	case !u.domain.open(now):
		return DomainRamping
	case c.avoids(t.job, u):
		return FailedBefore
	case u.heldFor != nil && u.heldFor.job != t.job:
		return HeldForOtherJob
	}
	return Fits
}

// reservation describes the upstreams held for the job.
func (x *explainer) reservation() {
	if x.job.Policy == Gang {
		x.addf("All %d tasks of a gang start together or not at all.", len(x.job.tasks))
	}
	if v := x.job.reservation; v != nil {
		x.addf("Upstreams are held for it: %d, for at most %s more; they are expected to have room in %s, and shorter work may use them until then.",
			len(v.held), rounded(v.until.Sub(x.now)), rounded(max(0, v.start.Sub(x.now))))
		return
	}
	if x.now.Before(x.job.noReservationUntil) {
		x.addf("Upstreams held for it did not become free in time; it may hold others in %s.", rounded(x.job.noReservationUntil.Sub(x.now)))
	}
}

// order describes which work is placed first: teams by weighted share, and a team's own
// work by start deadline.
func (x *explainer) order(t *task) {
	c, tm := x.cell, x.job.team(x.cell)
	before := 0
	for _, o := range c.teamOrder {
		if o.hasWaiting() && c.weightedShare(o) < c.weightedShare(tm) {
			before++
		}
	}
	x.addf("Team %s uses %s of the cell with a weight of %d; %d teams with waiting work use less for their weight and go first.",
		tm.Name, percent(dominantShare(tm.used, c.total)), tm.Share, before)
	if t.entry == nil {
		return
	}
	ahead := 0
	for _, e := range tm.queues[t.entry.tier] {
		if e.startDeadline.Before(t.entry.startDeadline) {
			ahead++
		}
	}
	x.addf("Of the team's own work, %d jobs go first: by submission, with short and small work ahead of long and large.", ahead)
}

// hasWaiting reports whether the team has work in its queues.
func (tm *team) hasWaiting() bool {
	for _, q := range tm.queues {
		if len(q) > 0 {
			return true
		}
	}
	return false
}

// placements describes the placement of each live task, up to maxExplained.
func (x *explainer) placements() {
	listed := 0
	for i := range x.job.tasks {
		t := &x.job.tasks[i]
		if t.up == nil {
			continue
		}
		if listed == maxExplained {
			x.addf("Further placements are not listed.")
			return
		}
		listed++
		x.placement(t)
	}
}

// placement describes one live task, its upstream and the reasons for the choice.
func (x *explainer) placement(t *task) {
	u, n := t.up, t.rationale
	x.addf("Task %d (attempt %d) is %s on %s, failure domain %s, rack %s, with %s reserved.",
		t.index, t.attempt, phaseNames[t.phase], u.Name, u.Domain, u.Rack, t.reserved)
	if n == nil {
		x.addf("It was placed by an earlier leader, which kept the reasons.")
		return
	}
	x.addf("It was placed %s after submission, when its team used %s of the cell per unit of weight.",
		rounded(n.waited), percent(float64(n.weightedShare)))
	text := fmt.Sprintf("%d upstreams had room and %d had not", n.fitting, n.full)
	if list := n.round.blocked.list(); list != "" {
		text += "; " + list
	}
	x.addf("%s.", text)
	x.addf("%s", n.choice(t))
}

// choice tells why the upstream was chosen, with its score and the runner-up.
func (n *rationale) choice(t *task) string {
	reason := "leaves the least capacity unused, evenly over all dimensions"
	switch t.job.Policy {
	case Service:
		reason = "keeps the service spread over failure domains and racks"
	case Gang:
		reason = "keeps the gang in few racks"
	}
	if n.second == nil {
		return fmt.Sprintf("%s %s (score %.2f, lower is better); no other upstream was as good a candidate.", t.up.Name, reason, n.score)
	}
	return fmt.Sprintf("%s %s (score %.2f, lower is better); next was %s with %.2f.", t.up.Name, reason, n.score, n.second.Name, n.secondScore)
}
