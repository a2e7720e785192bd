package pipeline

import (
	"testing"
	"time"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"google.golang.org/protobuf/proto"
)

const (
	crashed = pipelinev1.EndKind_END_KIND_CRASHED
	expired = pipelinev1.EndKind_END_KIND_EXPIRED
)

// crash ends a run by a crash of its upstream.
func (h *harness) crash(r *pipelinev1.Run, early bool) {
	h.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Ends{Ends: &pipelinev1.Ends{Ends: []*pipelinev1.End{{Run: r, Kind: crashed, Early: early}}}}})
}

// seen records a description of an upstream.
func (h *harness) seen(u *pipelinev1.Upstream, alive bool) {
	h.apply(&pipelinev1.Command{Command: &pipelinev1.Command_UpstreamSeen{UpstreamSeen: &pipelinev1.UpstreamSeen{Upstream: u, Alive: alive}}})
}

// Ends that older versions recorded as lost count nothing, as before.
func TestCrashesGiveATaskUp(t *testing.T) {
	tests := map[string]struct {
		end   func(h *harness, r *pipelinev1.Run, n int32)
		after int32
	}{
		"crashes":       {func(h *harness, r *pipelinev1.Run, _ int32) { h.crash(r, false) }, 4},
		"early crashes": {func(h *harness, r *pipelinev1.Run, _ int32) { h.crash(r, true) }, 2},
		"one early":     {func(h *harness, r *pipelinev1.Run, n int32) { h.crash(r, n == 1) }, 3},
		"lost":          {func(h *harness, r *pipelinev1.Run, _ int32) { h.end(r, lost, 0) }, 0},
		"long after the start": {func(h *harness, r *pipelinev1.Run, _ int32) {
			h.now += int64(crashWindow)
			h.crash(r, false)
		}, 0},
	}
	for _, lasting := range []bool{false, true} {
		for name, test := range tests {
			if lasting && test.after > 0 {
				test.after = maxCrashes
			}
			h := newHarness(t)
			st := step(2, 1)
			st.Lasting = lasting
			h.submit("j", st)
			for n := int32(1); n <= 10; n++ {
				if test.after > 0 && n > test.after {
					break
				}
				if h.Job("j").State == Failed {
					t.Errorf("%s, lasting %v: failed after %d crashes", name, lasting, n-1)
				}
				h.mustPlace(run("j", 0, 0, n, "w1"))
				test.end(h, run("j", 0, 0, n, "w1"), n)
			}
			if got := h.Job("j").State == Failed; got != (test.after > 0) {
				t.Errorf("%s, lasting %v: failed %v in the end", name, lasting, got)
			}
		}
	}
}

// A lasting task was once given up for crashes between which it had worked for hours.
func TestCrashesBeforeALongRunCountNoMore(t *testing.T) {
	for name, gap := range map[string]int64{"long": int64(time.Hour), "short": int64(time.Second)} {
		h := newHarness(t)
		st := step(1, 1)
		st.Lasting = true
		h.submit("j", st)
		for n := int32(1); n <= 3*maxCrashes && h.Job("j").State != Failed; n += 2 {
			h.mustPlace(run("j", 0, 0, n, "w1"))
			h.crash(run("j", 0, 0, n, "w1"), true)
			if h.Job("j").State != Failed {
				h.mustPlace(run("j", 0, 0, n+1, "w1"))
				h.now += gap
				h.end(run("j", 0, 0, n+1, "w1"), pipelinev1.EndKind_END_KIND_STOPPED, int64(n))
			}
		}
		if got := h.Job("j").State == Failed; got != (name == "short") {
			t.Errorf("%s runs between crashes: failed %v", name, got)
		}
	}
}

// expireFour runs a task four times, thrice on w1 and once on w2, until the lease expires.
func expireFour(t *testing.T) *harness {
	h := newHarness(t)
	h.submit("j", step(1, 1))
	for n, id := range []string{"w1", "w2", "w1", "w1"} {
		h.mustPlace(run("j", 0, 0, int32(n+1), id))
		h.end(run("j", 0, 0, int32(n+1), id), expired, 0)
	}
	return h
}

// A task waits while four upstreams may have crashed under it, until it is known whether they did.
func TestTaskOfUnknownFateWaits(t *testing.T) {
	reborn, draining := newHarness(t).upstream("w1", 11), newHarness(t).upstream("w1", 10)
	draining.Draining = true
	tests := map[string]struct {
		command func(h *harness)
		crashes int32
	}{
		"answered":  {func(h *harness) { h.seen(h.upstream("w1", 10), true) }, 0},
		"restarted": {func(h *harness) { h.seen(reborn, false) }, 3},
		"drained, then ended": {func(h *harness) {
			h.seen(draining, false)
			h.seen(reborn, false)
		}, 0},
		"removed": {func(h *harness) { h.gone("w1", true) }, 3},
		"left":    {func(h *harness) { h.gone("w1", false) }, 0},
	}
	for name, test := range tests {
		h := expireFour(t)
		if got := h.place(run("j", 0, 0, 5, "w2")); len(got.Refused) != 1 || got.Refused[0].Reason != PlaceHeld {
			t.Errorf("placed while four upstreams may have crashed: %v", got.Refused)
		}
		test.command(h)
		task := h.Job("j").Occurrences[0].Steps[0].Tasks[0]
		if task.Crashes != test.crashes || len(task.Expired) != 1 {
			t.Errorf("%s: %d crashes, %d of unknown fate; expected %d and one", name, task.Crashes, len(task.Expired), test.crashes)
		}
		if held := task.Held(); held != (test.crashes == 3) {
			t.Errorf("%s: held %v", name, held)
		}
		h.seen(h.upstream("w2", 11), false)
		if got := h.Job("j").State == Failed; got != (test.crashes == 3) {
			t.Errorf("%s: failed %v after the restart of w2", name, got)
		}
	}
}

// An answer undoes neither a change of the upstream's description nor its removal that were committed
// meanwhile.
func TestAnswerAfterTheLeaseEndedUndoesADrain(t *testing.T) {
	h := newHarness(t)
	draining := h.upstream("w1", 10)
	draining.Draining = true
	h.seen(draining, false)
	h.seen(h.upstream("w1", 10), true)
	if !h.Upstreams()["w1"].GetDraining() {
		t.Error("the upstream drains no more")
	}
	h.gone("w1", true)
	h.seen(h.upstream("w1", 10), true)
	if h.Upstreams()["w1"] != nil {
		t.Error("the upstream that was removed is there")
	}
}

func (h *harness) gone(id string, crashed bool) {
	h.apply(&pipelinev1.Command{Command: &pipelinev1.Command_UpstreamGone{UpstreamGone: &pipelinev1.UpstreamGone{Id: id, Born: 10, Crashed: crashed}}})
}

func TestSnapshotKeepsCrashes(t *testing.T) {
	h := newHarness(t)
	h.submit("j", step(2, 1))
	h.mustPlace(run("j", 0, 0, 1, "w1"), run("j", 0, 1, 1, "w2"))
	h.crash(run("j", 0, 0, 1, "w1"), true)
	h.end(run("j", 0, 1, 1, "w2"), expired, 0)
	restored := &harness{State: New(), t: t, now: h.now}
	restored.Reset()
	for _, r := range h.Records() {
		if err := restored.Restore(proto.CloneOf(r)); err != nil {
			t.Fatal(err)
		}
	}
	restored.seen(h.upstream("w2", 11), false)
	tasks := restored.Job("j").Occurrences[0].Steps[0].Tasks
	if tasks[0].Crashes != 1 || tasks[0].EarlyCrashes != 1 || tasks[1].Crashes != 1 || tasks[1].EarlyCrashes != 0 {
		t.Errorf("restored %+v and %+v", tasks[0], tasks[1])
	}
}
