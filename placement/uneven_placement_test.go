package placement

import (
	"math"
	"sync"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

const (
	// stragglingShare is the share of tasks that take stragglerTimes as long as others of their step. The 99th percentile
	// of measured run times leaves less than a hundredth of the runs to them.
	stragglingShare, stragglerTimes = 0.005, 7
	unevenDay                       = 34 * time.Second
)

// unevenRecipes returns the load of a deployment of uneven upstreams at a multiple of its usual rate: 350 upstreams of 16
// cores times 0.5, 1 and 2, a third of them 1.3 times slower.
func unevenRecipes(tb testing.TB, seed uint64, load float64) *replay {
	queues := []*pipelinev1.Queue{
		replayQueue("prep", 0, 4, 1.5, 250, permitTerms(23, 0.33, 2500)),
		replayQueue("cook", 2, 3, 2.2, 1200, permitTerms(410, 5.9, 2500)),
	}
	classes := []class{
		{queue: "prep", perSecond: 34.8 * load, steps: 1.6, tasks: 9.5, seconds: 0.8, milliCores: 2000, memoryMiB: 4000, off: 0.5, allowed: 0.7, fails: 0.005, forks: 0.3},
		{queue: "cook", perSecond: 3.9 * load, steps: 2, tasks: 17, seconds: 4.8, milliCores: 4500, memoryMiB: 9000, gangs: 0.08, saves: 0.8, off: 0.5, allowed: 0.35, fails: 0.005, forks: 0.3},
	}
	cores := make([]int64, 350)
	for i := range cores {
		cores[i] = []int64{16000, 16000, 8000, 32000}[(i*7)%4]
	}
	r := newReplay(tb, seed, queues, classes, deployment{cores: cores, callers: 36, teams: 20, limit: 1.9, skew: 1})
	r.fixedOutcomes, r.watch = true, r.addStragglers()
	return r
}

// addStragglers returns a function that makes some tasks of new jobs stragglers.
func (r *replay) addStragglers() func(time.Duration) {
	seen := make(map[*pipeline.Job]bool)
	return func(time.Duration) {
		for st := range r.cell.Steps {
			if seen[st.Job()] {
				continue
			}
			seen[st.Job()] = true
			for _, step := range st.Occurrence.Steps {
				for _, t := range step.Tasks {
					if len(t.Live) == 0 && drawn(t.Key()) < stragglingShare {
						r.left[t] *= stragglerTimes
						r.jobs[st.Job().Spec.GetId()].straggles = true
					}
				}
			}
		}
	}
}

// swings returns a demand that swings by half in 17 s.
func swings() (out []pressure) {
	const step = 500 * time.Millisecond
	for at := time.Duration(0); at < unevenDay; at += step {
		times := 1 + 0.5*math.Sin(2*math.Pi*at.Seconds()/17)
		for _, queue := range []string{"prep", "cook"} {
			out = append(out, pressure{class: queue, from: at, to: at + step, times: times})
		}
	}
	return out
}

// burstsAndSwings returns swings with bursts of each kind of job.
func burstsAndSwings() []pressure {
	return append(swings(), pressure{class: "cook", from: 5 * time.Second, to: 9 * time.Second, times: 2},
		pressure{class: "prep", from: 8 * time.Second, to: 12 * time.Second, times: 2}, pressure{class: "cook", from: 20 * time.Second, to: 23 * time.Second, times: 2})
}

// kindResult is what the jobs of one kind got. Jobs with stragglers count only as work that is placed.
type kindResult struct {
	credit
	lateness time.Duration
	// onSlow is the work placed on slow upstreams, placed all of it, by slack as a share of the remaining time: below a
	// half, below one, above.
	onSlow, placed [3]float64
}

func (k *kindResult) sum(o *kindResult) {
	k.credit.sum(&o.credit)
	k.lateness += o.lateness
	for i := range k.placed {
		k.onSlow[i], k.placed[i] = k.onSlow[i]+o.onSlow[i], k.placed[i]+o.placed[i]
	}
}

// slowShare returns the share of the work on slow upstreams.
func (k *kindResult) slowShare() float64 {
	return (k.onSlow[0] + k.onSlow[1] + k.onSlow[2]) / (k.placed[0] + k.placed[1] + k.placed[2])
}

// playUneven plays the load on some seeds and returns the results by queue.
func playUneven(tb testing.TB, load float64, seeds int, pressures []pressure) map[string]*kindResult {
	out := map[string]*kindResult{"prep": {}, "cook": {}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for seed := range uint64(seeds) {
		wg.Go(func() {
			r, own := unevenRecipes(tb, seed, load), map[string]*kindResult{"prep": {}, "cook": {}}
			r.decided = func(d Decision) { r.countPlaced(d, own) }
			r.finished = func(j *replayedJob, took time.Duration) {
				if !j.straggles {
					own[j.class].add(j, took)
					own[j.class].lateness += max(0, min(took, time.Minute)-j.objective)
				}
			}
			r.run(unevenDay, pressures...)
			mu.Lock()
			defer mu.Unlock()
			for queue, k := range own {
				out[queue].sum(k)
			}
		})
	}
	wg.Wait()
	return out
}

// countPlaced counts the work that a round placed by kind and slack.
func (r *replay) countPlaced(d Decision, by map[string]*kindResult) {
	view := &round{Cell: r.cell, urgencies: make(map[*pipeline.Step]urgency)}
	for _, run := range d.Runs {
		key := run.GetTask()
		st := r.cell.State.Job(key.GetJob()).Occurrences[key.GetOccurrence()].Steps[key.GetStep()]
		k, u, at := by[st.Job().Spec.GetQueue()], view.urgencyOf(st), 1
		switch {
		case !u.canWait(0.5):
			at = 0
		case u.canWait(1):
			at = 2
		}
		work := r.cell.Learner.Expected(st).Seconds() * float64(st.Need.MilliCores)
		k.placed[at] += work
		if r.speed[run.GetUpstream()] > 1 {
			k.onSlow[at] += work
		}
	}
}

// Urgent work finds fast upstreams where these are free, although a third of all is slow and the leader has to learn
// which; large work that runs beside it is in time all the same, in calm, at the usual swings and in bursts. Without the
// preference, as much urgent work is on slow upstreams as there are of them.
func TestUrgentWorkIsPlacedOnFastUpstreams(t *testing.T) {
	const seeds, mostOnSlow, prepInTime, cookInTime = 6, 0.2, 0.98, 0.96
	for _, c := range []struct {
		name      string
		load      float64
		pressures []pressure
	}{{"calm", 0.6, swings()}, {"normal", 1, swings()}, {"bursty", 1.2, burstsAndSwings()}} {
		results := playUneven(t, c.load, seeds, c.pressures)
		for queue, least := range map[string]float64{"prep": prepInTime, "cook": cookInTime} {
			k := results[queue]
			intime := 1 - (k.late+k.missed)/k.jobs
			t.Logf("%s %s: earned %.4f of %.0f jobs, %.4f in time, %.4f too late, mean lateness %v; on slow upstreams %.3f, by slack %.3f %.3f %.3f", c.name, queue, k.share(), k.jobs,
				intime, k.missed/k.jobs, k.lateness/time.Duration(k.jobs), k.slowShare(), k.onSlow[0]/k.placed[0], k.onSlow[1]/k.placed[1], k.onSlow[2]/k.placed[2])
			if intime < least {
				t.Errorf("%s: %.4f of the jobs of %s are in time, less than %.2f", c.name, intime, queue, least)
			}
		}
		if got := results["prep"].slowShare(); got > mostOnSlow {
			t.Errorf("%s: %.3f of the urgent work is on slow upstreams, more than %.2f", c.name, got, mostOnSlow)
		}
	}
}
