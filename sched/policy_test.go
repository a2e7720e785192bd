package sched

import (
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// Amounts of a whole VM, half of one and an eighth of one.
var (
	full  = vec(8, 32, 8)
	half  = vec(4, 16, 4)
	small = vec(1, 4, 1)
)

// TestSharesSplitAFullCellByWeight checks that two teams get slots in proportion to their
// weights.
func TestSharesSplitAFullCellByWeight(t *testing.T) {
	h := newHarness(t, 4, "d")
	h.PutTeam(Team{Name: "b", Share: 3, Limit: unlimited})
	h.add(Job{Team: "a"}, 100, small)
	h.add(Job{Team: "b"}, 100, small)
	h.equal("placements", h.byTeam(h.decide(0).Placements), map[string]int{"a": 8, "b": 24})
}

// TestSharesAreWorkConservingUpToTheLimit checks that a team may use more than its share
// while no other team has waiting work, up to its limit.
func TestSharesAreWorkConservingUpToTheLimit(t *testing.T) {
	h := newHarness(t, 4, "d")
	limit := unlimited
	limit[resource.Slots] = 20
	h.PutTeam(Team{Name: "a", Share: 1, Limit: limit})
	h.add(Job{Team: "a"}, 100, small)
	h.equal("alone", h.byTeam(h.decide(0).Placements), map[string]int{"a": 20})
}

// TestTeamBelowItsShareGetsRoomAfterItsPatience checks that batch of a team above its share
// is checkpointed for one below after Settings.SharePreemptDelay, and no more than that.
func TestTeamBelowItsShareGetsRoomAfterItsPatience(t *testing.T) {
	h := newHarness(t, 4, "d")
	h.add(Job{Team: "a", Repeatable: true}, 32, small)
	h.decide(0)
	h.add(Job{Team: "b"}, 16, small)
	h.equal("at once", len(h.decide(time.Second).Stops), 0)
	stops := 0
	for range 20 {
		d := h.decide(time.Second)
		for _, s := range d.Stops {
			h.equal("reason", s.Reason, StopForShare)
			h.requeue(s.Task)
			stops++
		}
	}
	if stops < 14 || stops > 16 {
		t.Errorf("%d tasks were stopped; 16 slots are b's share", stops)
	}
}

// TestShortWorkPassesLongWorkForABoundedTime checks that short work submitted a little
// later goes first, and short work submitted after Settings.MaxAge does not.
func TestShortWorkPassesLongWorkForABoundedTime(t *testing.T) {
	h := newHarness(t, 1, "d")
	long := h.add(Job{ExpectedRunTime: time.Hour}, 1, full)
	for range 3 {
		h.now = h.now.Add(time.Second)
		h.add(Job{ExpectedRunTime: time.Second}, 1, full)
	}
	first := h.decide(0).Placements[0]
	if first.Task.Job == long {
		t.Fatal("the long job was placed before a short one")
	}
	h.now = h.now.Add(DefaultSettings.MaxAge)
	h.add(Job{ExpectedRunTime: time.Second}, 1, full)
	order := []JobID{}
	for range 4 {
		h.end(first, Succeeded, time.Second)
		first = h.decide(0).Placements[0]
		order = append(order, first.Task.Job)
	}
	h.equal("order", order, []JobID{3, 4, long, 5})
}

// TestUrgentWorkCheckpointsNoMoreThanItNeeds checks that urgent work preempts one task that
// can be repeated, none that can't, and no second one while the checkpoint runs.
func TestUrgentWorkCheckpointsNoMoreThanItNeeds(t *testing.T) {
	for _, tc := range []struct {
		name       string
		repeatable bool
		want       int
	}{{"repeatable", true, 1}, {"not repeatable", false, 0}} {
		h := newHarness(t, 2, "d")
		h.add(Job{Repeatable: tc.repeatable}, 4, half)
		h.decide(0)
		h.add(Job{Team: "b", Urgent: true}, 1, half)
		d := h.decide(time.Second)
		h.equal(tc.name, stopsByReason(d)[StopPreempted], tc.want)
		if tc.want == 0 {
			continue
		}
		h.phase(d.Stops[0].Task, Stopping)
		h.equal("while the checkpoint runs", len(h.decide(time.Second).Stops), 0)
		h.requeue(d.Stops[0].Task)
		h.equal("then", h.byTeam(h.decide(0).Placements), map[string]int{"b": 1})
	}
}

// TestUrgentWorkOfATeamAtItsLimitDisplacesItsOwnBatch checks that a team at its limit makes
// room for urgent work only by its own batch.
func TestUrgentWorkOfATeamAtItsLimitDisplacesItsOwnBatch(t *testing.T) {
	h := newHarness(t, 2, "d")
	h.PutTeam(Team{Name: "a", Share: 1, Limit: half.Add(half)})
	h.add(Job{Team: "b", Repeatable: true}, 2, half)
	h.add(Job{Team: "a", Repeatable: true}, 2, half)
	h.decide(0)
	h.add(Job{Team: "a", Urgent: true}, 1, half)
	d := h.decide(time.Second)
	h.equal("stops", len(d.Stops), 1)
	h.equal("team", h.jobs[d.Stops[0].Task.Job].Team, "a")
}

// TestBatchIsPackedAndServicesAreSpread checks that batch fills one VM and that services
// are spread evenly over failure domains and VMs.
func TestBatchIsPackedAndServicesAreSpread(t *testing.T) {
	h := newHarness(t, 4, "d", "e", "f")
	h.add(Job{}, 8, small)
	h.equal("upstreams of batch", len(byUpstream(h.decide(0).Placements)), 1)
	h.add(Job{Policy: Service, Class: "watch"}, 6, small)
	d := h.decide(0)
	h.equal("domains of services", h.byDomain(d.Placements), map[string]int{"d": 2, "e": 2, "f": 2})
	h.equal("upstreams of services", len(byUpstream(d.Placements)), 6)
}

// TestBestFitKeepsRoomForLargeWork checks that two half tasks share a VM, so that a large
// one still fits.
func TestBestFitKeepsRoomForLargeWork(t *testing.T) {
	h := newHarness(t, 2, "d")
	h.add(Job{}, 1, half)
	h.decide(0)
	h.add(Job{}, 1, half)
	h.decide(0)
	h.add(Job{}, 1, full)
	h.equal("large work", len(h.decide(0).Placements), 1)
}

// TestGangStartsWholeInOneRack checks that a gang is placed in one rack, and that a gang
// that does not fit as a whole is not placed at all.
func TestGangStartsWholeInOneRack(t *testing.T) {
	h := newHarness(t, 4, "d", "e")
	h.add(Job{}, 1, full)
	h.decide(0)
	h.add(Job{Policy: Gang}, 4, half)
	d := h.decide(0)
	h.equal("tasks", len(d.Placements), 4)
	racks := make(map[*rack]bool)
	for _, p := range d.Placements {
		racks[h.upstreams[p.Upstream].rack] = true
	}
	h.equal("racks", len(racks), 1)
	h.add(Job{Policy: Gang}, 11, half)
	h.equal("too much for what is free", len(h.decide(0).Placements), 0)
}

// TestGangStartsAgainWithoutItsEndedTasks ends one task of a gang, interrupts the others,
// and expects these to start again, together.
func TestGangStartsAgainWithoutItsEndedTasks(t *testing.T) {
	h := newHarness(t, 4, "d")
	h.add(Job{Policy: Gang}, 3, half)
	first := h.decide(0).Placements
	h.end(first[0], Succeeded, time.Second)
	h.requeue(first[1].Task)
	h.equal("while one task still runs", len(h.decide(time.Second).Placements), 0)
	h.requeue(first[2].Task)
	h.equal("tasks that start again", len(h.decide(time.Second).Placements), 2)
}

// TestGangReservationIsBackfilledAndBounded checks that only short work uses upstreams held
// for a gang, and that batch is checkpointed for the gang when its reservation expires.
func TestGangReservationIsBackfilledAndBounded(t *testing.T) {
	h := newHarness(t, 2, "d")
	h.add(Job{ExpectedRunTime: 20 * time.Second}, 2, half)
	h.add(Job{ExpectedRunTime: time.Hour, Repeatable: true}, 1, full)
	h.decide(0)
	gangID := h.add(Job{Team: "b", Policy: Gang}, 4, half)
	h.decide(0)
	h.add(Job{Team: "a", ExpectedRunTime: 24 * time.Hour}, 4, small)
	running := h.last.Placements
	h.equal("nothing starts", len(running), 0)
	for ref, s := range h.status {
		if ref.Job == 1 {
			h.end(Placement{Task: ref, Upstream: s.Upstream}, Succeeded, 20*time.Second)
		}
	}
	short := h.add(Job{Team: "b", ExpectedRunTime: time.Second}, 1, small)
	d := h.decide(time.Second)
	h.equal("backfill", len(d.Placements), 1)
	h.equal("backfill of the short job", d.Placements[0].Task.Job, short)
	h.end(d.Placements[0], Succeeded, time.Second)
	for range 200 {
		d = h.decide(time.Second)
		for _, s := range d.Stops {
			h.equal("why", s.Reason, StopForReservation)
			h.requeue(s.Task)
		}
		if len(d.Placements) > 0 {
			break
		}
	}
	h.equal("gang in the end", d.Placements[0].Task.Job, gangID)
	h.equal("whole", len(d.Placements), 4)
}

// TestGangThatCannotStartLetsOthersGo checks that a gang that can never be placed next to a
// service does not starve the work behind it.
func TestGangThatCannotStartLetsOthersGo(t *testing.T) {
	h := newHarness(t, 2, "d")
	h.add(Job{Policy: Service, Class: "s"}, 2, half)
	h.decide(0)
	h.add(Job{Team: "b", Policy: Gang}, 4, half)
	h.add(Job{Team: "b"}, 4, small)
	for range 200 {
		if len(h.decide(time.Second).Placements) > 0 {
			return
		}
	}
	t.Error("no work behind the gang started within 200 s")
}

// TestHopelessJobsAreRefusedOnceTheCellIsKnown checks that jobs that can never run are
// refused, but only after Settings.SettleTime.
func TestHopelessJobsAreRefusedOnceTheCellIsKnown(t *testing.T) {
	for _, tc := range []struct {
		name  string
		job   Job
		tasks int
		need  resource.Vector
		want  RefusalReason
	}{
		{"fits the VM of a domain that is out", Job{}, 1, vec(16, 64, 1), 0},
		{"larger than any VM", Job{}, 1, vec(17, 64, 1), RefusalNeverFits},
		{"gang larger than the cell", Job{Policy: Gang}, 6, full, RefusalGangTooLarge},
		{"gang as large as the cell", Job{Policy: Gang}, 5, full, 0},
	} {
		h := newHarness(t, 3, "d")
		h.PutDomain(Domain{Name: "away", Out: true})
		h.put("big", "away", "r", vec(16, 64, 16), true)
		h.add(tc.job, tc.tasks, tc.need)
		h.equal(tc.name+" at first", len(h.decide(0).Refusals), 0)
		h.decide(DefaultSettings.SettleTime)
		got := RefusalReason(0)
		if len(h.last.Refusals) > 0 {
			got = h.last.Refusals[0].Reason
		}
		h.equal(tc.name, got, tc.want)
	}
}

// TestLoweredLimitAndCapacityStopTheLeastWork checks that no more work is stopped than a
// lowered limit or capacity requires, batch before services.
func TestLoweredLimitAndCapacityStopTheLeastWork(t *testing.T) {
	h := newHarness(t, 2, "d")
	h.add(Job{Policy: Service, Class: "s", Repeatable: true}, 2, half)
	h.decide(0)
	h.add(Job{Repeatable: true}, 2, half)
	h.decide(time.Second)
	h.PutTeam(Team{Name: "a", Share: 1, Limit: half.Add(half).Add(small)})
	d := h.decide(time.Second)
	h.equal("limit", stopsByReason(d), map[StopReason]int{StopOverLimit: 2})
	for _, s := range d.Stops {
		h.equal("policy", h.jobs[s.Task.Job].Policy, Batch)
		h.phase(s.Task, Stopping)
		h.requeue(s.Task)
	}
	h.equal("no more than needed", len(h.decide(time.Second).Stops), 0)
	h.put("w0", "d", "r0", small, true)
	h.equal("capacity", stopsByReason(h.decide(time.Second)), map[StopReason]int{StopCapacity: 1})
}

// TestManyCancellationsLeaveNothingBehind cancels 10,000 waiting jobs and expects an empty
// queue.
func TestManyCancellationsLeaveNothingBehind(t *testing.T) {
	h := newHarness(t, 1, "d")
	h.add(Job{}, 1, full)
	h.decide(0)
	for range 10_000 {
		h.add(Job{}, 1, small)
	}
	h.decide(time.Second)
	for id := h.nextID; id > 1; id-- {
		h.RemoveJob(id)
	}
	h.equal("queue", len(h.teams["a"].queues[tierNormal]), 0)
	h.equal("decision", len(h.decide(time.Second).Placements), 0)
}

// TestGangInAnEmptyCellWaits submits a gang before there is any upstream, with a seed
// beyond the range of int64, and expects the gang to start later.
func TestGangInAnEmptyCellWaits(t *testing.T) {
	h := newHarness(t, 0, "d")
	h.settings.Seed = 1<<63 + 5
	h.add(Job{Policy: Gang}, 4, full)
	h.equal("without upstreams", len(h.decide(time.Second).Placements), 0)
	h.put("late-0", "d", "r", full, true)
	h.equal("with one of four", len(h.decide(time.Second).Placements), 0)
	for _, name := range []string{"late-1", "late-2", "late-3"} {
		h.put(name, "d", "r", full, true)
	}
	h.equal("with all", len(h.decide(time.Second).Placements), 4)
}
