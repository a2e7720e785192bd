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
		setup func(h *harness)
		runs  []*pipelinev1.Run
		want  PlaceReason
	}{
		{"taken", []*pipelinev1.Step{step(1, 1)}, nil, []*pipelinev1.Run{run("j", 0, 0, 1, "w1")}, ""},
		{"unknown task", []*pipelinev1.Step{step(1, 1)}, nil, []*pipelinev1.Run{run("j", 0, 5, 1, "w1")}, PlaceNoTask},
		{"cancelled", []*pipelinev1.Step{step(1, 1)}, func(h *harness) { h.cancel("j") }, []*pipelinev1.Run{run("j", 0, 0, 1, "w1")}, PlaceNoTask},
		{"number skipped", []*pipelinev1.Step{step(1, 1)}, nil, []*pipelinev1.Run{run("j", 0, 0, 2, "w1")}, PlaceWrongNumber},
		{"already running", []*pipelinev1.Step{step(1, 1)}, func(h *harness) { h.mustPlace(run("j", 0, 0, 1, "w1")) },
			[]*pipelinev1.Run{run("j", 0, 0, 2, "w2")}, PlaceAlreadyRunning},
		{"step out of turn", []*pipelinev1.Step{step(1, 1), step(1, 1, 0)}, nil, []*pipelinev1.Run{run("j", 1, 0, 1, "w1")}, PlaceDependency},
		{"unknown upstream", []*pipelinev1.Step{step(1, 1)}, nil, []*pipelinev1.Run{run("j", 0, 0, 1, "w9")}, PlaceNoUpstream},
		{"older incarnation", []*pipelinev1.Step{step(1, 1)}, func(h *harness) { h.replaceUpstream("w1", 11) },
			[]*pipelinev1.Run{run("j", 0, 0, 1, "w1")}, PlaceNoUpstream},
		{"domain out", []*pipelinev1.Step{step(1, 1)}, func(h *harness) { h.setDomain(&pipelinev1.SetDomain{Name: "prado", Out: true}) },
			[]*pipelinev1.Run{run("j", 0, 0, 1, "w1")}, PlaceDomainOut},
		{"label", []*pipelinev1.Step{labelled}, nil, []*pipelinev1.Run{run("j", 0, 0, 1, "w1")}, PlaceLabel},
		{"spread", []*pipelinev1.Step{spread}, nil, []*pipelinev1.Run{run("j", 0, 0, 1, "w1"), run("j", 0, 1, 1, "w1")}, PlaceSpread},
		{"room", []*pipelinev1.Step{step(2, 3)}, nil, []*pipelinev1.Run{run("j", 0, 0, 1, "w1"), run("j", 0, 1, 1, "w1")}, PlaceNoCapacity},
		{"limit", []*pipelinev1.Step{step(3, 3)}, nil, []*pipelinev1.Run{run("j", 0, 0, 1, "w1"), run("j", 0, 1, 1, "w2"), run("j", 0, 2, 1, "w2")}, PlaceNoCapacity},
		{"team's limit", []*pipelinev1.Step{step(2, 4)}, nil, []*pipelinev1.Run{run("j", 0, 0, 1, "w1"), run("j", 0, 1, 1, "w2")}, PlaceOverLimit},
		{"part of a gang", []*pipelinev1.Step{gang}, nil, []*pipelinev1.Run{run("j", 0, 0, 1, "w1")}, PlaceIncompleteGang},
		{"gang", []*pipelinev1.Step{gang}, nil, []*pipelinev1.Run{run("j", 0, 0, 1, "w1"), run("j", 0, 1, 1, "w2")}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.submit("j", test.steps...)
			if test.setup != nil {
				test.setup(h)
			}
			got := h.place(test.runs...)
			switch {
			case test.want == "" && len(got.Refused) > 0:
				t.Errorf("refused: %v", got.Refused[0].Reason)
			case test.want != "" && (len(got.Refused) == 0 || got.Refused[len(got.Refused)-1].Reason != test.want):
				t.Errorf("got %v, want %q", got.Refused, test.want)
			}
		})
	}
}

// replaceUpstream announces an incarnation of an upstream that keeps some runs.
func (h *harness) replaceUpstream(id string, born int64, kept ...*pipelinev1.Run) {
	h.apply(&pipelinev1.Command{Command: &pipelinev1.Command_UpstreamSeen{UpstreamSeen: &pipelinev1.UpstreamSeen{Upstream: h.upstream(id, born), Kept: kept}}})
}

// A gang that does not fit as a whole is refused and leaves nothing reserved.
func TestGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	h := newHarness(t)
	gang := step(2, 3)
	gang.Gang = true
	h.submit("j", gang)
	if got := h.place(run("j", 0, 0, 1, "w1"), run("j", 0, 1, 1, "w1")); len(got.Refused) != 2 || len(got.Accepted) != 0 {
		t.Fatalf("accepted %d, refused %d", len(got.Accepted), len(got.Refused))
	}
	if used := h.upstreams["w1"].Used; used != (Resources{}) || h.Used(testTeam) != (Resources{}) {
		t.Errorf("still reserved: upstream %v, team %v", used, h.Used(testTeam))
	}
	h.mustPlace(run("j", 0, 0, 1, "w1"), run("j", 0, 1, 1, "w2"))
}

// Capacity and the team's limit are freed when the end of a run is committed, not when its job is
// cancelled.
func TestRoomIsFreeAtTheEnd(t *testing.T) {
	h := newHarness(t)
	h.submit("a", step(1, 4))
	h.submit("b", step(1, 4))
	h.mustPlace(run("a", 0, 0, 1, "w1"))
	h.cancel("a")
	if got := h.place(run("b", 0, 0, 1, "w1")); len(got.Refused) != 1 {
		t.Fatal("placed on an upstream whose capacity a run that has not ended still reserves")
	}
	h.end(run("a", 0, 0, 1, "w1"), pipelinev1.EndKind_END_KIND_STOPPED, 1)
	h.mustPlace(run("b", 0, 0, 1, "w1"))
}

// A filling task and one with a latency target share an upstream only where the command allows it, as entries of the release
// before do not, and never where maintenance may not end the filling one.
func TestInterferenceIsAllowedByTheCommand(t *testing.T) {
	for name, c := range map[string]struct {
		shares, protected bool
		want              PlaceReason
	}{"release before": {false, false, PlaceInterference}, "allowed": {true, false, ""}, "protected": {true, true, PlaceInterference}} {
		h := newHarness(t)
		serving, filling := step(1, 1), step(1, 1)
		serving.TargetMs, filling.Fills, filling.Lasting = 100, true, c.protected
		if c.protected {
			filling.MissAllowed = 1
		}
		h.submit("a", serving)
		h.submit("b", filling)
		h.mustPlace(run("a", 0, 0, 1, "w1"))
		got := h.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Place{Place: &pipelinev1.Place{
			Runs: []*pipelinev1.Run{run("b", 0, 0, 1, "w1")}, Shares: c.shares}}})
		reason := PlaceReason("")
		if len(got.Refused) > 0 {
			reason = got.Refused[0].Reason
		}
		if reason != c.want {
			t.Errorf("%s: refused as %q, want %q", name, reason, c.want)
		}
	}
}
