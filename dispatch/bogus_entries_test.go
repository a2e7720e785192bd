package dispatch

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"google.golang.org/protobuf/proto"
)

const (
	// heartbeatTime is the time between two heartbeats of an upstream.
	heartbeatTime = 1500 * time.Millisecond
	// bogusBorn is the start of an incarnation in the year 2100.
	bogusBorn = 4_102_444_800_000
)

// beatFor advances the time while the proper upstreams send heartbeats with rising numbers.
func (h *harness) beatFor(d time.Duration, ids ...string) {
	for end := h.now + d; h.now < end; h.run(heartbeatTime) {
		for _, id := range ids {
			h.beat(id, h.now.Milliseconds())
		}
	}
}

// beat sends a heartbeat of an upstream with a number.
func (h *harness) beat(id string, sequence int64) {
	h.call(&pipelinev1.Call{Call: &pipelinev1.Call_Heartbeat{Heartbeat: &pipelinev1.HeartbeatCall{
		Upstream: h.upstreams[id].describe(id), Sequence: sequence}}})
}

// bogusBeat sends the heartbeat of an upstream after edit has changed it.
func (h *harness) bogusBeat(id string, sequence int64, edit func(*pipelinev1.Upstream)) *pipelinev1.Reply {
	u := h.upstreams[id].describe(id)
	edit(u)
	return h.call(&pipelinev1.Call{Call: &pipelinev1.Call_Heartbeat{Heartbeat: &pipelinev1.HeartbeatCall{Upstream: u, Sequence: sequence}}})
}

// checkAllDone expects the runs of the upstreams to have ended as done, and jobs to be completed.
func (h *harness) checkAllDone(jobs ...string) {
	h.t.Helper()
	h.check()
	for id, f := range h.upstreams {
		for key, ran := range f.history {
			if ran.kind != pipelinev1.EndKind_END_KIND_DONE {
				h.t.Errorf("run %v on %s ended as %v", key, id, ran.kind)
			}
		}
	}
	for _, id := range jobs {
		if s := h.jobState(id); s != pipeline.Completed {
			h.t.Errorf("job %s is %s", id, s)
		}
	}
}

// A heartbeat from another writer, under the identity of a sound upstream and with a start in the future, once
// kept work from it for the rest of the leadership: its leases ran out.
func TestBogusStartShutsNoUpstreamOut(t *testing.T) {
	for _, address := range []string{"w1", "elsewhere"} {
		for _, repeated := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, repeated %t", address, repeated), func(t *testing.T) {
				h := newHarness(t, "w1")
				h.upstreams["w1"].runTime = 8 * time.Second
				h.submit(jobID(1), oneStep(2, 8000))
				bogus := func() {
					h.bogusBeat("w1", 1, func(u *pipelinev1.Upstream) { u.Born, u.Address = bogusBorn, address })
				}
				h.beatFor(2*time.Second, "w1")
				bogus()
				for range 6 {
					h.beatFor(heartbeatTime, "w1")
					if repeated {
						bogus()
						h.run(700 * time.Millisecond)
					}
				}
				h.submit(jobID(2), oneStep(1, 8000))
				h.beatFor(15*time.Second, "w1")
				h.checkAllDone(jobID(1), jobID(2))
			})
		}
	}
}

// An bogus heartbeat that came before the first proper one once hid the upstream until it was removed as silent.
func TestBogusStartThatCameFirstHidesNoUpstream(t *testing.T) {
	for _, address := range []string{"w1", "elsewhere"} {
		h := newHarness(t)
		h.upstreams["w1"] = newFakeUpstream(h, 10)
		h.bogusBeat("w1", 1, func(u *pipelinev1.Upstream) { u.Born, u.Address = bogusBorn, address })
		h.submit(jobID(1), oneStep(1, 1000))
		h.beatFor(8*time.Second, "w1")
		h.checkAllDone(jobID(1))
	}
}

// After a heartbeat with a number far too high, the proper ones once counted as stale for ever, and what the
// upstream said of itself was no longer taken over.
func TestBogusSequenceHidesNoHeartbeat(t *testing.T) {
	h := newHarness(t, "w1")
	h.beatFor(3*time.Second, "w1")
	h.bogusBeat("w1", math.MaxInt64, func(u *pipelinev1.Upstream) { u.Capacity.MilliCores = 64_000 })
	h.beatFor(12*time.Second, "w1")
	if got := h.state.Upstreams()["w1"].Capacity.MilliCores; got != 4000 {
		t.Errorf("the capacity is still %d", got)
	}
	h.upstreams["w1"].draining = true
	h.beatFor(3*time.Second, "w1")
	if !h.state.Upstreams()["w1"].GetDraining() {
		t.Error("the drain was not noticed")
	}
}

// Heartbeats that come late, one or a few at a time, stay without effect.
func TestLateHeartbeatsStayStale(t *testing.T) {
	h := newHarness(t, "w1")
	h.beatFor(30*time.Second, "w1")
	for i := range 6 {
		h.bogusBeat("w1", int64(100+i), func(u *pipelinev1.Upstream) { u.Capacity.MilliCores = 64_000 })
	}
	if got := h.state.Upstreams()["w1"].Capacity.MilliCores; got != 4000 {
		t.Errorf("the capacity is %d", got)
	}
}

// A heartbeat of another identity with the address or the VM of a sound upstream once removed that one, and its
// runs were started again elsewhere while they went on.
func TestBogusClaimOfAnAddressEndsNoRun(t *testing.T) {
	for name, edit := range map[string]func(*pipelinev1.Upstream){
		"address, newer":        func(u *pipelinev1.Upstream) { u.Born = 20 },
		"address, same start":   func(*pipelinev1.Upstream) {},
		"VM":                    func(u *pipelinev1.Upstream) { u.Address, u.Born = "elsewhere", 20 },
		"VM, in the far future": func(u *pipelinev1.Upstream) { u.Address, u.Born = "elsewhere", bogusBorn },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "w1", "w2")
			for _, f := range h.upstreams {
				f.runTime, f.vm = 5*time.Second, "m1"
			}
			h.upstreams["w2"].vm = "m2"
			h.beatFor(heartbeatTime, "w1", "w2")
			h.submit(jobID(1), oneStep(6, 5000))
			h.beatFor(heartbeatTime, "w1", "w2")
			for range 3 {
				h.bogusBeat("w1", 1, func(u *pipelinev1.Upstream) { u.Id = "bogus"; edit(u) })
				h.beatFor(heartbeatTime, "w1", "w2")
			}
			h.beatFor(8*time.Second, "w1", "w2")
			h.checkAllDone(jobID(1))
		})
	}
}

// That nothing listens where a false incarnation is said to be does not show that the known one has ended.
func TestRefusedClaimantEndsNoRun(t *testing.T) {
	for _, leave := range []bool{false, true} {
		h := newHarness(t, "w1", "w2")
		for _, f := range h.upstreams {
			f.runTime = 5 * time.Second
		}
		h.submit(jobID(1), oneStep(6, 5000))
		h.beatFor(heartbeatTime, "w1", "w2")
		for range 3 {
			if leave {
				h.call(&pipelinev1.Call{Call: &pipelinev1.Call_Leave{Leave: &pipelinev1.LeaveCall{Upstream: "w1"}}})
			}
			h.bogusBeat("w1", 1, func(u *pipelinev1.Upstream) { u.Born, u.Address = bogusBorn, refusedAddress })
			h.bogusBeat("w1", 1, func(u *pipelinev1.Upstream) { u.Id, u.Born = "bogus", 20 })
			h.beatFor(heartbeatTime, "w1", "w2")
		}
		h.beatFor(8*time.Second, "w1", "w2")
		h.checkAllDone(jobID(1))
	}
}

// An upstream that has taken the place of another is used soon, although it is asked for first.
func TestUpstreamTakesThePlaceOfOneThatHasEnded(t *testing.T) {
	for _, answer := range []string{"other incarnation", "nothing listens"} {
		t.Run(answer, func(t *testing.T) {
			h := newHarness(t, "w1")
			old := h.upstreams["w1"]
			old.runTime = 5 * time.Second
			h.submit(jobID(1), oneStep(1, 5000))
			h.run(time.Second)
			old.crash()
			old.gone, old.replaced = answer == "nothing listens", answer == "other incarnation"
			h.upstreams["w9"] = newFakeUpstream(h, 20)
			h.bogusBeat("w9", 1, func(u *pipelinev1.Upstream) { u.Address = "w1" })
			h.upstreams["w9"].address = "w1"
			h.run(time.Second)
			h.beatFor(3*time.Second, "w9")
			if s := h.jobState(jobID(1)); s != pipeline.Completed || h.state.Upstreams()["w1"] != nil {
				t.Errorf("job %s, upstreams %v", s, h.state.Upstreams())
			}
		})
	}
}

// The number of an end that is far too high once had all later ends of the upstream ignored.
func TestBogusNumberOfAnEndHidesNoEnd(t *testing.T) {
	for _, number := range []int64{math.MaxInt64, 1 << 40, -1} {
		h := newHarness(t, "w1")
		f := h.upstreams["w1"]
		f.addRows = func(r *StatusReply) {
			r.Ended = append(r.Ended, EndedTask{Number: number, Kind: pipelinev1.EndKind_END_KIND_DONE})
		}
		h.submit(jobID(1), oneStep(2, 1000))
		h.run(time.Second)
		f.addRows = nil
		h.submit(jobID(2), oneStep(2, 1000))
		h.run(15 * time.Second)
		if got := h.state.Upstreams()["w1"].LastEnd; got > 10 {
			t.Errorf("the last end is %d", got)
		}
		h.checkAllDone(jobID(1), jobID(2))
	}
}

// Names and checkpoints of megabytes in an upstream's list once went into the log.
func TestLongTextsOfAnUpstreamStayOutOfTheLog(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	for name, add := range map[string]func(*StatusReply){
		"name of an ended task":       func(r *StatusReply) { r.Ended = append(r.Ended, EndedTask{Number: 1, Run: keyOf(long)}) },
		"checkpoint of an ended task": func(r *StatusReply) { r.Ended = append(r.Ended, EndedTask{Number: 1, Checkpoint: long}) },
		"checkpoint of a running task": func(r *StatusReply) {
			r.Running = append(r.Running, RunningTask{Run: keyOf(jobID(1)), Checkpoint: long})
		},
		"name of a task that no one is": func(r *StatusReply) { r.Running = append(r.Running, RunningTask{Run: keyOf(long)}) },
	} {
		h := newHarness(t, "w1", "w2")
		h.submit(jobID(1), oneStep(6, 1000))
		h.upstreams["w1"].addRows = add
		h.run(time.Second)
		h.upstreams["w1"].addRows = nil
		h.run(15 * time.Second)
		if h.largest > 2*maxCheckpointBytes {
			t.Errorf("%s: a command of %d bytes", name, h.largest)
		}
		h.check()
		if s := h.jobState(jobID(1)); s != pipeline.Completed {
			t.Errorf("%s: the job is %s", name, s)
		}
	}
}

// keyOf returns the first run of the first task of a job.
func keyOf(job string) pipeline.RunKey {
	return pipeline.RunKey{TaskKey: pipeline.TaskKey{Job: job}, Number: 1}
}

// An upstream that goes on listing an acknowledged end once got status requests in a loop.
func TestAcknowledgedEndThatIsListedAgain(t *testing.T) {
	h := newHarness(t, "w1")
	h.submit(jobID(1), oneStep(1, 1000))
	h.run(2 * time.Second)
	f := h.upstreams["w1"]
	var requests int
	f.addRows = func(r *StatusReply) {
		if requests++; requests > 1000 {
			t.Fatal("too many status requests")
		}
		r.Ended = append(r.Ended, EndedTask{Number: 1, Kind: pipelinev1.EndKind_END_KIND_DONE})
	}
	h.submit(jobID(2), oneStep(1, 1000))
	h.run(4 * time.Second)
	h.checkAllDone(jobID(1), jobID(2))
	if requests > 40 {
		t.Errorf("%d status requests in 4 s", requests)
	}
}

// Ends count in whatever order an answer lists them.
func TestEndsListedOutOfOrder(t *testing.T) {
	h := newHarness(t, "w1")
	f := h.upstreams["w1"]
	f.addRows = func(r *StatusReply) {
		for i, k := 0, len(r.Ended)-1; i < k; i, k = i+1, k-1 {
			r.Ended[i], r.Ended[k] = r.Ended[k], r.Ended[i]
		}
	}
	h.submit(jobID(1), oneStep(4, 1000))
	h.run(4 * time.Second)
	h.checkAllDone(jobID(1))
}

// With a clock near the largest number, the bound of an upstream's clock once overflowed, and the lease of an
// upstream that fell silent never ran out.
func TestBogusClockLeavesTheLeaseBounded(t *testing.T) {
	for _, bogus := range []int64{math.MaxInt64, math.MaxInt64 - 5000, 1 << 60, maxClockMS, maxClockMS + 1, 1 << 45, -1} {
		h := newHarness(t, "w1")
		h.upstreams["w1"].runTime = time.Minute
		h.submit(jobID(1), oneStep(1, 1000))
		h.run(2 * time.Second)
		h.upstreams["w1"].addRows = func(r *StatusReply) { r.ClockMS = bogus }
		h.run(2 * time.Second)
		h.upstreams["w1"].partitioned = true
		h.upstreams["w2"] = newFakeUpstream(h, 10)
		h.sendHeartbeat("w2")
		h.run(15 * time.Second)
		if s := h.jobState(jobID(1)); s != pipeline.Completed {
			t.Errorf("clock %d: the job is %s", bogus, s)
		}
		h.check()
	}
}

// A clock that has jumped ahead counts once it advances as a clock does.
func TestClockThatJumpsAheadCountsOnceItAdvances(t *testing.T) {
	for _, advances := range []bool{false, true} {
		var c upstreamClock
		c.observe(1000, 0)
		for at := time.Second; at < 20*time.Second; at += time.Second {
			ms := int64(1 << 40)
			if advances {
				ms += at.Milliseconds()
			}
			c.observe(ms, at)
		}
		if counts := c.ms > 1000; counts != advances {
			t.Errorf("advances %t: clock %d", advances, c.ms)
		}
	}
}

// An answer with very many runs that nobody ordered once kept the control goroutine busy for minutes: each was put in
// front of the queue of orders. The queue must stay short, and the work that was ordered must go on.
func TestAnswerWithManyUnknownRuns(t *testing.T) {
	h := newHarness(t, "w1", "w2")
	for _, f := range h.upstreams {
		f.runTime = 3 * time.Second
	}
	h.submit(jobID(1), oneStep(6, 3000))
	h.run(500 * time.Millisecond)
	h.upstreams["w1"].addRows = func(r *StatusReply) {
		for i := range 20_000 {
			r.Running = append(r.Running, RunningTask{Run: pipeline.RunKey{TaskKey: pipeline.TaskKey{Job: "bogus", Index: int32(i)}, Number: 1}})
		}
	}
	h.run(time.Second)
	h.upstreams["w1"].addRows = nil
	h.run(5 * time.Second)
	h.checkAllDone(jobID(1))
	if n := h.upstreams["w1"].longestQueue; n == 0 || n > maxQueuedStops {
		t.Errorf("%d orders were queued", n)
	}
}

// What an older version accepted stays readable: it is applied, put into a snapshot and restored.
func TestBogusUpstreamOfAnOldLog(t *testing.T) {
	huge := &pipelinev1.Resources{MilliCores: math.MaxInt64, MemoryMib: math.MaxInt64, Gpus: math.MinInt64}
	h := newHarness(t, "w1")
	for i, u := range []*pipelinev1.Upstream{nil, {}, {Id: "bogus", Born: math.MaxInt64, Capacity: huge}, {Id: "bogus", Born: math.MinInt64, Capacity: huge},
		{Id: "odd2", Service: "print", Address: "odd2", FailureDomain: "prado", Capacity: huge, Labels: make([]string, 100_000)}} {
		h.state.Apply(h.wall()+int64(i), &pipelinev1.Command{Command: &pipelinev1.Command_UpstreamSeen{UpstreamSeen: &pipelinev1.UpstreamSeen{Upstream: u}}})
	}
	h.submit(jobID(1), oneStep(2, 1000))
	h.run(3 * time.Second)
	restored := pipeline.New()
	for _, r := range h.state.Records() {
		data, err := proto.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		back := &pipelinev1.Record{}
		if err := proto.Unmarshal(data, back); err != nil {
			t.Fatal(err)
		}
		if err := restored.Restore(back); err != nil {
			t.Fatal(err)
		}
	}
	h.newLeader()
	h.submit(jobID(2), oneStep(2, 1000))
	h.run(8 * time.Second)
	h.checkAllDone(jobID(1), jobID(2))
}

// What an upstream says of itself is checked by the leader as well: another process may run an older version.
func TestLeaderRefusesBogusDescriptions(t *testing.T) {
	h := newHarness(t, "w1")
	for name, edit := range map[string]func(*pipelinev1.Upstream){
		"no identity": func(u *pipelinev1.Upstream) { u.Id = "" }, "no service": func(u *pipelinev1.Upstream) { u.Service = "" },
		"no domain": func(u *pipelinev1.Upstream) { u.FailureDomain = "" }, "no start": func(u *pipelinev1.Upstream) { u.Born = 0 },
		"negative cores": func(u *pipelinev1.Upstream) { u.Capacity.MilliCores = -1 }, "no capacity": func(u *pipelinev1.Upstream) { u.Capacity = nil },
		"huge memory": func(u *pipelinev1.Upstream) { u.Capacity.MemoryMib = math.MaxInt64 }, "huge GPUs": func(u *pipelinev1.Upstream) { u.Capacity.Gpus = math.MaxInt64 },
		"labels": func(u *pipelinev1.Upstream) { u.Labels = make([]string, 1000) }, "control character": func(u *pipelinev1.Upstream) { u.Id = "a\nb" },
	} {
		if r := h.bogusBeat("w1", 5, edit); r.GetVerdict() != pipelinev1.Verdict_VERDICT_INVALID {
			t.Errorf("%s: %v", name, r)
		}
	}
	if n := len(h.state.Upstreams()); n != 1 {
		t.Errorf("%d upstreams", n)
	}
}

// A heartbeat of another writer that says a sound upstream drains is refuted by the upstream's own, which go on; the upstream was
// out of use for good. One that says a draining upstream is ready changes nothing, as the upstream's own come between.
func TestFalseDrainIsRefuted(t *testing.T) {
	h := newHarness(t, "w1")
	sequence := int64(100)
	beat := func(draining bool) {
		sequence++
		u := h.upstreams["w1"].describe("w1")
		u.Draining = draining
		h.call(&pipelinev1.Call{Call: &pipelinev1.Call_Heartbeat{Heartbeat: &pipelinev1.HeartbeatCall{Upstream: u, Sequence: sequence}}})
	}
	beats := func(draining bool, times int) {
		for range times {
			h.run(1500 * time.Millisecond)
			beat(draining)
		}
	}
	beat(true)
	beats(false, 3)
	if !h.state.Upstreams()["w1"].GetDraining() {
		t.Error("the drain ended after three heartbeats")
	}
	h.newLeader()
	beats(false, 4)
	if h.state.Upstreams()["w1"].GetDraining() {
		t.Error("the false drain holds")
	}
	h.submit(jobID(1), oneStep(1, 1000))
	h.run(2 * time.Second)
	if s := h.jobState(jobID(1)); s != pipeline.Completed {
		t.Errorf("the job is %s", s)
	}
	beat(true)
	for range 6 {
		beats(false, 3)
		beat(true)
	}
	if !h.state.Upstreams()["w1"].GetDraining() {
		t.Error("false heartbeats between its own ended a true drain")
	}
}
