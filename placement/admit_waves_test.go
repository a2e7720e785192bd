package placement

import (
	"cmp"
	"flag"
	"math"
	"slices"
	"sync"
	"testing"
	"time"
)

// replaySeeds is for the tables of admission-by-cost.md, which have six.
var replaySeeds = flag.Uint64("replay.seeds", 0, "seeds of TestCompareRetryWays, which is left out without any")

// retryWay is a way to treat callers that return; the zero value is the one in use.
type retryWay struct{ noHysteresis, noSpread bool }

// beforeDecision lets refusal end at the bound at which it begins, if there is no hysteresis.
func (w retryWay) beforeDecision(a *Admission) {
	if w.noHysteresis {
		clear(a.refusing)
	}
}

// beforeReturn tells callers to return for the bound at which refusal begins, if there is no hysteresis, and all of a
// team the same time, if their returns are not spread.
func (w retryWay) beforeReturn(r *Refusal) {
	if w.noHysteresis && r.Cost.wait > 0 {
		chain := r.Cost.End - r.Cost.Start
		within := time.Duration(hopeless.begin * float64(r.Cost.LateBound-chain))
		if r.Reason == ReasonTeamExcess {
			within = time.Duration(excess.begin*float64(r.Cost.LateBound)) - chain
		}
		r.Cost.wait = max(r.Cost.Start-within, time.Millisecond)
	}
	if w.noSpread && r.holder != nil {
		r.holder.lastReturn, r.holder.lastCostReturn = 0, 0
	}
}

// waves counts jobs that were refused first, attempts of theirs that were refused again, and those that were then taken.
type waves struct{ refused, again, taken float64 }

func (w *waves) count(attempt int, r Refusal) {
	switch {
	case attempt > 1 && r.Reason != "":
		w.again++
	case attempt > 1:
		w.taken++
	case r.Reason != "":
		w.refused++
	}
}

// teamResult is what became of the jobs of some teams.
type teamResult struct{ jobs, gaveUp, inTime, late, useless, earned, owed float64 }

func (t *teamResult) add(j *replayedJob, took time.Duration, gaveUp bool) {
	t.jobs, t.owed = t.jobs+1, t.owed+j.work
	switch {
	case gaveUp:
		t.gaveUp++
	case took <= j.objective:
		t.inTime, t.earned = t.inTime+1, t.earned+j.work
	case took <= lateFactor*j.objective:
		t.late, t.earned = t.late+1, t.earned+lateValue*j.work
	default:
		t.useless++
	}
}

func (t *teamResult) share() float64 { return t.earned / max(t.owed, 1e-9) }

// wavesResult is what a way gave over some seeds.
type wavesResult struct {
	waves
	queues map[string]*teamResult
	// all are all jobs, hot those of the teams at many times their usual, others the rest.
	all, hot, others teamResult
	// worst is what the worst tenth of the teams earned, the mean of the seeds.
	worst float64
}

// playWaves plays the acquirer's worst day at a multiple of its usual load, with some seeds. A nil way admits all.
func playWaves(t *testing.T, seeds uint64, load float64, way *retryWay) *wavesResult {
	out := &wavesResult{queues: make(map[string]*teamResult)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for seed := range seeds {
		wg.Go(func() {
			r := acquirer(t, seed, load)
			if way != nil {
				r.admission = newReplayAdmission()
				r.admission.way = *way
			}
			var done []finishedJob
			r.finished = func(j *replayedJob, took time.Duration) { done = append(done, finishedJob{j, took}) }
			r.run(acquirerDay, acquirerBursts()...)
			mu.Lock()
			defer mu.Unlock()
			out.add(r, done)
		})
	}
	wg.Wait()
	out.worst /= float64(seeds)
	return out
}

// add adds the jobs of a seed.
func (w *wavesResult) add(r *replay, done []finishedJob) {
	hot, teams := acquirerBursts()[1].teams, make([]teamResult, len(r.cell.State.Config().GetTeams()))
	one := func(j *replayedJob, took time.Duration, gaveUp bool) {
		if w.queues[j.class] == nil {
			w.queues[j.class] = &teamResult{}
		}
		group := &w.others
		if slices.Contains(hot, j.team) {
			group = &w.hot
		}
		for _, t := range []*teamResult{w.queues[j.class], group, &w.all, &teams[j.team]} {
			t.add(j, took, gaveUp)
		}
	}
	for _, j := range done {
		one(j.replayedJob, j.took, false)
	}
	if a := r.admission; a != nil {
		w.refused, w.again, w.taken = w.refused+a.waves.refused, w.again+a.waves.again, w.taken+a.waves.taken
		for _, j := range a.gaveUp {
			one(j, math.MaxInt64, true)
		}
	}
	slices.SortFunc(teams, func(a, b teamResult) int { return cmp.Compare(a.share(), b.share()) })
	worst := teams[:len(teams)/10]
	for _, t := range worst {
		w.worst += t.share() / float64(len(worst))
	}
}

func (w *wavesResult) log(t *testing.T, name string) {
	t.Logf("%s: %.0f refused first, %.0f again, %.0f taken on a return, %.0f gave up; earned: all %.4f, hot %.3f, others %.4f, worst tenth %.3f", name,
		w.refused, w.again, w.taken, w.all.gaveUp, w.all.share(), w.hot.share(), w.others.share(), w.worst)
	for _, queue := range []string{"auth-batch", "settle-run", "dispute-watch"} {
		logShares(t, queue, w.queues[queue])
	}
	logShares(t, "hot teams", &w.hot)
	logShares(t, "other teams", &w.others)
}

func logShares(t *testing.T, name string, r *teamResult) {
	t.Logf("   %s: %.0f jobs, earned %.4f; gave up %.4f, late %.4f, of no use %.4f, in time %.4f", name, r.jobs, r.share(), r.gaveUp/r.jobs, r.late/r.jobs,
		r.useless/r.jobs, r.inTime/r.jobs)
}

// Two teams at 6.6 times their usual in bursts of large jobs, at 1.4 times the acquirer's usual load: a Retry-After that is
// shorter than the time until the job would be taken lets refused callers meet the same refusal up to four times more.
func TestRefusedCallersMeetNoSecondWave(t *testing.T) {
	const seeds, load, mostAgain = 1, 1.4, 0.1
	w := playWaves(t, seeds, load, &retryWay{})
	w.log(t, "in use")
	if w.refused == 0 || w.again > mostAgain*w.refused {
		t.Errorf("%.0f jobs were refused, and %.0f times again", w.refused, w.again)
	}
}

// TestCompareRetryWays logs what each way to treat refused callers gives, for the tables of admission-by-cost.md.
func TestCompareRetryWays(t *testing.T) {
	if *replaySeeds == 0 {
		t.Skip("only with -replay.seeds")
	}
	for _, load := range []float64{1, 1.4} {
		t.Logf("load %.1f", load)
		playWaves(t, *replaySeeds, load, nil).log(t, "nothing refused")
		for _, c := range []struct {
			name string
			way  retryWay
		}{{"in use", retryWay{}}, {"no hysteresis", retryWay{noHysteresis: true}}, {"no spread", retryWay{noSpread: true}}, {"neither", retryWay{true, true}}} {
			playWaves(t, *replaySeeds, load, &c.way).log(t, c.name)
		}
	}
}
