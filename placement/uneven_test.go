package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// recipes returns an uneven load on 350 upstreams of 8 to 32 cores: 3% of the tasks take seven times as long as others
// of their step, and tasks may have copies.
func recipes(tb testing.TB, seed uint64) *replay {
	queues := []*pipelinev1.Queue{
		replayQueue("plate", 0, 4, 1.5, 300, permitTerms(27, 0.39, 2500)),
		replayQueue("menu", 2, 4, 2.2, 1200, permitTerms(450, 6.4, 2500)),
	}
	classes := []class{
		{queue: "plate", perSecond: 40, steps: 1.5, tasks: 8, seconds: 0.8, milliCores: 3000, memoryMiB: 6000, off: 0.5, allowed: 0.7, copies: true, long: 0.03},
		{queue: "menu", perSecond: 3, steps: 2, tasks: 15, seconds: 4, milliCores: 4500, memoryMiB: 9000, saves: 0.8, off: 0.5, allowed: 0.35, copies: true, long: 0.03},
	}
	cores := make([]int64, 350)
	for i := range cores {
		cores[i] = []int64{16000, 32000, 8000}[(i*7)%3]
	}
	return newReplay(tb, seed, queues, classes, deployment{cores: cores, callers: 37, teams: 20, limit: 1.9, skew: 1})
}

// begin returns when a run that is placed now begins, and lets its upstream confirm that then.
func (r *replay) begin(run *pipeline.Run) time.Duration {
	if r.startDelay == nil {
		return r.cell.Now
	}
	at := r.cell.Now + r.startDelay()
	r.pending = append(r.pending, event{at, func() {
		if u := r.upstream(run.Upstream.GetId()); u.Answered == nil {
			u.Answered = make(map[pipeline.RunKey]time.Duration)
		}
		r.upstream(run.Upstream.GetId()).Answered[run.Key()] = at
	}})
	return at
}

// ran returns how long a run has taken.
func (r *replay) ran(run *pipeline.Run) time.Duration {
	if at, answered := r.upstream(run.Upstream.GetId()).Answered[run.Key()]; answered {
		return r.cell.Now - at
	}
	return time.Duration(r.cell.WallNS - run.PlacedNS)
}

// copyEnded stops the other run of a task that is done, and records what it tells.
func (r *replay) copyEnded(run *pipeline.Run, kind pipelinev1.EndKind) {
	t := run.Task
	switch {
	case t.Step.Spec.GetGang():
	case kind == pipelinev1.EndKind_END_KIND_STOPPED && t.Done:
		r.cell.Learner.RecordCut(run, r.ran(run))
	case kind == pipelinev1.EndKind_END_KIND_DONE && len(t.Live) > 0:
		first, copyDone := run, run.Number > t.Live[0].Number
		if copyDone {
			first = t.Live[0]
			r.copiesFirst++
		}
		r.cell.Learner.RecordCopy(first, copyDone)
		r.stop(t.Live[0], r.cell.Now)
	}
}

// On an uneven day, a tenth of the upstreams becomes five times slower for some seconds, and starts take 1.3 s for the
// first two seconds. Copies of runs that merely started late, or of tasks that are long anywhere, use cores that other
// work waits for: counted from the placement and without what copies brought before, there are 2,563, and as much
// is earned.
func TestCopiesOnAnUnevenDay(t *testing.T) {
	const (
		seeds, day       = 3, 20 * time.Second
		slowFrom, slowTo = 6 * time.Second, 14 * time.Second
		slowTimes        = 5
		maxCopies        = 800
		minServed        = 0.55
	)
	copies, first, sum := 0, 0, credit{}
	for seed := range uint64(seeds) {
		r := recipes(t, seed)
		rng := rand.New(rand.NewPCG(seed, 9))
		r.startDelay = func() time.Duration {
			if r.cell.Now < 2*time.Second {
				return 1300 * time.Millisecond
			}
			return 30 * time.Millisecond
		}
		for _, u := range r.cell.Upstreams {
			if id := u.GetId(); rng.IntN(10) == 0 {
				r.pending = append(r.pending, event{slowFrom, func() { r.speed[id] *= slowTimes }}, event{slowTo, func() { r.speed[id] /= slowTimes }})
			}
		}
		r.decided = func(d Decision) { copies += len(d.Copies) }
		r.run(day)
		first += r.copiesFirst
		for _, c := range r.credit {
			sum.sum(c)
		}
	}
	t.Logf("%d copies, %d of them end first; served %.3f", copies, first, sum.share())
	if copies > maxCopies || sum.share() < minServed {
		t.Errorf("%d copies and %.3f served; expected at most %d and at least %.2f", copies, sum.share(), maxCopies, minServed)
	}
}
