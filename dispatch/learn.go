package dispatch

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

const (
	// learnRate is the weight of one more run in a moving average over about twenty runs.
	learnRate = 0.05
	// steadyRate is that of an upstream's lasting speed: tasks of one step differ by a third, so
	// that 25 runs tell 0.8 from 1.0. recentRate is that of its last runs, which show that it has
	// turned slow.
	steadyRate, recentRate = 0.04, 0.3
	// steadyMin and steadyMax bound a run's share in the lasting speed: upstreams differ by
	// less, and what a slow time adds has to wear off.
	steadyMin, steadyMax = 0.5, 2.0
	// turnedSlow is how much longer than the lasting speed lets expect the last runs take when an
	// upstream has turned slow; those that do run four to seven times slower.
	turnedSlow = 1.8
	// trustRuns is the number of runs that weighs as much as the assumption of a common speed.
	trustRuns = 4
	// slowBound is the slowness above which urgent tasks go elsewhere if they can: the slow third of
	// the library's upstreams has 1.25.
	slowBound = 1.12
	// minSiblings is the number of finished tasks of a step that tell more than its estimate.
	minSiblings = 2
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
	upstreams map[string]*speed
	failures  map[string]*average
	// avoided holds until when upstreams that fail what they start get nothing new.
	avoided map[string]time.Duration
}

type average struct {
	value float64
	count int
}

func newLearner() learner {
	return learner{queues: make(map[string]*average), upstreams: make(map[string]*speed),
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

// speed is how long an upstream's runs take, in terms of a common one's.
type speed struct {
	steady, recent average
}

// slowness is how much longer than on a common upstream runs are expected to take.
func (l *learner) slowness(upstream string) float64 {
	s := l.upstreams[upstream]
	if s == nil {
		return 1
	}
	trust := float64(s.steady.count) / float64(s.steady.count+trustRuns)
	lasting := 1 + (s.steady.value-1)*trust
	if s.recent.count >= minSiblings && s.recent.value > turnedSlow*lasting {
		return s.recent.value
	}
	return lasting
}

// slow reports whether urgent tasks should go elsewhere.
func (l *learner) slow(upstream string) bool { return l.slowness(upstream) > slowBound }

// ran takes the time of a run that ended with its result. Other tasks of its step tell better than
// its estimate how long it takes elsewhere; w may be nil.
func (l *learner) ran(r *pipeline.Run, took time.Duration, w *stepWork) {
	st := r.Task.Step
	if st.Spec.GetLasting() || st.Spec.GetGang() || r.Task.Checkpoint != "" {
		return
	}
	base := float64(l.expected(st))
	if w != nil && w.typical.count >= minSiblings {
		base = w.typical.value
	}
	id := r.Upstream.GetId()
	if w != nil {
		w.typical.add(float64(took)/l.slowness(id), 0)
	}
	l.speedOf(id).add(bounded(float64(took)/base, ratioMin, ratioMax))
	averageOf(l.queues, st.Job().Spec.GetQueue()).add(bounded(float64(took)/float64(declared(st)), ratioMin, ratioMax), learnRate)
}

func bounded(x, least, most float64) float64 { return min(max(x, least), most) }

func (l *learner) speedOf(upstream string) *speed {
	s := l.upstreams[upstream]
	if s == nil {
		s = &speed{}
		l.upstreams[upstream] = s
	}
	return s
}

func (s *speed) add(sample float64) {
	s.steady.add(bounded(sample, steadyMin, steadyMax), steadyRate)
	s.recent.add(sample, recentRate)
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
