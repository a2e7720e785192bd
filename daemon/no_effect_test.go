package daemon

import (
	"context"
	"testing"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/config"
	"github.com/bulrushwinch/bulrushwinch/entry"
	"github.com/bulrushwinch/bulrushwinch/lease"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// deadCell is an entry.Forwarder to replicas that lost power while a call was on its way, or that answer with a refusal.
type deadCell struct{ refusal *apiv1.Outcome }

func (c deadCell) Forward(context.Context, string, *peerv1.ForwardRequest) (*peerv1.ForwardResponse, bool, error) {
	if c.refusal != nil {
		return &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_REFUSED, Refusal: c.refusal}, true, nil
	}
	return nil, true, errors.New("connection reset")
}

// TestCallWithoutAnswer expects calls that get no answer to be undetermined only if they can have had an effect. A read
// was answered with 504 during an outage of all replicas, and so was a call that the leader had refused unread.
func TestCallWithoutAnswer(t *testing.T) {
	job := func(v pipelinev1.JobVerb) *pipelinev1.Call {
		return &pipelinev1.Call{Call: &pipelinev1.Call_Job{Job: &pipelinev1.JobCall{Verb: v}}}
	}
	notRun := deadCell{&apiv1.Outcome{Kind: apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN}}
	unknown := deadCell{&apiv1.Outcome{Kind: apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED}}
	for name, c := range map[string]struct {
		cell deadCell
		call *pipelinev1.Call
		want error
	}{
		"read of a job":                       {deadCell{}, job(pipelinev1.JobVerb_JOB_VERB_GET), entry.ErrNothingProposed},
		"poll for permit questions":           {deadCell{}, &pipelinev1.Call{Call: &pipelinev1.Call_PermitPoll{PermitPoll: &pipelinev1.PermitPoll{}}}, entry.ErrNothingProposed},
		"submission":                          {deadCell{}, job(pipelinev1.JobVerb_JOB_VERB_SUBMIT), entry.ErrUndetermined},
		"cancellation":                        {deadCell{}, job(pipelinev1.JobVerb_JOB_VERB_CANCEL), entry.ErrUndetermined},
		"submission, refused as not run":      {notRun, job(pipelinev1.JobVerb_JOB_VERB_SUBMIT), entry.ErrNothingProposed},
		"submission, refused as undetermined": {unknown, job(pipelinev1.JobVerb_JOB_VERB_SUBMIT), entry.ErrUndetermined},
	} {
		t.Run(name, func(t *testing.T) {
			inner := &Daemon{settings: &config.Settings{Name: "n"}, log: zerolog.Nop(), clock: lease.BootClock{}}
			inner.router = entry.NewRouter(c.cell, []string{"leader"})
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			if _, err := (&PushDaemon{Daemon: inner}).Call(ctx, c.call); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}
