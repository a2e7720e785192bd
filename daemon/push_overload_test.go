package daemon

import (
	"context"
	"testing"

	"github.com/bulrushwinch/bulrushwinch/config"
	"github.com/bulrushwinch/bulrushwinch/entry"
	"github.com/bulrushwinch/bulrushwinch/lease"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/rs/zerolog"
)

// stuckLeader is an entry.Forwarder whose answers wait until it is released.
type stuckLeader struct{ arrived, release chan struct{} }

// Forward implements entry.Forwarder.
func (l stuckLeader) Forward(context.Context, string, *peerv1.ForwardRequest) (*peerv1.ForwardResponse, bool, error) {
	l.arrived <- struct{}{}
	<-l.release
	return &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_OK}, true, nil
}

// More submissions than the process may have in flight wait for a slow leader: the next one is refused at once, as it
// was not forwarded, and a cancellation, an operator's call and an upstream's heartbeat still are.
func TestOverloadedEntryRefusesSubmissionsBeforeForwarding(t *testing.T) {
	const calls = 10
	leader := stuckLeader{make(chan struct{}, 100), make(chan struct{})}
	inner := &Daemon{settings: &config.Settings{Name: "n"}, log: zerolog.Nop(), clock: lease.BootClock{}}
	inner.router = entry.NewRouter(leader, []string{"leader"})
	d := &PushDaemon{Daemon: inner, inFlight: entry.NewInFlight(calls, 1<<20)}
	job := func(v pipelinev1.JobVerb) *pipelinev1.Call {
		return &pipelinev1.Call{Call: &pipelinev1.Call_Job{Job: &pipelinev1.JobCall{Verb: v}}}
	}
	submit := job(pipelinev1.JobVerb_JOB_VERB_SUBMIT)
	begin := func(c *pipelinev1.Call) {
		go func() { _, _ = d.Call(t.Context(), c) }()
	}
	// One call finds the leader first; the others then go there at once.
	warm := make(chan struct{})
	go func() {
		defer close(warm)
		_, _ = d.Call(t.Context(), submit)
	}()
	<-leader.arrived
	leader.release <- struct{}{}
	<-warm
	for range calls * 7 / 10 {
		begin(submit)
		<-leader.arrived
	}
	r, err := d.Call(t.Context(), submit)
	if err != nil || r.GetVerdict() != pipelinev1.Verdict_VERDICT_NOT_NOW || r.GetRetryAfterMs() == 0 || len(leader.arrived) > 0 {
		t.Errorf("a submission above the bound: %v, %v", r, err)
	}
	for _, c := range []*pipelinev1.Call{job(pipelinev1.JobVerb_JOB_VERB_CANCEL), job(pipelinev1.JobVerb_JOB_VERB_GET),
		{Call: &pipelinev1.Call_PutWave{PutWave: &pipelinev1.Wave{}}}, {Call: &pipelinev1.Call_Heartbeat{Heartbeat: &pipelinev1.HeartbeatCall{}}}} {
		begin(c)
		<-leader.arrived
	}
	close(leader.release)
}
