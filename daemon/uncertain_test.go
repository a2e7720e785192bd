package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/config"
	"github.com/bulrushwinch/bulrushwinch/entry"
	"github.com/bulrushwinch/bulrushwinch/lease"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
)

// lossyLeader is an entry.Forwarder to a leader. The first attempt of a call gets no answer if lost is set, as if the
// leader had died after it had proposed the call; the next one is refused with a verdict.
type lossyLeader struct {
	lost    bool
	verdict pipelinev1.Verdict
}

// Forward implements entry.Forwarder.
func (l *lossyLeader) Forward(context.Context, string, *peerv1.ForwardRequest) (*peerv1.ForwardResponse, bool, error) {
	if l.lost {
		l.lost = false
		return nil, true, errors.New("the leader was killed")
	}
	payload, err := proto.Marshal(&pipelinev1.Reply{Verdict: l.verdict, Detail: "why"})
	return &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_OK, Payload: payload}, true, err
}

// TestRefusalAfterAnAttemptOfUnknownOutcome expects a refusal to be passed on only if no attempt of the call can have
// had an effect: a caller was told that its key is unknown, and its job ran.
func TestRefusalAfterAnAttemptOfUnknownOutcome(t *testing.T) {
	job := func(v pipelinev1.JobVerb) *pipelinev1.Call {
		return &pipelinev1.Call{Call: &pipelinev1.Call_Job{Job: &pipelinev1.JobCall{Verb: v}}}
	}
	submit, get, cancel := job(pipelinev1.JobVerb_JOB_VERB_SUBMIT), job(pipelinev1.JobVerb_JOB_VERB_GET), job(pipelinev1.JobVerb_JOB_VERB_CANCEL)
	putConfig := &pipelinev1.Call{Call: &pipelinev1.Call_PutConfig{PutConfig: &pipelinev1.PutConfigCall{}}}
	putWave := &pipelinev1.Call{Call: &pipelinev1.Call_PutWave{PutWave: &pipelinev1.Wave{}}}
	heartbeat := &pipelinev1.Call{Call: &pipelinev1.Call_Heartbeat{Heartbeat: &pipelinev1.HeartbeatCall{}}}
	getConfig := &pipelinev1.Call{Call: &pipelinev1.Call_GetConfig{GetConfig: &pipelinev1.GetConfigCall{}}}
	getWave := &pipelinev1.Call{Call: &pipelinev1.Call_GetWave{GetWave: &pipelinev1.GetWaveCall{}}}
	for _, c := range []struct {
		name    string
		call    *pipelinev1.Call
		verdict pipelinev1.Verdict
		certain bool
	}{
		{"submission, key unknown", submit, pipelinev1.Verdict_VERDICT_UNKNOWN_KEY, false},
		{"submission, queue removed", submit, pipelinev1.Verdict_VERDICT_NO_QUEUE, false},
		{"submission, over the limit", submit, pipelinev1.Verdict_VERDICT_OVER_LIMIT, false},
		{"submission, cell full", submit, pipelinev1.Verdict_VERDICT_NOT_NOW, false},
		{"submission, the path names another queue by now", submit, pipelinev1.Verdict_VERDICT_CONFLICT, false},
		{"submission, the path names another identity by now", submit, pipelinev1.Verdict_VERDICT_INVALID, false},
		{"cancellation, key unknown", cancel, pipelinev1.Verdict_VERDICT_UNKNOWN_KEY, false},
		{"cancellation, queue removed", cancel, pipelinev1.Verdict_VERDICT_NO_QUEUE, false},
		{"cancellation, no such job", cancel, pipelinev1.Verdict_VERDICT_NO_JOB, true},
		{"configuration, invalid", putConfig, pipelinev1.Verdict_VERDICT_INVALID, false},
		{"configuration, too few voters", putConfig, pipelinev1.Verdict_VERDICT_NOT_NOW, false},
		{"wave, another one has the number", putWave, pipelinev1.Verdict_VERDICT_CONFLICT, false},
		{"heartbeat, invalid", heartbeat, pipelinev1.Verdict_VERDICT_INVALID, false},
		{"read of a job, key unknown", get, pipelinev1.Verdict_VERDICT_UNKNOWN_KEY, true},
		{"read of a job, no such job", get, pipelinev1.Verdict_VERDICT_NO_JOB, true},
		{"read of the configuration, none", getConfig, pipelinev1.Verdict_VERDICT_NOT_NOW, true},
		{"read of a wave, none", getWave, pipelinev1.Verdict_VERDICT_NO_WAVE, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, lost := range []bool{false, true} {
				inner := &Daemon{settings: &config.Settings{Name: "n"}, log: zerolog.Nop(), clock: lease.BootClock{}}
				inner.router = entry.NewRouter(&lossyLeader{lost, c.verdict}, []string{"leader"})
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				r, err := (&PushDaemon{Daemon: inner}).Call(ctx, c.call)
				cancel()
				if passed := err == nil && r.GetVerdict() == c.verdict; passed != (c.certain || !lost) {
					t.Errorf("after a lost attempt %t: %v, %v", lost, r, err)
				}
				if err != nil && !errors.Is(err, entry.ErrUndetermined) {
					t.Errorf("after a lost attempt %t: %v", lost, err)
				}
			}
		})
	}
}
