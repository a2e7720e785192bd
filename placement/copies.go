package placement

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

const (
	// stragglerFactor and stragglerSlack set the run time beyond which a copy of a task is worth its
	// cost where the distribution of run times is not known. Upstreams differ by a half in speed, and estimates are
	// off by a half as well.
	stragglerFactor = 2.0
	stragglerSlack  = 200 * time.Millisecond
	// copyWorth is the time that a copy must be expected to save, as a share of the time that it takes, so that it is
	// worth its cores.
	copyWorth = 0.5
	// copyAfter is how long a run must have taken, as a multiple of the time that a copy takes: the recent speed of an
	// upstream is that of a few runs.
	copyAfter = 1.5
	// minSlowRuns is the number of last runs that must all have been slow for an upstream to be measured as slow. Where
	// 3% of the tasks take seven times as long as others, a tenth of the upstreams would be by a single run.
	minSlowRuns = 2
	// copyStart is the time from the placement of a copy to its start.
	copyStart = 200 * time.Millisecond
	// startPatience is how long after its placement a start without an answer counts as late. Under load, starts
	// were answered up to 1.3 s after the placement, and a copy would have waited as long.
	startPatience = 1500 * time.Millisecond
	// copyWinGuess is the share of copies that are expected to end first as long as nothing is known of their queue,
	// copyWinTrust the number of copies that weigh as much, copyWinRate the weight of a new one, over about twenty, and
	// copyWinLeast the least share, with which a run still gets a copy if it is expected to take eleven times as long.
	copyWinGuess = 0.5
	copyWinTrust = 4
	copyWinRate  = 0.05
	copyWinLeast = 0.05
	// maxCopies is the share of a service's cores that copies may use. maxLateCopies is the part of it for runs on
	// upstreams that answer; the rest is for an upstream, or a whole failure domain, that does not. maxCopiesOverloaded is
	// the share in an overloaded service, where each copy takes the place of a first run. A service may always
	// have one copy, as a task of a small service may need more than its share.
	maxCopies           = 0.25
	maxLateCopies       = 0.05
	maxCopiesOverloaded = 0.01
)

// CopyReason says why a task gets a copy.
type CopyReason string

// The reasons for copies.
const (
	CopySilent CopyReason = "the upstream does not answer"
	CopySlow   CopyReason = "the upstream has become slow"
	CopyLate   CopyReason = "the run takes far longer than others do"
)

// Copy is a second run of a task, with the figures that it is based on.
type Copy struct {
	Run *pipelinev1.Run
	// Of is the task's first run.
	Of     *pipeline.Run
	Reason CopyReason
	// Ran is how long the first run has taken, Remaining how long it is expected to take still, zero if that is not
	// known, and Takes how long the copy is expected to take.
	Ran, Remaining, Takes time.Duration
	// WinShare is the share of the queue's copies that are expected to end first.
	WinShare float64
}

// copyUse is what copies of a service use, in thousandths of a core: all, and those of runs on upstreams that answer.
type copyUse struct{ all, late int64 }

// add adds a copy.
func (c *copyUse) add(need int64, reason CopyReason) {
	c.all += need
	if reason != CopySilent {
		c.late += need
	}
}

// fits reports whether a copy may be added to those of a service with so many cores.
func (c copyUse) fits(need int64, reason CopyReason, total int64, overloaded bool) bool {
	all, late := maxCopies, maxLateCopies
	if overloaded {
		all, late = maxCopiesOverloaded, maxCopiesOverloaded
	}
	c.add(need, reason)
	return c.all == need || float64(c.all) <= all*float64(total) && (reason == CopySilent || float64(c.late) <= late*float64(total))
}

// countCopies counts the copies of a step that run.
func (r *round) countCopies(w *Work) {
	p := r.pool(r.State.JobQueue(w.Step.Job()).GetService())
	for _, t := range w.Step.Tasks {
		if len(t.Live) > 1 {
			reason := CopyLate
			if r.isSilent(t.Live[0]) {
				reason = CopySilent
			}
			p.copies.add(w.Step.Need.MilliCores, reason)
		}
	}
}

// isSilent reports whether the upstream of a run does not answer.
func (r *round) isSilent(run *pipeline.Run) bool {
	u := r.byID[run.Upstream.GetId()]
	return u == nil || u.Silent
}

// stragglers returns the tasks of a step whose only run is on an upstream that does not answer, or is expected to
// take far longer than a copy.
func (r *round) stragglers(w *Work) []*pipeline.Task {
	var out []*pipeline.Task
	for _, t := range w.Step.Tasks {
		if t.Done || len(t.Live) != 1 || r.State.Exhausted(t) || t.Held() {
			continue
		}
		r.out.Inspected++
		if c, late := r.caseForCopy(t.Live[0]); late {
			r.copyCases[t] = c
			out = append(out, t)
		}
	}
	return out
}

// caseForCopy returns why a run's task should have a copy, if it should.
func (r *round) caseForCopy(run *pipeline.Run) (Copy, bool) {
	c := Copy{Of: run, Reason: CopySilent, Ran: time.Duration(r.WallNS - run.PlacedNS)}
	if r.isSilent(run) {
		return c, true
	}
	u, st := r.byID[run.Upstream.GetId()], run.Task.Step
	at, answered := u.Answered[run.Key()]
	switch {
	case answered:
		// For a run that this leader has not started, that is when it first heard of it, so that not all runs look late
		// after a change of leader.
		c.Ran = r.Now - at
	case !u.Answers:
		return c, false
	default:
		c.Ran -= startPatience
	}
	slowness, slow := r.Learner.measuredSlowness(u.GetId())
	c.Reason = CopyLate
	if slow {
		c.Reason = CopySlow
	}
	c.WinShare = r.Learner.copyWinShare(copyClass{st.Job().Route(), c.Reason == CopySlow})
	t, fastest := r.timingOf(st, u), r.pool(u.GetService()).fastest
	if t.curve == nil {
		c.Takes = r.Learner.Expected(st)
		return c, c.Ran > time.Duration(stragglerFactor*float64(c.Takes))+stragglerSlack
	}
	unit := t.scale * slowness
	c.Takes = t.expected(fastest)
	if float64(c.Ran) < copyAfter*float64(c.Takes) {
		return c, false
	}
	c.Remaining = time.Duration(unit * t.curve.remaining(float64(c.Ran)/unit))
	return c, c.worth()
}

// measuredSlowness returns the slowness of an upstream, and whether it has become slow by more than a single run.
func (l *Learner) measuredSlowness(upstream string) (float64, bool) {
	s := l.upstreams[upstream]
	if s != nil && s.slowRuns >= minSlowRuns {
		return s.slowness(), s.slowness() > s.lasting()
	}
	return s.lasting(), false
}

// worth reports whether a copy is expected to save enough time for what it takes.
func (c Copy) worth() bool {
	return c.WinShare*float64(c.Remaining-c.Takes-copyStart) > copyWorth*float64(c.Takes)
}

// allowedCopies returns the tasks of a demand for copies that may have one now: in an overloaded service not those of
// runs that are late on an upstream that is neither slow nor silent, and only as many as the budget allows.
func (r *round) allowedCopies(d demand) []*pipeline.Task {
	p, overloaded := r.poolFor(d), r.overloaded(d.queue.GetService())
	use, need := p.copies, d.work.Step.Need.MilliCores
	var out []*pipeline.Task
	for _, t := range d.tasks {
		reason := r.copyCases[t].Reason
		if overloaded && reason == CopyLate {
			continue
		}
		if !use.fits(need, reason, p.totalCores, overloaded) {
			r.refuseCopy(d.work, t)
			continue
		}
		use.add(need, reason)
		out = append(out, t)
	}
	return out
}

// refuseCopy counts a task whose copy is refused by the budget, once.
func (r *round) refuseCopy(w *Work, t *pipeline.Task) {
	if w.copyRefused[t.Index] {
		return
	}
	if w.copyRefused == nil {
		w.copyRefused = make(map[int32]bool)
	}
	w.copyRefused[t.Index] = true
	r.out.CopiesRefused++
}

// worthOn reports whether a copy of a task is worth its cost on the upstream that was chosen for it.
func (r *round) worthOn(t *pipeline.Task, u *Upstream) bool {
	c := r.copyCases[t]
	if timing := r.timingOf(t.Step, u); timing.curve != nil && c.Remaining > 0 {
		c.Takes = timing.expected(u.slowness)
		r.copyCases[t] = c
		return c.worth()
	}
	return true
}

// takeCopy records that the last run that was placed is a copy.
func (r *round) takeCopy(d demand, t *pipeline.Task) {
	c := r.copyCases[t]
	c.Run = r.out.Runs[len(r.out.Runs)-1]
	r.poolFor(d).copies.add(t.Step.Need.MilliCores, c.Reason)
	r.out.Copies = append(r.out.Copies, c)
}

// copyClass is what copies are counted by: the queue, and whether the first run is on an upstream that has become slow.
// Copies of tasks that take long anywhere end last, which tells nothing of an upstream that has become slow.
type copyClass struct {
	queue pipeline.Route
	slow  bool
}

// RecordCopy records whether the copy of a task was done before its first run.
func (l *Learner) RecordCopy(first *pipeline.Run, copyDone bool) {
	_, slow := l.measuredSlowness(first.Upstream.GetId())
	class, won := copyClass{first.Task.Step.Job().Route(), slow}, 0.0
	if copyDone {
		won = 1
	}
	a := l.copyWins[class]
	if a == nil {
		a = &average{}
		l.copyWins[class] = a
	}
	a.add(won, copyWinRate)
}

// copyWinShare returns the share of copies that are expected to be done first.
func (l *Learner) copyWinShare(class copyClass) float64 {
	a := l.copyWins[class]
	if a == nil {
		return copyWinGuess
	}
	count := min(float64(a.count), 1/copyWinRate)
	return max(copyWinLeast, (a.value*count+copyWinGuess*copyWinTrust)/(count+copyWinTrust))
}
