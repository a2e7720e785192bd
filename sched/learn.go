package sched

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

const (
	// minSamples is how many samples a model needs before it is used.
	minSamples = 8
	// endQuantile is the fraction of tasks that are expected to have ended by the time
	// that backfill relies on.
	endQuantile = 0.9
	// defaultRunTime is assumed for work that has neither a declared nor a learned run
	// time.
	defaultRunTime = time.Minute
)

// measured are the dimensions in which the reported use may differ from the declared
// amount.
var measured = [...]resource.Dimension{resource.Cores, resource.Memory}

// sizeQuantiles are the fractions of tasks whose peak use a reservation covers, for each
// measured dimension. Memory has the higher one: too few cores slow a task down, too
// little memory ends it.
var sizeQuantiles = [len(measured)]float64{0.8, 0.95}

// noSample is the sample of a task that has not been counted in a model.
const noSample = 0xff

// model holds the statistics of the tasks of one class.
type model struct {
	// ratio is the peak use divided by the declared amount, per measured dimension.
	ratio [len(measured)]histogram
	// run is the run time in seconds; runRatio is the run time divided by the declared
	// one.
	run      histogram
	runRatio histogram
}

// class is the work of one team under one class name.
type class struct {
	team  string
	name  string
	model model
	// spread counts the live service tasks per upstream, rack and failure domain.
	spread spread
	health classHealth
}

// classKey identifies a class.
type classKey struct{ team, name string }

// observe adds a task's reported use to its class model. Each attempt counts once, with
// its peak use.
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

// learnedAmount returns what to reserve for a task that declares need: the learned quantile
// of its class, or need itself while the model has fewer than minSamples samples, or if the
// learned amounts would fit no known VM.
func (c *Cell) learnedAmount(cl *class, need resource.Vector) resource.Vector {
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

// expected returns the run time within which the fraction q of a class's tasks end, given
// the time already run. Declared run times are corrected by the learned ratio. A task
// that has run longer than all samples is expected to run twice its elapsed time.
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

// expectedWithoutModel returns the declared run time until it has passed, and then twice
// the elapsed time.
func (c *Cell) expectedWithoutModel(declared, elapsed time.Duration) time.Duration {
	if declared == 0 {
		declared = defaultRunTime
	}
	if elapsed >= declared {
		return 2 * elapsed
	}
	return declared
}

// observeRun adds the run time of a task that succeeded to the model.
func (cl *class) observeRun(declared, run time.Duration) {
	cl.model.run.add(secondsScale.bucket(run.Seconds()))
	if declared > 0 {
		cl.model.runRatio.add(runScale.bucket(float64(run) / float64(declared)))
	}
}

// remaining returns how much longer a running task is expected to run, by the median of
// its class. ends is false for services, which run without end.
func (c *Cell) remaining(t *task, now time.Time) (d time.Duration, ends bool) {
	if t.job.Policy == Service {
		return 0, false
	}
	elapsed := max(0, now.Sub(t.since))
	return c.expected(t.job.class, t.job.ExpectedRunTime, elapsed, 0.5) - elapsed, true
}
