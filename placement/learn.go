package placement

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

const (
	// learnRate is the weight of a new run in a moving average over about twenty runs.
	learnRate = 0.05
	// steadyRate is the weight of a new run in an upstream's long-term speed: the tasks of a step
	// differ by a third in run time, so that about 25 runs are needed to distinguish 0.8 from
	// 1.0. recentRate is the weight in the average of its last runs, which shows that the
	// upstream has become slow.
	steadyRate, recentRate = 0.04, 0.3
	// steadyMin and steadyMax bound the effect of a run on the long-term speed: upstreams differ
	// by less than this, and the effect of a slow period must wear off.
	steadyMin, steadyMax = 0.5, 2.0
	// slowdownFactor is the ratio of the recent to the long-term run time above which an upstream
	// counts as having become slow. Upstreams that become slow run four to seven times slower.
	slowdownFactor = 1.8
	// trustRuns is the number of runs that weigh as much as the initial assumption of an average
	// speed.
	trustRuns = 4
	// slowBound is the slowness above which urgent tasks avoid an upstream if they can. In the
	// deployments that use this program, the slow third of the upstreams has a slowness of 1.25.
	slowBound = 1.12
	// minSiblings is the number of finished tasks of a step from which on their mean run time is
	// used instead of the step's estimate.
	minSiblings = 2
	// ratioMin and ratioMax bound the ratio of one run, so that a single run cannot distort an
	// average.
	ratioMin, ratioMax = 0.1, 10.0
	// failRate is the weight of a new end in an upstream's share of failures; failBound is the
	// share from which an upstream is avoided for FailPause. Jobs fail 0.5 to 5% of their runs
	// and services a tenth, so that a share of one half is not due to chance.
	failRate  = 0.3
	failBound = 0.5
	FailPause = 4 * time.Second
	// allowedShareCheap and allowedShareCostly are the shares of upstreams that a cheap and a
	// costly question are expected to allow as long as nothing is known of their queue.
	allowedShareCheap  = 0.7
	allowedShareCostly = 0.35
	// allowedTrust is the number of answered upstreams that weigh as much as that expectation, and
	// allowedMemory the number that are remembered.
	allowedTrust, allowedMemory = 50, 2000
	// defaultEstimate is used for a task without an estimate.
	defaultEstimate = time.Second
)

// Learner estimates how run times compare to the times that jobs declare. Declared times are off
// by half to nine tenths, upstreams differ in speed, and some become slow.
type Learner struct {
	// queues holds the ratio of actual to declared run times by queue, which its route identifies here and below.
	queues map[pipeline.Route]*average
	// upstreams holds the speed of each upstream, failures the share of its runs that failed.
	upstreams map[string]*speed
	failures  map[string]*average
	// answers counts, by queue, the upstreams that were asked about and those that were allowed.
	answers map[pipeline.Route]*answerCount
	// regressions predict, by queue, run times from declared ones.
	regressions map[pipeline.Route]*regression
	// avoided holds, by upstream, the time until which it gets no new work because it failed most
	// runs.
	avoided map[string]time.Duration
	// runTimes holds distributions of run times, copyWins the share of copies that were done first.
	runTimes *runTimes
	copyWins map[copyClass]*average
}

// answerCount counts upstreams in the answers of the permit service.
type answerCount struct{ asked, allowed float64 }

// RecordAnswer records how many of the upstreams of a question were allowed.
func (l *Learner) RecordAnswer(st *pipeline.Step, asked, allowed int) {
	route := st.Job().Route()
	c := l.answers[route]
	if c == nil {
		c = &answerCount{}
		l.answers[route] = c
	}
	c.asked, c.allowed = c.asked+float64(asked), c.allowed+float64(allowed)
	if c.asked > allowedMemory {
		c.asked, c.allowed = c.asked/2, c.allowed/2
	}
}

// allowedShare returns the share of upstreams that the permit service is expected to allow for a
// step.
func (l *Learner) allowedShare(st *pipeline.Step, terms *pipelinev1.PermitTerms) float64 {
	guess := allowedShareCheap
	if isCostly(terms) {
		guess = allowedShareCostly
	}
	if c := l.answers[st.Job().Route()]; c != nil {
		return (c.allowed + allowedTrust*guess) / (c.asked + allowedTrust)
	}
	return guess
}

// average is an exponential moving average.
type average struct {
	value float64
	count int
}

// NewLearner returns a learner that knows nothing.
func NewLearner() *Learner {
	return &Learner{queues: make(map[pipeline.Route]*average), upstreams: make(map[string]*speed),
		failures: make(map[string]*average), answers: make(map[pipeline.Route]*answerCount), regressions: make(map[pipeline.Route]*regression), avoided: make(map[string]time.Duration),
		runTimes: newRunTimes(), copyWins: make(map[copyClass]*average)}
}

// add adds a sample with a weight of at least rate; the first samples weigh more.
func (a *average) add(sample, rate float64) {
	a.count++
	a.value += (sample - a.value) * max(rate, 1/float64(a.count))
}

// averageOf returns the average of a key, which begins at 1.
func averageOf(m map[pipeline.Route]*average, key pipeline.Route) *average {
	a := m[key]
	if a == nil {
		a = &average{value: 1}
		m[key] = a
	}
	return a
}

// declared returns the run time that the job declares for one task of the step.
func declared(st *pipelinev1.Step) time.Duration {
	if ms := st.GetEstimateMs(); ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultEstimate
}

// Expected returns the expected run time of one task of the step on an upstream of average speed.
func (l *Learner) Expected(st *pipeline.Step) time.Duration {
	return l.expectedOf(st.Job().Route(), st.Spec)
}

// expectedOf is Expected for a step of a job that may not be accepted.
func (l *Learner) expectedOf(r pipeline.Route, st *pipelinev1.Step) time.Duration {
	ratio := 1.0
	if a := l.queues[r]; a != nil {
		ratio = a.value
	}
	return time.Duration(float64(declared(st)) * ratio)
}

// speed holds the run time on an upstream relative to an upstream of average speed: over the long
// term and over the last runs.
type speed struct {
	steady, recent average
	// slowRuns is the number of last runs that all were slower than usual by slowdownFactor.
	slowRuns int
}

// slowness returns the expected run time on an upstream relative to one of average speed.
func (l *Learner) slowness(upstream string) float64 { return l.upstreams[upstream].slowness() }

// slownessOf is like slowness; it looks the upstream's speed up only until there is one.
func (l *Learner) slownessOf(u *Upstream) float64 {
	if u.speed == nil {
		u.speed = l.upstreams[u.GetId()]
	}
	return u.speed.slowness()
}

// slowness returns the expected run time relative to an upstream of average speed; a nil speed is the
// average.
func (s *speed) slowness() float64 {
	if s == nil {
		return 1
	}
	lasting := s.lasting()
	if s.recent.count >= minSiblings && s.recent.value > slowdownFactor*lasting {
		return s.recent.value
	}
	return lasting
}

// lasting returns the long-term part of the slowness.
func (s *speed) lasting() float64 {
	if s == nil {
		return 1
	}
	trust := float64(s.steady.count) / float64(s.steady.count+trustRuns)
	return 1 + (s.steady.value-1)*trust
}

// slow reports whether urgent tasks should avoid the upstream.
func (l *Learner) slow(upstream string) bool { return l.slowness(upstream) > slowBound }

// RecordRun records the run time of a run that completed. The other tasks of its step predict the
// run time elsewhere better than the declared estimate does; w may be nil.
func (l *Learner) RecordRun(r *pipeline.Run, took time.Duration, w *Work) {
	if !hasWholeRun(r) {
		return
	}
	st := r.Task.Step
	l.recordRatio(r, took, false)
	base := float64(l.Expected(st))
	if w != nil && w.meanRunTime.count >= minSiblings {
		base = w.meanRunTime.value
	}
	id := r.Upstream.GetId()
	if w != nil {
		w.meanRunTime.add(float64(took)/l.slowness(id), 0)
	}
	l.recordForRegression(st, time.Duration(float64(took)/l.slowness(id)))
	l.speedOf(id).add(clamp(float64(took)/base, ratioMin, ratioMax))
	averageOf(l.queues, st.Job().Route()).add(clamp(float64(took)/float64(declared(st.Spec)), ratioMin, ratioMax), learnRate)
}

// clamp limits x to the range from least to most.
func clamp(x, least, most float64) float64 { return min(max(x, least), most) }

// speedOf returns the speed of an upstream, adding one without samples if there is none.
func (l *Learner) speedOf(upstream string) *speed {
	s := l.upstreams[upstream]
	if s == nil {
		s = &speed{}
		l.upstreams[upstream] = s
	}
	return s
}

// add adds the run time of a run relative to its expected run time.
func (s *speed) add(sample float64) {
	s.slowRuns++
	if sample < slowdownFactor*s.lasting() {
		s.slowRuns = 0
	}
	s.steady.add(clamp(sample, steadyMin, steadyMax), steadyRate)
	s.recent.add(sample, recentRate)
}

// RecordEnd records whether a run on an upstream failed, and reports whether the upstream is to
// be avoided from now on.
func (l *Learner) RecordEnd(upstream string, failed bool, now time.Duration) bool {
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
	// After the pause the next few ends decide again.
	a.value = 0
	l.avoided[upstream] = now + FailPause
	return true
}

// Failing reports whether an upstream is avoided because of failures.
func (l *Learner) Failing(upstream string, now time.Duration) bool { return now < l.avoided[upstream] }
