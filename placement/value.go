package placement

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

const (
	// lateValue is the value of a late result relative to one in time, and uselessValue that of one that comes
	// after lateFactor times the objective. The latter orders such work; it earns nothing.
	lateValue, uselessValue = 0.2, 0.001
	// baseValue is the part of a job's value that does not depend on its work, the rest is proportional to the
	// work relative to the mean of its queue, up to maxRelativeWork.
	baseValue, maxRelativeWork = 0.3, 4.0
	// reachableSlack is the slack, as a share of the remaining time, below which a job is not expected to be in
	// time under overload: its steps wait for tickets and for other steps' tasks.
	reachableSlack = 0.25
	// pastUseMargin is the share of the remaining time, and pastUseSlack the time beyond it, by which the result must be
	// expected too late for a job to yield: run times are known roughly, and a job that yields in error is lost.
	pastUseMargin = 0.5
	pastUseSlack  = time.Second
	// maxYield is how long past its use a job stands behind the work that can still be of use. After that it goes
	// first in its queue, so that it ends however long the overload lasts.
	maxYield = 30 * time.Second
)

// assessment is what waiting costs a demand under overload.
type assessment struct {
	// triaged is set if the demand is ordered by it: if its service is overloaded and its queue is not urgent.
	triaged bool
	// loss is the value that is expected to be lost for each thousandth of a core-second that others are served first.
	loss float64
	// pastUse is set for work whose result comes too late, for as long as it yields; overdue once it has yielded
	// for maxYield.
	pastUse, overdue bool
}

// compareTriaged orders demands of one priority under overload: those that have yielded for long enough, then
// by the value that is lost for each core-second.
func compareTriaged(a, b assessment) int {
	switch {
	case a.triaged != b.triaged:
		return compareBools(a.triaged, b.triaged)
	case !a.triaged:
		return 0
	case a.overdue != b.overdue:
		return compareBools(b.overdue, a.overdue)
	case a.loss > b.loss:
		return -1
	case a.loss < b.loss:
		return 1
	}
	return 0
}

// assess assesses demands of overloaded services.
func (r *round) assess(demands []demand) {
	for i := range demands {
		r.assessOne(&demands[i])
	}
}

// overloaded reports whether more work waits for a service than can be done in time.
func (r *round) overloaded(service string) bool {
	l := r.loads[service]
	return l != nil && l.overloaded
}

// assessOne assesses a demand if its service is overloaded.
func (r *round) assessOne(d *demand) {
	l := r.loads[d.queue.GetService()]
	if !r.overloaded(d.queue.GetService()) || d.copies || d.work.Step.Spec.GetLasting() {
		return
	}
	likely := r.likelyUrgencyOf(d.work.Step)
	past := -likely.slack
	d.urgency = likely
	certain := time.Duration(pastUseMargin*float64(likely.remaining)) + pastUseSlack
	d.pastUse = likely.prospect == tooLate && past > certain && past < maxYield
	if d.queue.GetPriority() == urgentPriority {
		return
	}
	d.triaged, d.overdue = true, likely.prospect == tooLate && past >= maxYield
	d.loss = valueOf(d.work.Step.Occurrence, l.meanWork(d.work.Step.Job().Route()), r) * reachable(likely) / max(1, r.leftWork(*d))
}

// reachable returns the value of the result that can still be reached, relative to one in time.
func reachable(u urgency) float64 {
	switch {
	case u.prospect == tooLate:
		return uselessValue
	case u.prospect == late || float64(u.slack) < reachableSlack*float64(u.remaining):
		return lateValue
	}
	return 1
}

// valueOf returns the value of an occurrence's result in time, where the mean work of its queue is known.
func valueOf(o *pipeline.Occurrence, meanWork float64, r *round) float64 {
	return baseValue + (1-baseValue)*min(maxRelativeWork, r.wholeWork(o)/max(1, meanWork))
}

// wholeWork returns the likely work of all steps of an occurrence, in thousandths of core-seconds.
func (r *round) wholeWork(o *pipeline.Occurrence) (work float64) {
	for _, st := range o.Steps {
		work += r.taskWork(st) * float64(len(st.Tasks))
	}
	return work
}

// leftWork returns the likely work of a demand's job that was not begun, in thousandths of core-seconds.
func (r *round) leftWork(d demand) (work float64) {
	for _, st := range d.work.Step.Occurrence.Steps {
		tasks := st.Undone
		if st == d.work.Step {
			tasks = len(d.tasks)
		}
		work += r.taskWork(st) * float64(tasks)
	}
	return work
}

// taskWork returns the likely work of one task of a step in thousandths of core-seconds.
func (r *round) taskWork(st *pipeline.Step) float64 {
	return r.likelyRun(st).Seconds() * float64(st.Need.MilliCores)
}

// likelyRun returns the likely run time of a task of a step on an upstream of average speed.
func (r *round) likelyRun(st *pipeline.Step) time.Duration {
	if w := r.Steps[st]; w != nil && w.meanRunTime.count >= minSiblings {
		return time.Duration(w.meanRunTime.value)
	}
	return r.Learner.Likely(st)
}

// likelyUrgencyOf is like urgencyOf, by the likely run times.
func (r *round) likelyUrgencyOf(st *pipeline.Step) urgency {
	return r.compareToObjective(st, r.State.JobQueue(st.Job()), r.likelyRun)
}
