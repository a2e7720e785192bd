package control

import (
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/resource"
	"github.com/bulrushwinch/bulrushwinch/state"
	"github.com/pkg/errors"
)

// announce proposes a new incarnation of an upstream. Nothing is sent to the older one
// meanwhile, so that attempts it was never sent are known to be safe to place again.
func (c *Controller) announce(k call, req *apiv1.AnnounceRequest) {
	cmd := &peerv1.Announce{KeySha256: k.key, Request: req}
	s := c.sessions[req.GetUpstream()]
	if s != nil && s.incarnation < req.GetIncarnation() {
		c.reportCrash(s, cmd)
		s.replacing++
		cmd.NeverStarted = c.attemptsNeverSent(s)
	} else {
		s = nil
	}
	c.propose(&peerv1.Command{Command: &peerv1.Command_Announce{Announce: cmd}}, func(r state.Result, err error) {
		if s != nil {
			s.replacing--
		}
		k.finish(&apiv1.AnnounceResponse{Outcome: r.Announce, LeaseMs: c.cfg.Terms.Duration.Milliseconds(),
			PollIntervalMs: c.cfg.PollHold.Milliseconds()}, err)
	})
}

// poll serves the poll of an upstream with a valid key.
func (c *Controller) poll(k call, req *apiv1.PollRequest) {
	if refusal := c.state.AuthorizeUpstream(k.key); refusal != nil {
		k.finish(nil, refusalError{refusal})
		return
	}
	c.updateCapacity(k.key, req)
	c.handlePoll(req, func(r *apiv1.PollResponse, err error) {
		if errors.Is(err, errAnnounceAgain) {
			r, err = &apiv1.PollResponse{Sequence: req.GetSequence(), Term: c.term, AnnounceAgain: true}, nil
		}
		k.finish(r, err)
	})
}

// updateCapacity proposes a capacity that changed within an incarnation. Polls are numbered,
// so a delayed one can't restore an older capacity.
func (c *Controller) updateCapacity(key []byte, req *apiv1.PollRequest) {
	s, u := c.sessions[req.GetUpstream()], c.state.Upstream(req.GetUpstream())
	if req.GetCapacity() == nil || s == nil || s.incarnation != req.GetIncarnation() || req.GetSequence() <= s.highest ||
		u.Capacity == resource.FromProto(req.GetCapacity()) {
		return
	}
	c.propose(&peerv1.Command{Command: &peerv1.Command_Announce{Announce: &peerv1.Announce{KeySha256: key,
		Request: &apiv1.AnnounceRequest{Upstream: u.Name, Incarnation: u.Incarnation, FailureDomain: u.Domain, Rack: u.Rack,
			Vm: u.VM, Capacity: req.GetCapacity()}}}}, nil)
}
