package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/entry"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/bulrushwinch/bulrushwinch/retry"
)

const (
	pollBackoffMin = 30 * time.Millisecond
	pollBackoffMax = 100 * time.Millisecond
	// permitQuestionTimeout bounds one question to the permit service; the costliest takes 0.7 s
	// when the service is idle.
	permitQuestionTimeout = 2500 * time.Millisecond
	// permitRetryDelay is the pause after a question that failed, as the service may have been at
	// capacity.
	permitRetryDelay = 50 * time.Millisecond
)

// pollPermits polls the leader for permit questions, asks the permit service and returns the
// answer with the next poll, until ctx ends. The polls also maintain this process's contact with
// the leader.
func (c *PushDaemon) pollPermits(ctx context.Context) error {
	backoff := retry.Backoff{Min: pollBackoffMin, Max: pollBackoffMax}
	var answer *pipelinev1.PermitAnswer
	var known []string
	answeredAt := time.Now()
	connected := false
	for ctx.Err() == nil {
		if answer != nil {
			answer.AgeUs = time.Since(answeredAt).Microseconds()
		}
		reply, err := c.pollOnce(ctx, answer)
		answer = nil
		if (err == nil) != connected {
			connected = err == nil
			c.log.Info().Bool("connected", connected).Err(err).Msg("contact with the leader changed")
		}
		if err != nil {
			_ = retry.Sleep(ctx, backoff.Next())
			continue
		}
		backoff.Reset()
		if list := reply.GetReplicas(); len(list) > 0 && !slices.Equal(list, known) {
			known = list
			c.updateReplicas(list)
		}
		if q := reply.GetQuestion(); q != nil {
			answer = c.askPermitService(ctx, q)
			answeredAt = time.Now()
		}
	}
	return nil
}

func (c *PushDaemon) pollOnce(ctx context.Context, answer *pipelinev1.PermitAnswer) (*pipelinev1.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, permitPollTimeout)
	defer cancel()
	return c.callWithin(ctx, &pipelinev1.Call{Call: &pipelinev1.Call_PermitPoll{
		PermitPoll: &pipelinev1.PermitPoll{Process: c.settings.Name, Answer: answer, CanAsk: c.permits != nil}}}, entry.Bounds{Attempt: permitPollTimeout})
}

// askPermitService asks the permit service one question.
func (c *PushDaemon) askPermitService(ctx context.Context, q *pipelinev1.PermitQuestion) (out *pipelinev1.PermitAnswer) {
	defer c.contain.Recover("a permit question", func() { out = &pipelinev1.PermitAnswer{Id: q.GetId()} })
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, permitQuestionTimeout)
	defer cancel()
	permits, valid, err := c.permits.Ask(ctx, q)
	out = &pipelinev1.PermitAnswer{Id: q.GetId(), Answered: err == nil, Permits: permits, ValidMs: valid.Milliseconds(),
		TookUs: time.Since(began).Microseconds()}
	if err != nil {
		c.log.Info().Err(err).Str("request", q.GetStep().GetJob()).Int32("step", q.GetStep().GetStep()).Int("upstreams", len(q.GetUpstreams())).
			Dur("took", time.Since(began)).Msg("permit question failed")
		_ = retry.Sleep(ctx, permitRetryDelay)
	}
	return out
}
