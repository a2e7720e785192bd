package control

import (
	"context"
	"time"

	"github.com/bulrushwinch/bulrushwinch/lease"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/bulrushwinch/bulrushwinch/state"
)

// Engine is the leader's work on pipelines, which are jobs whose tasks form steps. All
// methods run on the control goroutine.
type Engine interface {
	// Lead begins a leadership of the given raft term.
	Lead(term uint64)
	// Reset ends a leadership: calls that wait for it are answered with an error.
	Reset()
	// Tick is called once per tick interval with the time of the controller's clock.
	Tick(now time.Duration)
	// Flush is called before queued commands are proposed.
	Flush()
	// Handle serves a forwarded call and calls finish once, immediately or later, or not at all if MayPropose does
	// not allow what the call needs.
	Handle(ctx context.Context, c *pipelinev1.Call, finish func(*pipelinev1.Reply, error))
}

// SetEngine sets the engine; it must be called before the node runs.
func (c *Controller) SetEngine(e Engine) { c.engine = e }

// Propose adds a command on pipelines to the next log entry and calls done with its result,
// or with an error: replica.ErrLost if the command may or may not be committed, any other if it
// was not proposed. done may be nil.
func (c *Controller) Propose(cmd *pipelinev1.Command, done func(*pipeline.Result, error)) {
	c.propose(&peerv1.Command{Command: &peerv1.Command_Pipeline{Pipeline: cmd}}, func(r state.Result, err error) {
		if done != nil {
			done(r.Pipeline, err)
		}
	})
}

// ConfirmLeadership calls f(true) once a quorum has confirmed, after this call, that this replica
// still leads, and f(false) if the leadership ends first.
func (c *Controller) ConfirmLeadership(f func(ok bool)) { c.whenConfirmed(f) }

// Voters returns the number of voters in the group; 0 unless this replica leads.
func (c *Controller) Voters() int { return len(c.membership().voters()) }

// Async runs work in a new goroutine, and then the function that work returns on the control
// goroutine. That function does not run if the node has stopped by then. Async is safe for
// concurrent use.
func (c *Controller) Async(work func() func()) {
	go func() {
		done := work()
		_ = c.node.Post(context.Background(), done)
	}()
}

// KnowsUpstream reports whether this replica follows and its log already has the reported
// description of an upstream, unchanged. It is safe for concurrent use.
func (c *Controller) KnowsUpstream(ctx context.Context, reported *pipelinev1.Upstream) bool {
	answer := make(chan bool, 1)
	err := c.node.Post(ctx, func() {
		u := c.state.Pipelines().Upstreams()[reported.GetId()]
		answer <- !c.leading && u != nil && pipeline.SameUpstream(u.Upstream, reported)
	})
	if err != nil {
		return false
	}
	select {
	case known := <-answer:
		return known
	case <-ctx.Done():
	case <-c.node.Done():
	}
	return false
}

// Clock returns the controller's clock.
func (c *Controller) Clock() lease.Clock { return c.clock }

// WallNS returns the Unix time in nanoseconds that the next log entry would carry. It never
// decreases, even if the system clock is set back.
func (c *Controller) WallNS() int64 { return max(time.Now().UnixNano(), c.state.Now().UnixNano()) }

// Pipelines returns the replicated state of pipelines.
func (c *Controller) Pipelines() *pipeline.State { return c.state.Pipelines() }

// pipelineCall passes a forwarded call to the engine.
func (c *Controller) pipelineCall(k call, m *pipelinev1.Call) {
	if c.engine == nil {
		k.finish(nil, notFound("this process serves no jobs of steps"))
		return
	}
	if !isSubmission(m) && !MayPropose(k.ctx) {
		return
	}
	c.engine.Handle(k.ctx, m, func(r *pipelinev1.Reply, err error) {
		if err != nil {
			k.finish(nil, err)
			return
		}
		k.finish(r, nil)
	})
}

// isSubmission reports whether a call submits a job. An engine may keep a submission waiting before it proposes it.
func isSubmission(m *pipelinev1.Call) bool {
	return m.GetJob().GetVerb() == pipelinev1.JobVerb_JOB_VERB_SUBMIT
}

// relayReplyAge is the time since a replica's last answer to the leader, in ticks, up to which it
// counts as able to relay calls. Heartbeats are sent every other tick.
const relayReplyAge = 6

// Relay is another replica that can carry calls of the leader.
type Relay struct {
	// Address is its peer address, FailureDomain the failure domain of its VM.
	Address, FailureDomain string
}

// Relays returns the other replicas that have answered this leader within relayReplyAge ticks.
func (c *Controller) Relays() []Relay {
	var out []Relay
	for _, r := range c.node.Raft().Status() {
		if r.Member.ID != c.node.Raft().LeaderID() && r.TicksSinceReply <= relayReplyAge {
			out = append(out, Relay{Address: r.Member.Address, FailureDomain: r.Member.Domain})
		}
	}
	return out
}

// ReplicaAddresses returns the peer addresses of the group's members.
func (c *Controller) ReplicaAddresses() []string {
	var out []string
	for _, m := range c.node.Raft().Members() {
		out = append(out, m.Address)
	}
	return out
}
