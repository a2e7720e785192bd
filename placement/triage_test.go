package placement

import (
	"cmp"
	"slices"
	"sync"
	"testing"
	"time"
)

// servedBySize counts the jobs of a queue that earned anything: among all, the largest tenth and the fifth below it.
func servedBySize(jobs []finishedJob) (all, largest, below float64) {
	slices.SortFunc(jobs, func(a, b finishedJob) int { return cmp.Compare(b.work, a.work) })
	share := func(list []finishedJob) float64 {
		n := 0
		for _, j := range list {
			if j.took <= 3*j.objective {
				n++
			}
		}
		return float64(n) / float64(max(1, len(list)))
	}
	n := len(jobs)
	return share(jobs), share(jobs[:n/10]), share(jobs[n/10 : 3*n/10])
}

type finishedJob struct {
	*replayedJob
	took time.Duration
}

// The acquirer's worst day: steps of its large jobs waited for answers to costly questions while a fifth of the
// cores was free, and with the least slack first all of them were late together: they earned 0.30. Large
// jobs must not pay for it alone.
func TestAcquirersWorstDay(t *testing.T) {
	const aim, aimUrgent, aimLasting, seeds = 0.5, 0.95, 0.8, 4
	var mu sync.Mutex
	var wg sync.WaitGroup
	total := make(map[string]*credit)
	var settled []finishedJob
	for seed := range uint64(seeds) {
		wg.Go(func() {
			r := acquirer(t, seed, 1)
			var list []finishedJob
			r.finished = func(j *replayedJob, took time.Duration) {
				if j.class == "settle-run" {
					list = append(list, finishedJob{j, took})
				}
			}
			r.run(acquirerDay, acquirerBursts()...)
			mu.Lock()
			defer mu.Unlock()
			settled = append(settled, list...)
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
	all, largest, below := servedBySize(settled)
	t.Logf("served: %.3f of all, %.3f of the largest tenth, %.3f of the fifth below it", all, largest, below)
	if min(largest, below) < all/2 {
		t.Errorf("large jobs are served less than half as often as others")
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
