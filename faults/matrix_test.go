package faults

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
)

const (
	knownRedFile = "../KNOWN-RED.txt"
	// traceVariable, when set, makes each run log the events of its replicas.
	traceVariable = "FAULTS_TRACE"
	// minRuns and minSubmits are the fewest runs and submissions that make a verdict meaningful.
	minRuns    = 15
	minSubmits = 40
	// seedsPerRound is above the seed of every cell in the first round.
	seedsPerRound = 100_000
)

// seedRounds repeats the cells of the matrix, to look for failures that need a rare interleaving.
var seedRounds = flag.Uint64("rounds", 1, "number of runs of each cell of the matrix, each with other seeds")

// scenario is one run of a cell: the load, with some faults, each injected at a step.
type scenario struct {
	seed   uint64
	faults []plannedFault
	// mayMiss allows that a step is never taken because another fault prevents it.
	mayMiss bool
}

// plannedFault is a fault to inject when its step is taken in its phase after skip earlier
// occurrences.
type plannedFault struct {
	step  step
	phase phase
	skip  int
	fault fault
}

// run executes a scenario in virtual time and returns a description of every breach of an
// invariant.
func (s scenario) run(t *testing.T) []string {
	var h *history
	var untaken []step
	dir := ""
	for _, f := range s.faults {
		if f.fault.onDisk {
			dir = t.TempDir()
		}
	}
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, s.seed, dir)
		h = c.history
		s.drive(c)
		untaken = c.triggers.untakenSteps()
		if os.Getenv(traceVariable) != "" {
			trace(t, c)
		}
		c.stop()
	})
	var out []string
	for _, l := range untaken {
		if s.mayMiss {
			t.Logf("the step %q was never taken", l)
			continue
		}
		out = append(out, fmt.Sprintf("the step %q was never taken", l))
	}
	if len(h.runs) < minRuns || len(h.submissions) < minSubmits || len(h.reads) == 0 || len(h.views) == 0 {
		out = append(out, fmt.Sprintf("the load is too small for a verdict: %d runs, %d submissions, %d reads, %d views",
			len(h.runs), len(h.submissions), len(h.reads), len(h.views)))
	}
	for _, ch := range checks {
		for _, breach := range ch.find(h) {
			out = append(out, ch.name+": "+breach)
		}
	}
	return out
}

// drive configures the cell, arms the faults and runs the load to its end.
func (s scenario) drive(c *cell) {
	c.configure()
	for i := range numWorkers {
		c.addWorker(i)
	}
	time.Sleep(startupTime)
	for _, f := range s.faults {
		if f.fault.prepare != nil {
			f.fault.prepare(c)
		}
		c.history.failuresExpected = c.history.failuresExpected || f.fault.failsWork
		c.triggers.arm(&trigger{step: f.step, phase: f.phase, skip: f.skip, inject: func(e event) {
			if len(c.live()) > 0 {
				f.fault.inject(c, e)
			}
		}})
	}
	l := &load{c: c}
	l.start()
	time.Sleep(loadTime)
	c.awaitEnd(l)
	c.history.finish()
}

// awaitEnd waits until all faults and all work have ended. If they have not after endLimit, it
// records that in the history and cancels the cell.
func (c *cell) awaitEnd(l *load) {
	done := make(chan struct{})
	c.spawn(func() {
		c.awaitHealing()
		l.wg.Wait()
		close(done)
	})
	select {
	case <-done:
		c.read(0, 0)
	case <-time.After(endLimit):
		add(c.history, &c.history.unfinished, fmt.Sprintf("faults, calls or work have not ended %s after the load", endLimit))
		c.cancel()
		<-done
	}
}

// trace logs the timeline events of all live replicas.
func trace(t *testing.T, c *cell) {
	for _, r := range c.live() {
		for _, e := range r.events.Events(nil) {
			t.Logf("%.3f %s %s job %d %s %s %s", time.Unix(0, e.GetWallNs()).Sub(c.history.began).Seconds(), e.GetProcess(), e.GetKind(),
				e.GetJobId(), e.GetRequestId(), e.GetUpstream(), e.GetDetail())
		}
	}
}

// knownRed returns the names of the tests that KNOWN-RED.txt lists as failing for a known fault.
func knownRed(t *testing.T) map[string]bool {
	data, err := os.ReadFile(knownRedFile)
	if err != nil {
		t.Fatal(err)
	}
	out := make(map[string]bool)
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		if name, _, ok := strings.Cut(lines.Text(), ":"); ok && !strings.HasPrefix(name, "#") {
			out[name] = true
		}
	}
	return out
}

// report fails the test for each breach, unless the test is listed as known red, and returns the
// verdict for the fault matrix.
func report(t *testing.T, red map[string]bool, breaches []string) (verdict string) {
	const shown = 8
	if red[t.Name()] {
		t.Logf("KNOWN RED, %d breaches: %s", len(breaches), strings.Join(breaches[:min(len(breaches), shown)], "\n"))
		return "RED"
	}
	for i, b := range breaches {
		if i == shown {
			t.Errorf("and %d more", len(breaches)-shown)
			break
		}
		t.Error(b)
	}
	if len(breaches) > 0 {
		return "failed"
	}
	return "passed"
}

// testName converts the name of a step or fault into a subtest name.
func testName(s string) string { return strings.NewReplacer(" ", "_", ",", "").Replace(s) }

// TestMatrix injects every fault at every step, in each phase of the step, and compares
// docs/FAULTS.md with the verdicts if all cells of the matrix were run.
func TestMatrix(t *testing.T) {
	red := knownRed(t)
	var mu sync.Mutex
	verdicts := make(map[string]string)
	t.Run("cells", func(t *testing.T) {
		for row, st := range steps {
			for col, f := range columns {
				t.Run(testName(string(st.step))+"/"+testName(f.name), func(t *testing.T) {
					t.Parallel()
					var breaches []string
					for round := range *seedRounds {
						for p := range numPhases {
							s := cellScenario(row, col, p, round)
							for _, b := range s.run(t) {
								breaches = append(breaches, fmt.Sprintf("seed %d: %s", s.seed, b))
							}
						}
					}
					verdict := report(t, red, breaches)
					mu.Lock()
					defer mu.Unlock()
					verdicts[string(st.step)+"/"+f.name] = verdict
				})
			}
		}
	})
	if len(verdicts) == len(steps)*len(columns) {
		goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md")).Assert(t, "FAULTS", renderMatrix(verdicts))
	}
}

// cellScenario returns the run of a cell of the matrix for one phase; later phases use a later
// occurrence of the step.
func cellScenario(row, col int, p phase, round uint64) scenario {
	skip := int(p) * steps[row].stride
	seed := round*seedsPerRound + uint64(1000*row+10*col+int(p))
	return scenario{seed: seed, faults: []plannedFault{{steps[row].step, p, skip, columns[col]}}}
}
