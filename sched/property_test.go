package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
	"pgregory.net/rapid"
)

// machine is a state machine that applies random facts and checks every decision against
// sums of its own.
type machine struct {
	*harness
	rt *rapid.T
}

// anyTask draws a task in one of the phases; false means that there is none.
func (m *machine) anyTask(phases ...Phase) (TaskRef, bool) {
	var refs []TaskRef
	for id := JobID(1); id <= m.nextID; id++ {
		j := m.jobs[id]
		if j == nil {
			continue
		}
		for i := range j.tasks {
			for _, p := range phases {
				if j.tasks[i].phase == p {
					refs = append(refs, j.tasks[i].ref())
				}
			}
		}
	}
	if len(refs) == 0 {
		return TaskRef{}, false
	}
	return rapid.SampledFrom(refs).Draw(m.rt, "task"), true
}

// addJob adds a random job.
func (m *machine) addJob(rt *rapid.T) {
	j := Job{Team: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "team"), Class: rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "class"),
		Policy: rapid.SampledFrom([]Policy{Batch, Service, Gang}).Draw(rt, "policy"), Urgent: rapid.Bool().Draw(rt, "urgent"),
		Repeatable: rapid.Bool().Draw(rt, "repeatable"), ExpectedRunTime: time.Duration(rapid.IntRange(0, 100).Draw(rt, "expected")) * time.Second}
	m.add(j, rapid.IntRange(1, 6).Draw(rt, "tasks"), vec(int64(rapid.IntRange(0, 5).Draw(rt, "cores")), int64(rapid.IntRange(0, 16).Draw(rt, "memory")), 1))
}

// changeTask ends, stops or requeues a random live task, or reports use of it.
func (m *machine) changeTask(rt *rapid.T) {
	ref, ok := m.anyTask(Running, Placed, Stopping)
	if !ok {
		return
	}
	t := &m.jobs[ref.Job].tasks[ref.Index]
	p := Placement{Task: ref, Upstream: t.up.Name}
	switch rapid.IntRange(0, 4).Draw(rt, "what") {
	case 0:
		m.end(p, Succeeded, time.Second)
	case 1:
		m.end(p, Failed, time.Second)
	case 2:
		m.phase(ref, Stopping)
	case 3:
		m.requeue(ref)
	default:
		m.ObserveUsage(Usage{Ref: ref, Used: vec(int64(rapid.IntRange(0, 9).Draw(rt, "use")), 3, 1)})
	}
}

// changeCell changes a random failure domain or upstream, or team a.
func (m *machine) changeCell(rt *rapid.T) {
	switch rapid.IntRange(0, 2).Draw(rt, "what") {
	case 0:
		m.PutDomain(Domain{Name: rapid.SampledFrom([]string{"d", "e"}).Draw(rt, "domain"), Out: rapid.Bool().Draw(rt, "out"), Notice: time.Second})
	case 1:
		u := m.upstreamOrder[rapid.IntRange(0, len(m.upstreamOrder)-1).Draw(rt, "upstream")].Upstream
		u.Active, u.Leaving = rapid.Bool().Draw(rt, "active"), rapid.Bool().Draw(rt, "leaving")
		u.Capacity = vec(int64(rapid.IntRange(0, 9).Draw(rt, "cores")), 32, int64(rapid.IntRange(0, 8).Draw(rt, "slots")))
		m.PutUpstream(u)
	default:
		limit := unlimited
		limit[resource.Slots] = int64(rapid.IntRange(0, 30).Draw(rt, "limit"))
		m.PutTeam(Team{Name: "a", Share: int64(rapid.IntRange(1, 3).Draw(rt, "share")), Limit: limit})
	}
}

// removeJob cancels a random job.
func (m *machine) removeJob(rt *rapid.T) {
	id := JobID(rapid.IntRange(0, int(m.nextID)).Draw(rt, "job"))
	j := m.jobs[id]
	if j == nil {
		return
	}
	for i := range j.tasks {
		m.SetTask(TaskStatus{Ref: j.tasks[i].ref(), Phase: Ended})
	}
	m.RemoveJob(id)
}

// decideChecked decides, checks the decision and carries out its placements.
func (m *machine) decideChecked(rt *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "ms")) * time.Millisecond)
	before := m.checkedState()
	d := m.Decide(m.now, rapid.IntRange(1, 50).Draw(rt, "limit"))
	if after := m.checkedState(); before != after {
		rt.Fatalf("a decision changed the cell:\n%s\n%s", before, after)
	}
	gangs := make(map[JobID]int)
	for _, p := range d.Placements {
		m.checkPlacement(rt, p)
		m.set(TaskStatus{Ref: p.Task, Phase: Running, Upstream: p.Upstream, Reserved: p.Reserved})
		gangs[p.Task.Job]++
	}
	for id, n := range gangs {
		if j := m.jobs[id]; j.Policy == Gang && n != j.unended() {
			rt.Fatalf("%d of the %d tasks left of a gang were placed", n, j.unended())
		}
	}
	for _, s := range d.Stops {
		t := &m.jobs[s.Task.Job].tasks[s.Task.Index]
		if t.up == nil || t.ref() != s.Task {
			rt.Fatalf("stop of a task that holds no capacity")
		}
		if s.Reason == StopPreempted && (!t.job.Repeatable || t.job.Policy != Batch || !s.Checkpoint) {
			rt.Fatalf("preemption without a checkpoint, or of work that is not repeatable batch")
		}
	}
}

// checkPlacement fails the test if a placement violates a limit or the state of its task
// or upstream.
func (m *machine) checkPlacement(rt *rapid.T, p Placement) {
	j, u := m.jobs[p.Task.Job], m.upstreams[p.Upstream]
	t := &j.tasks[p.Task.Index]
	tm := m.teams[j.Team]
	var onVM resource.Vector
	for _, o := range u.tasks {
		onVM = onVM.Add(o.reserved)
	}
	switch {
	case t.phase != Waiting || t.ref() != p.Task:
		rt.Fatalf("placement of a task that is not waiting, or of another attempt")
	case !u.Active || u.domain.Out || p.Incarnation != u.Incarnation:
		rt.Fatalf("placement on an upstream that is inactive, restarted or in a failure domain that is out")
	case !onVM.Add(p.Reserved).Fits(u.Capacity):
		rt.Fatalf("placement over the capacity of a VM")
	case !tm.used.Add(p.Reserved).Fits(tm.Limit):
		rt.Fatalf("placement over the limit of a team")
	}
}

// checkedState renders the state that decisions are based on. It recomputes the sums and
// index entries from the tasks and fails the test if they differ.
func (m *machine) checkedState() string {
	s := fmt.Sprint(m.total, m.blocked)
	for _, u := range m.upstreamOrder {
		var reserved, load, stopping resource.Vector
		for _, t := range u.tasks {
			reserved, load = reserved.Add(t.reserved), load.Add(t.load())
			if t.phase == Stopping {
				stopping = stopping.Add(t.reserved)
			}
		}
		if reserved != u.reserved || load != u.load || stopping != u.stopping {
			m.rt.Fatalf("the sums of %s differ from the sums of its tasks", u.Name)
		}
		indexed := u.reason == Fits && u.heldFor == nil && u.free()[resource.Slots] > 0
		if indexed != (u.bucket != nil) || indexed && u.bucket.key != levelsOf(u.free()) {
			m.rt.Fatalf("%s is in the wrong bucket of the index, or wrongly in or out of it", u.Name)
		}
		s += fmt.Sprint(u.reserved, u.load, u.reason)
	}
	for _, tm := range m.teamOrder {
		s += fmt.Sprint(tm.used, tm.stopping)
		for _, q := range tm.queues {
			for _, e := range q {
				s += fmt.Sprint(e.job.ID*1000+JobID(len(e.tasks)), e.booked)
				break
			}
			s += fmt.Sprint(len(q))
		}
	}
	return s
}

// TestDecisionsKeepEveryPromise checks random sequences of facts and decisions.
func TestDecisionsKeepEveryPromise(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &machine{harness: newHarness(t, 3, "d", "e"), rt: rt}
		rt.Repeat(map[string]func(*rapid.T){
			"add": m.addJob, "task": m.changeTask, "cell": m.changeCell, "remove": m.removeJob, "decide": m.decideChecked,
			"explain": func(*rapid.T) {
				for id := range m.jobs {
					m.Explain(id, m.now)
				}
			},
		})
	})
}
