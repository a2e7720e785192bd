package placement

import (
	"math"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

const (
	// regressionRate is the weight of a new run in a queue's regression, over about five hundred runs. The
	// runs of one step have one declared time, so that this covers some thirty steps.
	regressionRate = 0.002
	// regressionMin is the number of runs from which on the regression is used.
	regressionMin = 50
	// regressionPrior is added to the variance and the covariance of declared times, so that these are trusted
	// where they hardly differ.
	regressionPrior = 0.02
)

// regression predicts run times from declared ones. It holds decaying moments of their logarithms.
type regression struct {
	count                                        int
	declared, actual, declaredVariance, covaried float64
}

// add adds a run.
func (g *regression) add(declared, actual time.Duration) {
	g.count++
	rate := max(regressionRate, 1/float64(g.count))
	x, y := logSeconds(declared)-g.declared, logSeconds(actual)-g.actual
	g.declared, g.actual = g.declared+rate*x, g.actual+rate*y
	g.declaredVariance = (1 - rate) * (g.declaredVariance + rate*x*x)
	g.covaried = (1 - rate) * (g.covaried + rate*x*y)
}

// predict returns the run time that is expected for a declared one. The less declared times tell, the
// closer it is to the usual run time.
func (g *regression) predict(declared time.Duration) time.Duration {
	slope := clamp((g.covaried+regressionPrior)/(g.declaredVariance+regressionPrior), 0, 1)
	return time.Duration(math.Exp(g.actual+slope*(logSeconds(declared)-g.declared)) * float64(time.Second))
}

// logSeconds returns the logarithm of a time in seconds, of a millisecond at least.
func logSeconds(t time.Duration) float64 { return math.Log(max(t, time.Millisecond).Seconds()) }

// recordForRegression adds a run that took so long to the regression of its queue.
func (l *Learner) recordForRegression(st *pipeline.Step, took time.Duration) {
	route := st.Job().Route()
	g := l.regressions[route]
	if g == nil {
		g = &regression{}
		l.regressions[route] = g
	}
	g.add(declared(st.Spec), took)
}

// Likely returns the likely run time of one task of the step on an upstream of average speed. Expected scales
// what the job declares, which may be off by nine tenths; Likely trusts it as far as it has told apart short
// and long runs.
func (l *Learner) Likely(st *pipeline.Step) time.Duration {
	if g := l.regressions[st.Job().Route()]; g != nil && g.count >= regressionMin {
		return g.predict(declared(st.Spec))
	}
	return l.Expected(st)
}
