package sched

import (
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// TestReservationsFollowWhatTheClassUses checks that reservations follow the learned use
// of a class once there are minSamples samples, and never exceed a VM.
func TestReservationsFollowWhatTheClassUses(t *testing.T) {
	h := newHarness(t, 2, "d")
	h.add(Job{Class: "c"}, minSamples, vec(1, 8, 1))
	for _, p := range h.decide(0).Placements {
		h.equal("at first", p.Reserved, vec(1, 8, 1))
		used := resource.Vector{3000, 2 * gibibyte, 0, 1, 1}
		h.ObserveUsage(Usage{Ref: p.Task, Used: used})
		h.ObserveUsage(Usage{Ref: p.Task, Used: used})
		h.end(p, Succeeded, time.Second)
	}
	h.add(Job{Class: "c"}, 1, vec(1, 8, 1))
	got := h.decide(0).Placements[0].Reserved
	if got[resource.Cores] < 3000 || got[resource.Cores] > 3300 || got[resource.Memory] < 2*gibibyte || got[resource.Memory] > 5*gibibyte/2 {
		t.Errorf("reserved %s for a class that uses 3 cores and 2 GiB", got)
	}
	h.add(Job{Class: "c"}, 1, vec(4, 8, 1))
	h.equal("never more than a VM", h.decide(0).Placements[0].Reserved, vec(4, 8, 1))
}

// TestOveruseIsThrottledThenShed checks that a task whose use exceeds the VM's capacity is
// throttled first and stopped only after Settings.ThrottleGrace.
func TestOveruseIsThrottledThenShed(t *testing.T) {
	h := newHarness(t, 1, "d")
	h.add(Job{Policy: Service, Class: "s", Repeatable: true}, 1, half)
	h.decide(0)
	h.add(Job{Class: "b", Repeatable: true}, 1, half)
	batch := h.decide(time.Second).Placements[0]
	h.ObserveUsage(Usage{Ref: batch.Task, Used: vec(6, 16, 4)})
	for ref := range h.status {
		if ref != batch.Task {
			h.ObserveUsage(Usage{Ref: ref, Used: half})
		}
	}
	d := h.decide(time.Second)
	h.equal("throttles", d.Throttles, []Throttle{{batch.Task}})
	h.equal("stops", len(d.Stops), 0)
	h.add(Job{}, 1, small)
	h.equal("no new work on the VM", len(h.decide(time.Second).Placements), 0)
	d = h.decide(DefaultSettings.ThrottleGrace)
	h.equal("then", d.Stops, []Stop{{Task: batch.Task, Checkpoint: true, Reason: StopOverUse}})
}

// TestQuarantineTellsBadUpstreamsFromBadJobs checks that a class that fails everywhere
// quarantines no upstream, and that an upstream on which a good class fails is quarantined.
func TestQuarantineTellsBadUpstreamsFromBadJobs(t *testing.T) {
	h := newHarness(t, 4, "d")
	rounds := func(class string, fails func(Placement) bool) {
		for range 12 {
			h.add(Job{Class: class, Repeatable: true}, 4, full)
			for range 3 {
				for _, p := range h.decide(time.Second).Placements {
					kind := Succeeded
					if fails(p) {
						kind = Failed
					}
					h.end(p, kind, time.Second)
				}
			}
		}
	}
	rounds("broken", func(Placement) bool { return true })
	for id := range h.jobs {
		h.RemoveJob(id)
	}
	h.equal("after jobs that fail everywhere", len(h.quarantined), 0)
	rounds("good", func(p Placement) bool { return p.Upstream == "w1" })
	h.equal("w1", h.upstreams["w1"].reason, Quarantined)
	h.equal("paused", len(h.quarantined), 1)
}

// TestQuarantineEndsWithOneProbe checks that one task is tried after each pause, and that
// its success ends the quarantine.
func TestQuarantineEndsWithOneProbe(t *testing.T) {
	h := newHarness(t, 1, "d")
	u := h.upstreams["w0"]
	h.pause(u)
	h.add(Job{Repeatable: true}, 8, small)
	h.equal("paused", len(h.decide(time.Second).Placements), 0)
	d := h.decide(DefaultSettings.QuarantinePause)
	h.equal("one probe", len(d.Placements), 1)
	h.equal("still one", len(h.decide(time.Second).Placements), 0)
	h.end(d.Placements[0], Failed, 0)
	h.equal("a longer pause", len(h.decide(DefaultSettings.QuarantinePause).Placements), 0)
	d = h.decide(DefaultSettings.QuarantinePause)
	h.end(d.Placements[0], Succeeded, time.Second)
	h.equal("released", len(h.decide(time.Second).Placements), 7)
}

// TestDomainOutKeepsWorkRunningWithinTheNotice checks that only services are stopped at
// once when a failure domain is taken out, and that nothing is left on it after the notice.
func TestDomainOutKeepsWorkRunningWithinTheNotice(t *testing.T) {
	h := newHarness(t, 2, "d", "e")
	h.add(Job{Policy: Service, Class: "s", Repeatable: true}, 4, vec(2, 8, 2))
	h.add(Job{Repeatable: true}, 4, vec(2, 8, 2))
	h.add(Job{}, 4, vec(2, 8, 2))
	h.decide(0)
	notice := 40 * time.Second
	h.PutDomain(Domain{Name: "d", Out: true, Notice: notice})
	h.add(Job{}, 1, small)
	kinds := func(d Decision) (services, batch, forced int) {
		for _, s := range d.Stops {
			switch {
			case h.jobs[s.Task.Job].Policy == Service:
				services++
			case s.Checkpoint:
				batch++
			default:
				forced++
			}
			h.phase(s.Task, Stopping)
			h.requeue(s.Task)
		}
		return
	}
	d := h.decide(time.Second)
	h.equal("new work", h.byDomain(d.Placements)["d"], 0)
	services, batch, forced := kinds(d)
	h.equal("services, batch and forced stops at once", []int{services, batch, forced}, []int{2, 0, 0})
	var sum [3]int
	for range 45 {
		s, b, f := kinds(h.decide(time.Second))
		sum = [3]int{sum[0] + s, sum[1] + b, sum[2] + f}
	}
	h.equal("left behind", len(h.upstreams["w0"].tasks)+len(h.upstreams["w1"].tasks), 0)
	if sum[1] == 0 {
		t.Error("no batch was checkpointed")
	}
}

// TestReturningDomainIsRampedAndMovesNothing checks that a returned failure domain is
// filled gradually without stopping work elsewhere, and later after a second return.
func TestReturningDomainIsRampedAndMovesNothing(t *testing.T) {
	h := newHarness(t, 8, "d", "e")
	flap := func() (at0, at5, at10 int) {
		h.PutDomain(Domain{Name: "d", Out: true})
		h.decide(time.Second)
		h.PutDomain(Domain{Name: "d"})
		at0 = len(h.decide(0).Placements)
		at5 = len(h.decide(5 * time.Second).Placements)
		at10 = len(h.decide(5 * time.Second).Placements)
		h.equal("moves", len(h.last.Stops), 0)
		return
	}
	h.PutDomain(Domain{Name: "d", Out: true})
	h.add(Job{}, 64, small)
	h.decide(0)
	h.add(Job{}, 1000, small)
	a, b, c := flap()
	if a > 8 || a+b > 40 || a+b+c != 64 {
		t.Errorf("started %d, %d, %d of 64 slots at 0, 5 and 10 s", a, b, c)
	}
	for ref, s := range h.status {
		if h.upstreams[s.Upstream].Domain == "d" {
			h.end(Placement{Task: ref, Upstream: s.Upstream}, Succeeded, time.Second)
		}
	}
	a, b, _ = flap()
	if a != 0 || b > 8 {
		t.Errorf("started %d and %d at 0 and 5 s after the second return", a, b)
	}
}

// TestLeavingUpstreamIsDrainedAndNonRepeatableWorkEnds checks that a leaving upstream stops
// the work that can be repeated and lets the rest run to its end.
func TestLeavingUpstreamIsDrainedAndNonRepeatableWorkEnds(t *testing.T) {
	h := newHarness(t, 1, "d", "e")
	h.add(Job{Repeatable: true}, 4, small)
	h.add(Job{}, 4, small)
	d := h.decide(0)
	name := d.Placements[0].Upstream
	u := h.upstreams[name].Upstream
	u.Active, u.Leaving = false, true
	h.PutUpstream(u)
	stopped := 0
	for range 60 {
		for _, s := range h.decide(time.Second).Stops {
			h.equal("reason", s.Reason, StopLeaving)
			h.phase(s.Task, Stopping)
			h.requeue(s.Task)
			stopped++
		}
	}
	h.equal("stopped", stopped, 4)
	h.equal("left to end", len(h.upstreams[name].tasks), 4)
}
