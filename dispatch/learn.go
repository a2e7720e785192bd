package dispatch

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

const (
	// learnRate is the weight of one more run in a moving average over about twenty runs.
	learnRate = 0.05
	// upstreamRate is that of an upstream's speed, which may change within seconds.
	upstreamRate = 0.25
	// ratioMin and ratioMax bound one run's ratio, so that a single run can't spoil an average.
	ratioMin, ratioMax = 0.1, 10.0
	// failRate is the weight of one more end in an upstream's share of failures; failBound is the
	// share above which an upstream is avoided for failPause. Jobs fail 0.5 to 5% of their runs
	// and services a tenth, so that half of the last ends is no chance.
	failRate  = 0.3
	failBound = 0.5
	failPause = 4 * time.Second
	// defaultEstimate stands for a task without an estimate.
	defaultEstimate = time.Second
)

// learner knows how run times compare to what jobs declare. Declared times are off by half
// to nine tenths, upstreams differ in speed, and some turn slow.
type learner struct {
	queues    map[string]*average
	upstreams map[string]*average
	failures  map[string]*average
	// avoided holds until when upstreams that fail what they start get nothing new.
	avoided map[string]time.Duration
}

type average struct {
	value float64
	count int
}

func newLearner() learner {
	return learner{queues: make(map[string]*average), upstreams: make(map[string]*average),
		failures: make(map[string]*average), avoided: make(map[string]time.Duration)}
}

// add takes one sample; the first ones weigh more.
func (a *average) add(sample, rate float64) {
	a.count++
	a.value += (sample - a.value) * max(rate, 1/float64(a.count))
}

func averageOf(m map[string]*average, key string) *average {
	a := m[key]
	if a == nil {
		a = &average{value: 1}
		m[key] = a
	}
	return a
}

// declared is what the step's job says of one task's run time.
func declared(st *pipeline.Step) time.Duration {
	if ms := st.Spec.GetEstimateMs(); ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultEstimate
}

// expected is the run time that is expected of one task of the step on a common upstream.
func (l *learner) expected(st *pipeline.Step) time.Duration {
	ratio := 1.0
	if a := l.queues[st.Job().Spec.GetQueue()]; a != nil {
		ratio = a.value
	}
	return time.Duration(float64(declared(st)) * ratio)
}

// slowness is how much longer than expected the upstream's last runs took.
func (l *learner) slowness(upstream string) float64 {
	if a := l.upstreams[upstream]; a != nil {
		return a.value
	}
	return 1
}

// ran takes the time of a run that ended with its result.
func (l *learner) ran(r *pipeline.Run, took time.Duration) {
	st := r.Task.Step
	if st.Spec.GetLasting() || st.Spec.GetGang() || r.Task.Checkpoint != "" {
		return
	}
	sample := min(max(float64(took)/float64(l.expected(st)), ratioMin), ratioMax)
	averageOf(l.upstreams, r.Upstream.GetId()).add(sample, upstreamRate)
	ratio := min(max(float64(took)/float64(declared(st)), ratioMin), ratioMax)
	averageOf(l.queues, st.Job().Spec.GetQueue()).add(ratio, learnRate)
}

// ended takes whether a run on an upstream failed, and reports whether the upstream is avoided now.
func (l *learner) ended(upstream string, failed bool, now time.Duration) bool {
	a := l.failures[upstream]
	if a == nil {
		a = &average{}
		l.failures[upstream] = a
	}
	sample := 0.0
	if failed {
		sample = 1
	}
	a.value += (sample - a.value) * failRate
	if a.value < failBound {
		return false
	}
	// The next few ends decide anew after the pause.
	a.value = 0
	l.avoided[upstream] = now + failPause
	return true
}

// failing reports whether an upstream is avoided.
func (l *learner) failing(upstream string, now time.Duration) bool { return now < l.avoided[upstream] }
