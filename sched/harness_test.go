package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

const gibibyte = 1 << 30

// The harness's start time, a limit that never applies, and the capacity of its VMs.
var (
	start     = time.Unix(1_700_000_000, 0)
	unlimited = resource.Vector{resource.Unlimited, resource.Unlimited, resource.Unlimited, resource.Unlimited, resource.Unlimited}
	vmSize    = vec(8, 32, 8)
)

// vec returns an amount of cores, memory in gibibytes, and slots.
func vec(cores, memory, slots int64) resource.Vector {
	return resource.Vector{cores * 1000, memory * gibibyte, 0, slots, slots}
}

// harness gives facts to a Cell and carries out its decisions immediately.
type harness struct {
	*Cell
	t      testing.TB
	now    time.Time
	nextID JobID
	status map[TaskRef]TaskStatus
	last   Decision
}

// newHarness returns a cell with teams a and b, and perDomain upstreams in each of the
// given failure domains, named w0, w1 and so on, two to a rack.
func newHarness(t testing.TB, perDomain int, domains ...string) *harness {
	h := &harness{Cell: NewCell(DefaultSettings), t: t, now: start, status: make(map[TaskRef]TaskStatus)}
	h.SetTime(start)
	for _, name := range []string{"a", "b"} {
		h.PutTeam(Team{Name: name, Share: 1, Limit: unlimited})
	}
	for i, d := range domains {
		h.PutDomain(Domain{Name: d})
		for k := range perDomain {
			h.put(fmt.Sprintf("w%d", i*perDomain+k), d, fmt.Sprintf("r%d", k/2), vmSize, true)
		}
	}
	return h
}

// put adds or changes an upstream.
func (h *harness) put(name, domain, rack string, size resource.Vector, active bool) {
	h.PutUpstream(Upstream{Name: name, Incarnation: 1, Domain: domain, Rack: rack, Capacity: size, Active: active})
}

// add submits a job of n equal tasks, by default batch of team a.
func (h *harness) add(j Job, n int, need resource.Vector) JobID {
	h.nextID++
	j.ID, j.Submitted = h.nextID, h.now
	if j.Team == "" {
		j.Team = "a"
	}
	if j.Policy == 0 {
		j.Policy = Batch
	}
	if j.RequestID == "" {
		j.RequestID, j.Queue = fmt.Sprintf("req-%d", j.ID), "q"
	}
	for range n {
		j.Needs = append(j.Needs, need)
	}
	h.AddJob(j)
	return j.ID
}

// decide advances the time, decides and carries out the placements. Stops are left to the
// caller.
func (h *harness) decide(pass time.Duration) Decision {
	h.now = h.now.Add(pass)
	d := h.Decide(h.now, 1000)
	for _, p := range d.Placements {
		h.set(TaskStatus{Ref: p.Task, Phase: Placed, Upstream: p.Upstream, Reserved: p.Reserved})
		h.phase(p.Task, Running)
	}
	h.last = d
	return d
}

// set records a task's status in the harness and in the cell.
func (h *harness) set(s TaskStatus) {
	h.status[s.Ref] = s
	h.SetTask(s)
}

// phase changes the phase of a task.
func (h *harness) phase(ref TaskRef, p Phase) {
	s := h.status[ref]
	s.Phase = p
	h.set(s)
}

// requeue ends an attempt and makes the task wait for the next one.
func (h *harness) requeue(ref TaskRef) {
	delete(h.status, ref)
	ref.Attempt++
	h.SetTask(TaskStatus{Ref: ref})
}

// end reports the end of a running task; a failed one is queued again.
func (h *harness) end(p Placement, kind EndKind, run time.Duration) {
	h.AttemptEnded(AttemptEnd{Ref: p.Task, Upstream: p.Upstream, Kind: kind, RunTime: run})
	if kind == Failed {
		h.requeue(p.Task)
		return
	}
	delete(h.status, p.Task)
	h.SetTask(TaskStatus{Ref: p.Task, Phase: Ended})
}

// byUpstream counts placements per upstream.
func byUpstream(list []Placement) map[string]int {
	counts := make(map[string]int)
	for _, p := range list {
		counts[p.Upstream]++
	}
	return counts
}

// byTeam counts placements per team.
func (h *harness) byTeam(list []Placement) map[string]int {
	counts := make(map[string]int)
	for _, p := range list {
		counts[h.jobs[p.Task.Job].Team]++
	}
	return counts
}

// byDomain counts placements per failure domain.
func (h *harness) byDomain(list []Placement) map[string]int {
	counts := make(map[string]int)
	for _, p := range list {
		counts[h.upstreams[p.Upstream].Domain]++
	}
	return counts
}

// stopsByReason counts the stops of a decision by reason.
func stopsByReason(d Decision) map[StopReason]int {
	counts := make(map[StopReason]int)
	for _, s := range d.Stops {
		counts[s.Reason]++
	}
	return counts
}

// equal reports an error if got and want print differently.
func (h *harness) equal(what string, got, want any) {
	h.t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		h.t.Errorf("%s: got %v, want %v", what, got, want)
	}
}
