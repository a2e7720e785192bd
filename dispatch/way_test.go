package dispatch

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

// The ways to an upstream are the relays of its domain, the leader itself, and a relay of each other
// domain; each of them once.
func TestWays(t *testing.T) {
	r := &relays{}
	list := []Relay{{Address: "b2", FailureDomain: "prado"}, {Address: "b1", FailureDomain: "prado"}, {Address: "a1", FailureDomain: "cordon"}, {Address: "c1", FailureDomain: "cerro"}}
	if !r.set(slices.Clone(list)) || r.set(slices.Clone(list)) {
		t.Error("a change of the relays is not told from none")
	}
	for _, c := range []struct {
		domain string
		hash   uint32
		want   []string
	}{
		{"prado", 0, []string{"b1", "b2", "", "c1", "a1", "b1"}},
		{"prado", 1, []string{"b2", "b1", "", "c1", "a1", "b2"}},
		{"cordon", 1, []string{"a1", "", "c1", "b2", "a1"}},
		{"elsewhere", 0, []string{"", "c1", "a1", "b1", ""}},
	} {
		for attempt, want := range c.want {
			if got := r.way(c.domain, c.hash, attempt); got != want {
				t.Errorf("%s, attempt %d: %q, not %q", c.domain, attempt, got, want)
			}
		}
	}
	r.set(nil)
	if got := r.way("prado", 7, 3); got != "" {
		t.Errorf("without relays: %q", got)
	}
}

// relayed returns a harness with relays in the upstreams' domain and another one.
func relayed(t *testing.T, upstreams ...string) *harness {
	h := newHarness(t, upstreams...)
	h.relays = []Relay{{Address: "near-1", FailureDomain: "prado"}, {Address: "near-2", FailureDomain: "prado"}, {Address: "far", FailureDomain: "cordon"}}
	h.run(2 * tickStep)
	return h
}

// Orders and status requests go through the relays of the upstream's domain.
func TestCallsAreRelayed(t *testing.T) {
	h := relayed(t, "w1", "w2")
	clear(h.upstreams["w1"].calls)
	clear(h.upstreams["w2"].calls)
	h.submit(jobID(1), oneStep(8, 500))
	h.run(3 * time.Second)
	for id, f := range h.upstreams {
		if f.calls[""] != 0 || f.calls["far"] != 0 || f.calls["near-1"]+f.calls["near-2"] == 0 {
			t.Errorf("%s was called %v", id, f.calls)
		}
	}
	if got := h.jobState(jobID(1)); got != pipeline.Completed {
		t.Errorf("state %s", got)
	}
}

// A cut in one direction, so that the leader's orders arrive and no answer comes back on all ways but
// one, neither ends runs nor starts them again, and new work runs there.
func TestUpstreamThatIsHeardOnOneWayOnly(t *testing.T) {
	h := relayed(t, "w1")
	f := h.upstreams["w1"]
	f.runTime = 20 * time.Second
	h.submit(jobID(1), oneStep(2, 20_000))
	h.run(time.Second)
	f.deaf = map[string]bool{"near-1": true, "near-2": true, "": true}
	h.run(5 * time.Second)
	if got := h.engine.sessions["w1"].phase; got != lifecycle.SessionOpen {
		t.Errorf("the session is %s", got)
	}
	h.submit(jobID(2), oneStep(1, 500))
	h.run(time.Second)
	if f.starts != 3 {
		t.Errorf("%d starts", f.starts)
	}
	f.runTime = time.Second
	h.run(3 * time.Second)
	for _, id := range []string{jobID(1), jobID(2)} {
		if got := h.jobState(id); got != pipeline.Completed {
			t.Errorf("job %s: state %s", id, got)
		}
	}
	if f.starts != 3 {
		t.Errorf("%d starts after the end", f.starts)
	}
	h.check()
}

// A relay that the group no longer hears gets no calls; the best way is used again after wayTime.
func TestBestWayIsTriedAgain(t *testing.T) {
	h := relayed(t, "w1")
	f := h.upstreams["w1"]
	h.relays = h.relays[:1]
	h.run(tickStep)
	f.lost = map[string]bool{"near-1": true}
	h.submit(jobID(1), oneStep(1, 500))
	h.run(2 * time.Second)
	if got := h.jobState(jobID(1)); got != pipeline.Completed || f.calls[""] == 0 {
		t.Errorf("state %s, calls %v", got, f.calls)
	}
	f.lost = nil
	h.run(wayTime)
	clear(f.calls)
	h.submit(jobID(2), oneStep(1, 500))
	h.run(2 * time.Second)
	if f.calls["near-1"] == 0 || f.calls[""] != 0 {
		t.Errorf("after the way is good again: %v", f.calls)
	}
	h.relays = nil
	h.run(tickStep)
	clear(f.calls)
	h.submit(jobID(3), oneStep(1, 500))
	h.run(2 * time.Second)
	if f.calls["near-1"] != 0 || f.calls[""] == 0 {
		t.Errorf("without relays: %v", f.calls)
	}
}

// A new leader whose relays are not up yet reaches an upstream on the next way without a pause. With a pause
// after the first failure a tenth of the upstreams were silent for 0.25 s after a loss of power.
func TestRelayThatIsNotUpCostsNoPause(t *testing.T) {
	h := relayed(t, "w1")
	h.upstreams["w1"].down = map[string]bool{"near-1": true, "near-2": true}
	h.newLeader()
	h.run(2 * tickStep)
	if got := h.engine.sessions["w1"].phase; got != lifecycle.SessionOpen {
		t.Errorf("the session is %s", got)
	}
	h.upstreams["w1"].down = map[string]bool{"near-1": true, "near-2": true, "": true, "far": true}
	h.newLeader()
	h.run(2 * tickStep)
	if got := h.engine.sessions["w1"].phase; got != lifecycle.SessionSilent {
		t.Errorf("on no way: the session is %s", got)
	}
}

// Whatever ways lose or delay, on whichever side of the upstream, and however often the leader
// changes, no task runs twice at a time or again after its end, and all jobs end.
func TestOneRunAtATimeOverLossyWays(t *testing.T) {
	for seed := range uint64(30) {
		h := relayed(t, "w1", "w2", "w3")
		rng := rand.New(rand.NewPCG(seed, 3))
		ways := []string{"", "near-1", "near-2", "far"}
		for round := range 12 {
			h.submit(jobID(round), oneStep(int32(1+rng.IntN(4)), 500))
			for _, f := range h.upstreams {
				f.deaf, f.lost = make(map[string]bool), make(map[string]bool)
				f.startDelay = 0
				for _, w := range ways {
					f.deaf[w], f.lost[w] = rng.IntN(3) == 0, rng.IntN(4) == 0
				}
				if rng.IntN(5) == 0 {
					f.startDelay = time.Duration(rng.IntN(4000)) * time.Millisecond
				}
			}
			if rng.IntN(4) == 0 {
				h.newLeader()
			}
			h.run(time.Duration(200+rng.IntN(1500)) * time.Millisecond)
		}
		for _, f := range h.upstreams {
			f.deaf, f.lost, f.startDelay = nil, nil, 0
		}
		h.run(25 * time.Second)
		h.check()
		for round := range 12 {
			if got := h.jobState(jobID(round)); got != pipeline.Completed {
				t.Errorf("seed %d: job %d is %s", seed, round, got)
			}
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
