package sched

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

const (
	// minSamples is how many tasks a model needs before it is used.
	minSamples = 8
	// endQuantile is the fraction of tasks that are expected to have ended by
	// the time that backfill relies on.
	endQuantile = 0.9
	// defaultRunTime is assumed for work that neither declares nor has shown a run time.
	defaultRunTime = time.Minute
)

// measured are the dimensions whose real use differs from what is declared.
var measured = [...]resource.Dimension{resource.Cores, resource.Memory}

// sizeQuantiles are the fractions of tasks whose peak use a reservation covers. Too few
// cores slow a task down, too little memory ends it.
var sizeQuantiles = [len(measured)]float64{0.8, 0.95}

// noSample marks a task that has not been counted in a model.
const noSample = 0xff

// model holds what was learned of the tasks of one kind.
type model struct {
	// ratio is use divided by the declared amount.
	ratio [len(measured)]histogram
	// run is in seconds, runRatio is divided by the declared run time.
	run      histogram
	runRatio histogram
}

// class is the work of one team under one class name.
type class struct {
	team  string
	name  string
	model model
	// spread counts the live tasks of services per rack and domain.
	spread spread
	health classHealth
}

// classKey names a class.
type classKey struct{ team, name string }

// observe counts a task's use in its class; each task counts once, with its peak.
func (t *task) observe() {
	need := t.need()
	for i, d := range measured {
		if need[d] <= 0 {
			continue
		}
		b := ratioScale.bucket(float64(t.use[i]) / float64(need[d]))
		was := t.sample[i]
		if was != noSample && b <= was {
			continue
		}
		h := &t.job.class.model.ratio[i]
		if was == noSample {
			h.add(b)
		} else {
			h.move(was, b)
		}
		t.sample[i] = b
	}
}

// reserve returns what to reserve for a task that declares need: the learned quantile
// of its class, or what it declares while too few tasks of the class were seen.
func (c *Cell) reserve(cl *class, need resource.Vector) resource.Vector {
	out := need
	for i, d := range measured {
		h := &cl.model.ratio[i]
		if h.total < minSamples || need[d] == 0 {
			continue
		}
		b, _ := h.quantile(sizeQuantiles[i], 0)
		out[d] = max(1, int64(ratioScale.upper(b)*float64(need[d])))
	}
	if !c.fitsSomeVM(out) {
		return need
	}
	return out
}

// expected returns the run time that the fraction q of a class's tasks does not pass,
// given the time already run. Declared times are corrected by the ratio learned.
func (c *Cell) expected(cl *class, declared, elapsed time.Duration, q float64) time.Duration {
	h, sc, unit := &cl.model.run, secondsScale, time.Second
	if declared > 0 {
		h, sc, unit = &cl.model.runRatio, runScale, declared
	}
	if h.total < minSamples {
		return c.expectedWithoutModel(declared, elapsed)
	}
	b, ok := h.quantile(q, sc.bucket(float64(elapsed)/float64(unit)))
	if !ok {
		return 2 * elapsed
	}
	return max(elapsed, time.Duration(sc.upper(b)*float64(unit)))
}

// expectedWithoutModel trusts the declaration until it is passed, and then doubles.
func (c *Cell) expectedWithoutModel(declared, elapsed time.Duration) time.Duration {
	if declared == 0 {
		declared = defaultRunTime
	}
	if elapsed >= declared {
		return 2 * elapsed
	}
	return declared
}

// observeRun counts the run time of a task that came to its end.
func (cl *class) observeRun(declared, run time.Duration) {
	cl.model.run.add(secondsScale.bucket(run.Seconds()))
	if declared > 0 {
		cl.model.runRatio.add(runScale.bucket(float64(run) / float64(declared)))
	}
}

// remaining returns how long a running task is expected to run on; services run without end.
func (c *Cell) remaining(t *task, now time.Time) (d time.Duration, ends bool) {
	if t.job.Policy == Service {
		return 0, false
	}
	elapsed := max(0, now.Sub(t.since))
	return c.expected(t.job.class, t.job.Expected, elapsed, 0.5) - elapsed, true
}
