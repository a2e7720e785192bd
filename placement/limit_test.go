package placement

import (
	"fmt"
	"testing"
	"time"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"google.golang.org/protobuf/proto"
)

// limitFixture returns a cell whose first team is at its limit of 16 cores: saved work of its batch queue
// runs on u0 and u1.
func limitFixture(t *testing.T) *fixture {
	f := gangFixture(t)
	config := proto.CloneOf(f.cell.State.Config().Config)
	config.Version, config.Teams[0].Limit = 3, &pipelinev1.Resources{MilliCores: 16000}
	f.apply(&pipelinev1.Command{Command: &pipelinev1.Command_PutConfig{PutConfig: config}})
	saved := tasks(2, 8000, 60_000)
	saved.Checkpointing = true
	j := f.submit("batch", 0, saved)
	f.place(j, 0, "u0")
	f.place(j, 1, "u1")
	return f
}

// withTickets gives a step tickets for some upstreams.
func (w *Work) withTickets(upstreams ...string) *Work {
	for _, id := range upstreams {
		w.Permits[id] = Permit{Ticket: "ticket", Born: 1, Expires: time.Hour}
	}
	return w
}

// While a team is at its limit, its own work is stopped for a gang only once the gang has tickets: before,
// the gang could not start, and the work that was stopped would be placed again.
func TestTeamsWorkIsStoppedForAGangWithTickets(t *testing.T) {
	f := limitFixture(t)
	w := f.gang(2, 8000)
	if d := Decide(f.cell); len(d.Stops) != 0 || len(d.Questions) != 1 {
		t.Errorf("without tickets %d runs are stopped and %d questions put; expected none and one", len(d.Stops), len(d.Questions))
	}
	w.Pending = nil
	w.withTickets("u2", "u3")
	if d := Decide(f.cell); len(d.Stops) != 2 {
		t.Errorf("with tickets %d runs are stopped; expected two", len(d.Stops))
	}
}

// Of the gangs of a team at its limit, those ask that are within the limit together once less urgent work has
// given way.
func TestGangsAskTogetherWithinTheirTeamsLimit(t *testing.T) {
	f := limitFixture(t)
	for i := range 12 {
		f.addUpstream(fmt.Sprintf("w%02d", i), 8000)
	}
	first, second, third := f.gang(1, 8000), f.gang(1, 8000), f.gang(1, 8000)
	if d := Decide(f.cell); len(d.Questions) != 2 || len(first.Pending) != 1 || len(second.Pending) != 1 || len(third.Pending) != 0 {
		t.Errorf("%d questions, %d, %d and %d of the three gangs; expected one each for the first two", len(d.Questions), len(first.Pending), len(second.Pending), len(third.Pending))
	}
}

// What a team's limit has gained by stops for a gang is not used by less urgent work of the team while the
// gang's tickets are on their way.
func TestStoppedWorkIsNotPlacedAgainBeforeItsGang(t *testing.T) {
	for _, pending := range []bool{true, false} {
		f := limitFixture(t)
		for run := range f.cell.State.RunsOf(f.cell.State.Config().GetTeams()[0].GetName()) {
			f.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Ends{Ends: &pipelinev1.Ends{Ends: []*pipelinev1.End{
				{Run: run.Proto(), Kind: pipelinev1.EndKind_END_KIND_STOPPED}}}}})
		}
		gang := f.gang(2, 8000)
		if pending {
			gang.Pending = []*Question{{Work: gang}}
		}
		small := NewWork(f.submit("batch", 0, tasks(1, 1000, 100)).Occurrences[0].Steps[0], f.cell.Now).withTickets("u1")
		f.cell.Steps[small.Step] = small
		if placed := len(Decide(f.cell).Runs) == 1; placed == pending {
			t.Errorf("the gang's question is pending: %v; the small step is placed: %v", pending, placed)
		}
	}
}

// A gang that would be within its team's limit once a run ends does not keep the team's other steps waiting when that
// run goes on, and again waits for it later.
func TestTeamWaitsForARunThatDoesNotEnd(t *testing.T) {
	f := gangFixture(t)
	config := proto.CloneOf(f.cell.State.Config().Config)
	config.Version, config.Teams[0].Limit = 3, &pipelinev1.Resources{MilliCores: 16000}
	f.apply(&pipelinev1.Command{Command: &pipelinev1.Command_PutConfig{PutConfig: config}})
	f.place(f.submit("batch", 0, tasks(1, 7000, 4000)), 0, "u0")
	f.cell.WallNS += int64(10 * time.Second)
	f.gang(2, 8000)
	small := NewWork(f.submit("batch", 0, tasks(1, 1000, 100)).Occurrences[0].Steps[0], f.cell.Now).withTickets("u1")
	f.cell.Steps[small.Step] = small
	// turns are the times at which the small step becomes free to start, or has to wait again.
	var turns []time.Duration
	waits := true
	for from := f.cell.Now; f.cell.Now < from+3*startBound; f.cell.Now += replayStep {
		if placed := len(Decide(f.cell).Runs) > 0; placed == waits {
			turns, waits = append(turns, f.cell.Now-from), !placed
		}
	}
	if len(turns) < 2 || turns[0] == 0 || turns[0] >= startBound {
		t.Errorf("the small step may start and has to wait by turns from %v on; expected the first within %v, and a second", turns, startBound)
	}
}

// Urgent steps ask for tickets although their team is at its limit, so that they take what its next runs that end
// leave; but no more of them than these leave, and none that has a ticket. Work that is not urgent doesn't ask.
func TestUrgentStepsAskAtTheirTeamsLimit(t *testing.T) {
	for _, c := range []struct {
		queue              string
		endsInMS           int64
		tickets, questions int
	}{{"counter", 1000, 0, 2}, {"counter", 1000, 1, 1}, {"counter", 60_000, 0, 0}, {"batch", 1000, 0, 0}} {
		f := gangFixture(t)
		config := proto.CloneOf(f.cell.State.Config().Config)
		config.Version, config.Teams[0].Limit = 3, &pipelinev1.Resources{MilliCores: 8000}
		f.apply(&pipelinev1.Command{Command: &pipelinev1.Command_PutConfig{PutConfig: config}})
		large := tasks(1, 8000, c.endsInMS)
		large.Need.MemoryMib = 100
		f.place(f.submit("batch", 0, large), 0, "u0")
		for i := range 5 {
			w := NewWork(f.submit(c.queue, 0, tasks(1, 4000, 500)).Occurrences[0].Steps[0], f.cell.Now)
			if i < c.tickets {
				w.withTickets("u1")
			}
			f.cell.Steps[w.Step] = w
		}
		if d := Decide(f.cell); len(d.Questions) != c.questions {
			t.Errorf("%s, runs that end in %d ms, %d steps with tickets: %d questions; expected %d", c.queue, c.endsInMS, c.tickets, len(d.Questions), c.questions)
		}
	}
}

// An urgent step for which work of its team is stopped asks while the stop is under way.
func TestUrgentStepAsksWhileItsTeamsWorkIsStopped(t *testing.T) {
	f := limitFixture(t)
	w := NewWork(f.submit("counter", 0, tasks(1, 1000, 500)).Occurrences[0].Steps[0], f.cell.Now-preemptAfter)
	f.cell.Steps[w.Step] = w
	if d := Decide(f.cell); len(d.Stops) != 1 || len(d.Questions) != 1 {
		t.Errorf("%d runs are stopped and %d questions put; expected one each", len(d.Stops), len(d.Questions))
	}
}
