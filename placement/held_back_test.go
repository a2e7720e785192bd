package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"google.golang.org/protobuf/proto"
)

// knownOnly leaves a step the answers about some upstreams; the permit service has denied the others.
func (f *fixture) knownOnly(w *Work, allowed ...string) {
	for _, u := range f.cell.Upstreams {
		if !slices.Contains(allowed, u.GetId()) {
			delete(w.Permits, u.GetId())
			w.Denied[u.GetId()] = true
		}
	}
}

// asked returns the upstreams of all questions of a decision.
func asked(d Decision) (out []string) {
	for _, q := range d.Questions {
		out = append(out, q.Upstreams...)
	}
	return out
}

// A gang whose tickets have expired asks again, though its upstreams have more cores than reservations may take
// (review/6).
func TestGangAboveTheReservedShareAsksAgain(t *testing.T) {
	f := gangFixture(t)
	w := f.gang(3, 8000)
	if d := Decide(f.cell); len(asked(d)) < 3 {
		t.Errorf("the gang asks about %v; expected three upstreams at least", asked(d))
	}
	if held := f.reservedFor(w); float64(len(held)) > maxReserved*float64(len(f.cell.Upstreams)) {
		t.Errorf("%v are reserved, which is more than the share", held)
	}
}

// A gang that can't hold the upstreams on which work would have to be stopped asks about others.
func TestGangThatCannotHoldItsUpstreamsAsksAboutOthers(t *testing.T) {
	f := gangFixture(t)
	saved := tasks(0, 8000, 60_000)
	saved.Checkpointing = true
	f.fill("batch", saved, "u0", "u1", "u2")
	w := f.gang(3, 8000)
	for _, id := range []string{"u3", "u4", "u5"} {
		delete(w.Permits, id)
	}
	d := Decide(f.cell)
	if len(d.Stops) > 0 || !slices.Contains(asked(d), "u3") {
		t.Errorf("the gang asks about %v and stops %d runs; expected a question about u3 to u5", asked(d), len(d.Stops))
	}
}

// A gang whose members fit exactly asks, though its surplus does not fit.
func TestGangThatFitsExactlyAsks(t *testing.T) {
	f := gangFixture(t)
	for i := range 3 {
		f.addUpstream(fmt.Sprintf("w%d", i), 8000)
	}
	f.fill("batch", tasks(0, 8000, 60_000), "u2")
	f.knownOnly(f.gang(4, 4000), "u0", "u1", "u2")
	if d := Decide(f.cell); !slices.Contains(asked(d), "u0") || !slices.Contains(asked(d), "u1") {
		t.Errorf("the gang asks about %v; expected u0 and u1", asked(d))
	}
}

// A gang that needs more upstreams than a question may name asks about all of them at once.
func TestGangOnMoreUpstreamsThanAQuestionTakes(t *testing.T) {
	const members = maxUpstreamsPerQuestion + 30
	f := gangFixture(t)
	for i := range members {
		f.addUpstream(fmt.Sprintf("w%03d", i), 8000)
	}
	f.gang(members, 5000)
	d := Decide(f.cell)
	if got := len(asked(d)); got < members {
		t.Errorf("the gang asks about %d upstreams; expected %d", got, members)
	}
	for _, q := range d.Questions {
		if len(q.Upstreams) > maxUpstreamsPerQuestion {
			t.Errorf("a question names %d upstreams", len(q.Upstreams))
		}
	}
}

// A gang does not ask again and again for tickets for upstreams whose runs are always about to end, while it has not
// asked about others.
func TestGangWithAnOverdueStartAsksAboutOthers(t *testing.T) {
	f := gangFixture(t)
	f.fill("batch", tasks(0, 8000, 20), "u0", "u1")
	f.cell.WallNS += int64(10 * time.Second)
	w := f.gang(2, 8000)
	f.knownOnly(w, "u0", "u1")
	f.addUpstream("w0", 8000)
	f.addUpstream("w1", 8000)
	for from := f.cell.Now; f.cell.Now < from+startBound; f.cell.Now += replayStep {
		if slices.Contains(asked(Decide(f.cell)), "w0") {
			return
		}
		w.Pending = nil
	}
	t.Errorf("the gang asked about the upstreams that are free for the first time after %v", startBound)
}

// A gang of which an upstream takes one member stops work on each upstream that has none free.
func TestSpreadGangStopsWorkOnEachUpstream(t *testing.T) {
	f := gangFixture(t)
	saved := tasks(0, 8000, 60_000)
	saved.Checkpointing = true
	f.fill("batch", saved, "u1")
	w := f.gang(2, 1000)
	w.Step.Spec.MaxPerUpstream = 1
	f.knownOnly(w, "u0", "u1")
	if d := Decide(f.cell); len(d.Stops) != 1 {
		t.Errorf("%d runs are stopped; expected the one on u1", len(d.Stops))
	}
}

// A step that has waited for a while uses an upstream that is reserved for a gang again and again, in a cell that has
// room; in a full cell only a lasting one does.
func TestReservationYieldsWhereThereIsRoom(t *testing.T) {
	for _, c := range []struct {
		full, lasting bool
		waited        time.Duration
		starts        bool
	}{
		{false, false, 0, false},
		{false, false, reservationPatience, true},
		{true, false, reservationPatience, false},
		{true, true, reservationPatience, true},
	} {
		t.Run(fmt.Sprintf("full %t, lasting %t, waited %v", c.full, c.lasting, c.waited), func(t *testing.T) {
			f := gangFixture(t)
			gang := f.gang(2, 8000)
			delete(f.cell.Steps, gang.Step)
			f.upstream("u0").Reserved = Reservation{For: gang.Step, From: f.cell.Now, Until: time.Hour}
			if c.full {
				f.fill("batch", tasks(0, 8000, 60_000), "u1", "u2", "u3", "u4", "u5")
			}
			st := tasks(1, 1000, 5000)
			st.Lasting = c.lasting
			w := NewWork(f.submit("counter", 0, st).Occurrences[0].Steps[0], f.cell.Now-c.waited).withTickets("u0")
			f.cell.Steps[w.Step] = w
			if starts := len(Decide(f.cell).Runs) == 1; starts != c.starts {
				t.Errorf("the step starts: %v; expected %v", starts, c.starts)
			}
		})
	}
}

// A gang that asks for tickets again and again does not keep the other steps of a team waiting that uses little of its
// limit.
func TestGangThatAsksKeepsItsTeamWaitingByTurns(t *testing.T) {
	f := gangFixture(t)
	config := proto.CloneOf(f.cell.State.Config().Config)
	config.Version, config.Teams[0].Limit = 3, &pipelinev1.Resources{MilliCores: 16_000}
	f.apply(&pipelinev1.Command{Command: &pipelinev1.Command_PutConfig{PutConfig: config}})
	gang := f.gang(2, 8000)
	gang.Pending = []*Question{{Work: gang}}
	small := NewWork(f.submit("batch", 0, tasks(1, 1000, 100)).Occurrences[0].Steps[0], f.cell.Now).withTickets("u1")
	f.cell.Steps[small.Step] = small
	for from := f.cell.Now; f.cell.Now < from+startBound; f.cell.Now += replayStep {
		if len(Decide(f.cell).Runs) > 0 {
			return
		}
	}
	t.Errorf("the small step has not started after %v", startBound)
}
