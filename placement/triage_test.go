package placement

import (
	"cmp"
	"slices"
	"sync"
	"testing"
	"time"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"google.golang.org/protobuf/proto"
)

// served returns the share of some jobs whose result was of value.
func served(jobs []finishedJob) float64 {
	n := 0
	for _, j := range jobs {
		if j.took <= 3*j.objective {
			n++
		}
	}
	return float64(n) / float64(max(1, len(jobs)))
}

// without returns the jobs that a predicate does not hold for.
func without(jobs []finishedJob, drop func(finishedJob) bool) []finishedJob {
	return slices.DeleteFunc(slices.Clone(jobs), drop)
}

type finishedJob struct {
	*replayedJob
	took time.Duration
}

// The acquirer's worst day: steps of its large jobs waited for answers to costly questions while a fifth of the
// cores was free, and with the least slack first all of them were late together: they earned 0.30. Large
// jobs must not pay for it alone, and neither the rounds nor the callers for the order: 2,394 costly questions were
// put, and a round inspected 9.6 upstreams and runs for each step.
func TestAcquirersWorstDay(t *testing.T) {
	const aim, aimUrgent, aimLasting, maxQuestions, maxInspected, seeds = 0.5, 0.95, 0.8, 2000, 10.0, 4
	var mu sync.Mutex
	var wg sync.WaitGroup
	total := make(map[string]*credit)
	var settled []finishedJob
	questions, inspected, steps := 0, 0, 0
	for seed := range uint64(seeds) {
		wg.Go(func() {
			r := acquirer(t, seed, 1)
			var list []finishedJob
			r.finished = func(j *replayedJob, took time.Duration) {
				if j.class == "settle-run" {
					list = append(list, finishedJob{j, took})
				}
			}
			var asked, looked, waited int
			r.decided = func(d Decision) {
				looked, waited = looked+d.Inspected, waited+len(r.cell.Steps)
				for _, q := range d.Questions {
					if q.Costly {
						asked++
					}
				}
			}
			r.run(acquirerDay, acquirerBursts()...)
			mu.Lock()
			defer mu.Unlock()
			settled = append(settled, list...)
			questions, inspected, steps = questions+asked, inspected+looked, steps+waited
			for queue, c := range r.credit {
				if total[queue] == nil {
					total[queue] = &credit{}
				}
				total[queue].sum(c)
			}
		})
	}
	wg.Wait()
	for queue, least := range map[string]float64{"auth-batch": aimUrgent, "settle-run": aim, "dispute-watch": aimLasting} {
		c := total[queue]
		t.Logf("%s earned %.3f of %.0f jobs, %.3f late, %.3f too late", queue, c.share(), c.jobs, c.late/c.jobs, c.missed/c.jobs)
		if c.share() < least {
			t.Errorf("%s earned %.3f of what it could, less than %.2f", queue, c.share(), least)
		}
	}
	slices.SortFunc(settled, func(a, b finishedJob) int { return cmp.Compare(b.work, a.work) })
	n, all := len(settled), served(settled)
	for name, jobs := range map[string][]finishedJob{"the largest tenth": settled[:n/10], "the fifth below it": settled[n/10 : 3*n/10],
		"gangs": without(settled, func(j finishedJob) bool { return !j.gang }), "the busiest team": without(settled, func(j finishedJob) bool { return j.team > 0 })} {
		t.Logf("served: %.3f of all, %.3f of %s", all, served(jobs), name)
		if served(jobs) < all/2 {
			t.Errorf("%s of large jobs are served less than half as often as others", name)
		}
	}
	perStep := float64(inspected) / float64(steps)
	t.Logf("%d costly questions, %.1f inspections for each step", questions/seeds, perStep)
	if questions/seeds > maxQuestions || perStep > maxInspected {
		t.Errorf("%d costly questions and %.1f inspections for each step, more than %d and %.1f", questions/seeds, perStep, maxQuestions, maxInspected)
	}
}

// crowd hands in jobs of a queue that together exceed what the cell can do in time, and returns the last one's work.
func (f *fixture) crowd(queue string, jobs int, age time.Duration) (last *Work) {
	for range jobs {
		st := tasks(20, 4000, 4000)
		w := NewWork(f.submit(queue, 1, st).Occurrences[0].Steps[0], f.cell.Now)
		f.cell.Steps[w.Step], last = w, w
	}
	f.cell.WallNS += int64(age)
	return last
}

// Work of an urgent queue that is past its use comes after work of a less urgent one that can still be of use, and
// gets its turn once it has yielded for maxYield. Without that bound it would never run in a cell that stays
// overloaded.
func TestWorkPastItsUseYieldsForABoundedTime(t *testing.T) {
	f := gangFixture(t)
	old := f.crowd("counter", 1, 30*time.Second)
	fresh := f.crowd("batch", 100, 0)
	rank := func() (before bool) {
		list := newRound(f.cell).demands()
		at := func(w *Work) int { return slices.IndexFunc(list, func(d demand) bool { return d.work == w }) }
		return at(old) < at(fresh)
	}
	r := newRound(f.cell)
	age := f.cell.WallNS - old.Step.Job().SubmittedNS
	past := -r.likelyUrgencyOf(old.Step).slack
	if past < 0 || past > maxYield {
		t.Fatalf("the old job is %v old and %v past its use", time.Duration(age), past)
	}
	if rank() {
		t.Errorf("work that is %v past its use goes before work that can be in time", past)
	}
	f.cell.WallNS += int64(maxYield - past)
	f.crowd("batch", 100, 0)
	if !rank() {
		t.Errorf("work that yielded for %v does not get its turn", maxYield)
	}
}

// Declared run times that are off by nine tenths must not make long jobs look short: where they tell little, the
// usual run time of the queue is the better prediction, and where they are exact they are used.
func TestDeclaredTimesAreTrustedAsFarAsTheyTell(t *testing.T) {
	var useless, exact regression
	for i := range 1000 {
		declared := time.Duration(400+i%10*800) * time.Millisecond
		useless.add(declared, 4*time.Second)
		exact.add(declared, declared)
	}
	for _, declared := range []time.Duration{500 * time.Millisecond, 7 * time.Second} {
		if got := useless.predict(declared); got < 3500*time.Millisecond || got > 4500*time.Millisecond {
			t.Errorf("declared %v, which tells nothing, predicted %v in place of 4 s", declared, got)
		}
		if got := exact.predict(declared); got < declared*9/10 || got > declared*11/10 {
			t.Errorf("declared %v, which is exact, predicted %v", declared, got)
		}
	}
}

// Under overload a costly question names upstreams whose work ends while its tickets are valid, as none has capacity when
// it is put; upstreams that stay full for longer are left out. Without overload only upstreams with capacity are named.
func TestQuestionsUnderOverloadLookAhead(t *testing.T) {
	f := gangFixture(t)
	c := proto.CloneOf(f.cell.State.Config().Config)
	c.Version = 3
	for _, q := range c.GetQueues() {
		if q.GetName() == "batch" {
			q.Permits = permitTerms(507, 7.3, 2500)
		}
	}
	f.apply(&pipelinev1.Command{Command: &pipelinev1.Command_PutConfig{PutConfig: c}})
	f.fill("batch", tasks(1, 8000, 1000), "u0", "u1", "u2")
	f.fill("batch", tasks(1, 8000, 60_000), "u3", "u4", "u5")
	w := f.crowd("batch", 1, 0)
	if got := asked(Decide(f.cell)); len(got) > 0 {
		t.Fatalf("asked about %v, which are full", got)
	}
	f.crowd("batch", 100, 0)
	d := Decide(f.cell)
	if len(d.Overloads) != 1 || len(d.Questions) == 0 {
		t.Fatalf("%v overloaded, %d questions", d.Overloads, len(d.Questions))
	}
	for _, q := range d.Questions {
		slices.Sort(q.Upstreams)
		if want := []string{"u0", "u1", "u2"}; !slices.Equal(q.Upstreams, want) {
			t.Errorf("asked about %v, not about %v, for step %v", q.Upstreams, want, w.Key())
		}
	}
}
