package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// copiesFixture returns a cell whose urgent queue runs a step of tasks that may have copies, each on an upstream of its
// own, and has as many as twenty idle upstreams. The tasks have run for some time and take a second by what was learned.
func copiesFixture(t *testing.T, runs int, ran time.Duration) (*fixture, *Work) {
	f := newFixture(t, 2)
	var busy, idle []string
	for i := range runs {
		busy = append(busy, fmt.Sprintf("u%02d", i))
		f.addUpstream(busy[i], 8000)
	}
	for i := range 20 {
		idle = append(idle, fmt.Sprintf("w%02d", i))
		f.addUpstream(idle[i], 8000)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		f.cell.Learner.learnRuns(rng, 30, "counter", "", f.upstream(idle[rng.IntN(20)]).Upstream.Upstream, 1)
	}
	st := tasks(0, 4000, 700)
	st.Copies = true
	w := NewWork(f.fill("counter", st, busy...).Occurrences[0].Steps[0], 0).withTickets(idle...)
	f.cell.Steps[w.Step] = w
	f.cell.Now, f.cell.WallNS = ran, f.cell.WallNS+int64(ran)
	f.answered(w, 0)
	return f, w
}

// answered sets when the starts of a step's runs were answered.
func (f *fixture) answered(w *Work, at time.Duration) {
	for _, run := range w.Step.LiveRuns() {
		f.upstream(run.Upstream.GetId()).Answered = map[pipeline.RunKey]time.Duration{run.Key(): at}
	}
}

// A run that was merely started late must get no copy; on a loaded day, starts were answered 1.3 s after the placement,
// and all of them had copies.
func TestRunThatStartedLateGetsNoCopy(t *testing.T) {
	const ran = 3500 * time.Millisecond
	f, _ := copiesFixture(t, 4, ran)
	if d := Decide(f.cell); len(d.Copies) == 0 {
		t.Fatal("runs that take far too long get no copy")
	}
	f, w := copiesFixture(t, 4, ran)
	f.answered(w, ran-500*time.Millisecond)
	if d := Decide(f.cell); len(d.Copies) > 0 {
		t.Errorf("%d runs that have run for half a second get a copy", len(d.Copies))
	}
	f, w = copiesFixture(t, 4, ran)
	for _, u := range f.cell.Upstreams {
		u.Answered = nil
	}
	if d := Decide(f.cell); len(d.Copies) > 0 {
		t.Errorf("%d runs whose start is not answered yet get a copy of %d", len(d.Copies), len(w.Step.Tasks))
	}
}

// The cores that copies use are bounded. A failure domain that does not answer, or an error in what was learned, must
// not fill the service with copies, least of all an overloaded one.
func TestCopiesStayWithinTheirBudget(t *testing.T) {
	for _, c := range []struct {
		overloaded, silent bool
		copies             int
	}{{false, false, 3}, {false, true, 10}, {true, true, 1}, {true, false, 0}} {
		f, w := copiesFixture(t, 12, 4*time.Second)
		for _, run := range w.Step.LiveRuns() {
			u := f.upstream(run.Upstream.GetId())
			u.Silent, u.Usable, u.Answers = c.silent, !c.silent, !c.silent
		}
		if c.overloaded {
			f.crowd("batch", 100, 0)
		}
		d := Decide(f.cell)
		if len(d.Copies) != c.copies || c.copies > 0 && d.CopiesRefused != 12-c.copies {
			t.Errorf("overloaded %v, silent %v: %d copies, %d refused; expected %d copies", c.overloaded, c.silent, len(d.Copies), d.CopiesRefused, c.copies)
		}
		f.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Place{Place: &pipelinev1.Place{Runs: d.Runs}}})
		if d := Decide(f.cell); len(d.Copies) > 0 || d.CopiesRefused > 0 {
			t.Errorf("overloaded %v, silent %v: %d more copies and %d more refused in the next round", c.overloaded, c.silent, len(d.Copies), d.CopiesRefused)
		}
	}
}

// In an overloaded service, a run on an upstream that has become slow gets a copy, and one that only looks long does
// not.
func TestRunsOfASlowUpstreamGetCopiesUnderOverload(t *testing.T) {
	f, _ := copiesFixture(t, 2, 4*time.Second)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 8 {
		f.cell.Learner.learnRuns(rng, 1, "counter", "", f.upstream("u01").Upstream.Upstream, 7)
		f.cell.Learner.learnRuns(rng, 30, "counter", "", f.upstream("w00").Upstream.Upstream, 1)
	}
	f.crowd("batch", 100, 0)
	d := Decide(f.cell)
	if len(d.Copies) != 1 || d.Copies[0].Of.Upstream.GetId() != "u01" || d.Copies[0].Reason != CopySlow {
		t.Errorf("copies %+v; expected one of the run on u01", d.Copies)
	}
}

// Copies of a queue whose long tasks are long anywhere end last, and only use cores. It must get fewer.
func TestQueueWhoseCopiesEndLastGetsFewer(t *testing.T) {
	f, w := copiesFixture(t, 1, 4*time.Second)
	for range 50 {
		f.cell.Learner.RecordCopy(w.Step.Tasks[0].Live[0], false)
	}
	if d := Decide(f.cell); len(d.Copies) > 0 {
		t.Error("a run that has taken four times as long as others gets a copy")
	}
	f.cell.Now += 30 * time.Second
	if d := Decide(f.cell); len(d.Copies) == 0 {
		t.Error("a run that has taken thirty times as long as others gets no copy")
	}
}
