package pipeline

import (
	"testing"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

const (
	done   = pipelinev1.EndKind_END_KIND_DONE
	failed = pipelinev1.EndKind_END_KIND_FAILED
	lost   = pipelinev1.EndKind_END_KIND_LOST
)

// Apply validates every invariant itself, whatever the scheduler proposed.
func TestPlaceChecks(t *testing.T) {
	spread := step(3, 1)
	spread.MaxPerUpstream = 1
	labelled := step(1, 1)
	labelled.Constraint = "b"
	gang := step(2, 1)
	gang.Gang = true
	tests := []struct {
		name  string
		steps []*pipelinev1.Step
		setup func(w *testState)
		runs  []*pipelinev1.Run
		want  PlaceReason
	}{
		{"taken", []*pipelinev1.Step{step(1, 1)}, nil, []*pipelinev1.Run{run("j", 0, 0, 1, "w1")}, ""},
		{"unknown task", []*pipelinev1.Step{step(1, 1)}, nil, []*pipelinev1.Run{run("j", 0, 5, 1, "w1")}, PlaceNoTask},
		{"cancelled", []*pipelinev1.Step{step(1, 1)}, func(w *testState) { w.cancel("j") }, []*pipelinev1.Run{run("j", 0, 0, 1, "w1")}, PlaceNoTask},
		{"number skipped", []*pipelinev1.Step{step(1, 1)}, nil, []*pipelinev1.Run{run("j", 0, 0, 2, "w1")}, PlaceWrongNumber},
		{"already running", []*pipelinev1.Step{step(1, 1)}, func(w *testState) { w.mustPlace(run("j", 0, 0, 1, "w1")) },
			[]*pipelinev1.Run{run("j", 0, 0, 2, "w2")}, PlaceAlreadyRunning},
		{"step out of turn", []*pipelinev1.Step{step(1, 1), step(1, 1, 0)}, nil, []*pipelinev1.Run{run("j", 1, 0, 1, "w1")}, PlaceDependency},
		{"unknown upstream", []*pipelinev1.Step{step(1, 1)}, nil, []*pipelinev1.Run{run("j", 0, 0, 1, "w9")}, PlaceNoUpstream},
		{"older incarnation", []*pipelinev1.Step{step(1, 1)}, func(w *testState) { w.replaceUpstream("w1", 11) },
			[]*pipelinev1.Run{run("j", 0, 0, 1, "w1")}, PlaceNoUpstream},
		{"domain out", []*pipelinev1.Step{step(1, 1)}, func(w *testState) { w.setDomain(&pipelinev1.SetDomain{Name: "prado", Out: true}) },
			[]*pipelinev1.Run{run("j", 0, 0, 1, "w1")}, PlaceDomainOut},
		{"label", []*pipelinev1.Step{labelled}, nil, []*pipelinev1.Run{run("j", 0, 0, 1, "w1")}, PlaceLabel},
		{"spread", []*pipelinev1.Step{spread}, nil, []*pipelinev1.Run{run("j", 0, 0, 1, "w1"), run("j", 0, 1, 1, "w1")}, PlaceSpread},
		{"room", []*pipelinev1.Step{step(2, 3)}, nil, []*pipelinev1.Run{run("j", 0, 0, 1, "w1"), run("j", 0, 1, 1, "w1")}, PlaceNoRoom},
		{"limit", []*pipelinev1.Step{step(3, 3)}, nil, []*pipelinev1.Run{run("j", 0, 0, 1, "w1"), run("j", 0, 1, 1, "w2"), run("j", 0, 2, 1, "w2")}, PlaceNoRoom},
		{"team's limit", []*pipelinev1.Step{step(2, 4)}, nil, []*pipelinev1.Run{run("j", 0, 0, 1, "w1"), run("j", 0, 1, 1, "w2")}, PlaceOverLimit},
		{"part of a gang", []*pipelinev1.Step{gang}, nil, []*pipelinev1.Run{run("j", 0, 0, 1, "w1")}, PlaceIncompleteGang},
		{"gang", []*pipelinev1.Step{gang}, nil, []*pipelinev1.Run{run("j", 0, 0, 1, "w1"), run("j", 0, 1, 1, "w2")}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newTestState(t)
			w.submit("j", test.steps...)
			if test.setup != nil {
				test.setup(w)
			}
			got := w.place(test.runs...)
			switch {
			case test.want == "" && len(got.Refused) > 0:
				t.Errorf("refused: %v", got.Refused[0].Why)
			case test.want != "" && (len(got.Refused) == 0 || got.Refused[len(got.Refused)-1].Why != test.want):
				t.Errorf("got %v, want %q", got.Refused, test.want)
			}
		})
	}
}

// replaceUpstream announces an incarnation of an upstream that keeps some runs.
func (w *testState) replaceUpstream(id string, born int64, kept ...*pipelinev1.Run) {
	w.apply(&pipelinev1.Command{Command: &pipelinev1.Command_UpstreamSeen{UpstreamSeen: &pipelinev1.UpstreamSeen{Upstream: w.upstream(id, born), Kept: kept}}})
}

// A gang that does not fit as a whole is refused and leaves nothing reserved.
func TestGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	w := newTestState(t)
	gang := step(2, 3)
	gang.Gang = true
	w.submit("j", gang)
	if got := w.place(run("j", 0, 0, 1, "w1"), run("j", 0, 1, 1, "w1")); len(got.Refused) != 2 || len(got.Taken) != 0 {
		t.Fatalf("taken %d, refused %d", len(got.Taken), len(got.Refused))
	}
	if used := w.upstreams["w1"].Used; used != (Resources{}) || w.Used(testTeam) != (Resources{}) {
		t.Errorf("still reserved: upstream %v, team %v", used, w.Used(testTeam))
	}
	w.mustPlace(run("j", 0, 0, 1, "w1"), run("j", 0, 1, 1, "w2"))
}

// Capacity and the team's limit are freed when the end of a run is committed, not when its job is
// cancelled.
func TestRoomIsFreeAtTheEnd(t *testing.T) {
	w := newTestState(t)
	w.submit("a", step(1, 4))
	w.submit("b", step(1, 4))
	w.mustPlace(run("a", 0, 0, 1, "w1"))
	w.cancel("a")
	if got := w.place(run("b", 0, 0, 1, "w1")); len(got.Refused) != 1 {
		t.Fatal("placed on an upstream whose capacity a run that has not ended still reserves")
	}
	w.end(run("a", 0, 0, 1, "w1"), pipelinev1.EndKind_END_KIND_STOPPED, 1)
	w.mustPlace(run("b", 0, 0, 1, "w1"))
}
