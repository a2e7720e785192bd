package dispatch

import (
	"testing"
	"time"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// startHeartbeat sends a heartbeat and does not wait for the answer.
func (h *harness) startHeartbeat(id string, sequence int64, draining bool) *callReply {
	desc := h.upstreams[id].describe(id)
	desc.Draining = draining
	return h.start(&pipelinev1.Call{Call: &pipelinev1.Call_Heartbeat{Heartbeat: &pipelinev1.HeartbeatCall{Upstream: desc, Sequence: sequence}}})
}

// newUncommittedUpstream returns a harness with an upstream whose first heartbeat waits for its commit.
func newUncommittedUpstream(t *testing.T, sequence int64, draining bool) (*harness, *callReply) {
	h := newHarness(t)
	h.upstreams["w1"] = newFakeUpstream(h, 10)
	h.holdCommits = true
	first := h.startHeartbeat("w1", sequence, draining)
	h.drain()
	return h, first
}

// A heartbeat that overtakes the commit of a newer one does not make a draining upstream available again.
func TestOlderHeartbeatBeforeRegistrationIsCommitted(t *testing.T) {
	h, newer := newUncommittedUpstream(t, 2, true)
	older := h.startHeartbeat("w1", 1, false)
	h.commit()
	h.run(time.Second)
	if newer.GetVerdict() != pipelinev1.Verdict_VERDICT_OK || older.GetVerdict() != pipelinev1.Verdict_VERDICT_OK {
		t.Errorf("answers %v and %v", newer, older)
	}
	if u := h.state.Upstreams()["w1"]; !u.GetDraining() {
		t.Error("the upstream takes work though it has said that it drains")
	}
}

// A leave notice that overtakes the commit of the upstream's first heartbeat is heeded.
func TestLeaveBeforeRegistrationIsCommitted(t *testing.T) {
	h, first := newUncommittedUpstream(t, 1, false)
	left := h.start(&pipelinev1.Call{Call: &pipelinev1.Call_Leave{Leave: &pipelinev1.LeaveCall{Upstream: "w1"}}})
	h.commit()
	if first.GetVerdict() != pipelinev1.Verdict_VERDICT_OK || left.GetVerdict() != pipelinev1.Verdict_VERDICT_OK {
		t.Errorf("answers %v and %v", first, left)
	}
	if s := h.engine.sessions["w1"]; s == nil || !s.leaveAnnounced {
		t.Error("the notice is forgotten")
	}
}
