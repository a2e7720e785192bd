package control

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/state"
)

// processInfo is the last report of a process about itself.
type processInfo struct {
	revision   uint64
	ready      bool
	address    string
	reportedAt time.Duration
}

// processRetention is how long after its last report a process is listed in the status.
const processRetention = 30 * time.Second

// recordProcesses records what the sender of a View call reported about itself and about the
// processes that fetch their view through it.
func (c *Controller) recordProcesses(req *peerv1.ViewRequest, now time.Duration) {
	for _, p := range req.GetReports() {
		c.processes[p.GetProcess()] = processInfo{p.GetRevision(), p.GetReady(), p.GetAddress(), now}
	}
	c.processes[req.GetProcess()] = processInfo{req.GetKnownRevision(), req.GetReady(), req.GetAddress(), now}
}

// processStatus lists the processes that reported within processRetention.
func (c *Controller) processStatus() (out []*apiv1.ProcessStatus) {
	now := c.clock.Now()
	maps.DeleteFunc(c.processes, func(_ string, p processInfo) bool { return now-p.reportedAt > processRetention })
	for _, name := range slices.Sorted(maps.Keys(c.processes)) {
		p := c.processes[name]
		out = append(out, &apiv1.ProcessStatus{Name: name, Revision: p.revision, Ready: p.ready, Address: p.address})
	}
	return out
}

// viewWaiter is a View call that is held until the configuration changes.
type viewWaiter struct {
	// known is the revision that the caller has.
	known uint64
	// arrived is when the call arrived, until is when it is answered at the latest, both on the
	// controller's clock.
	arrived time.Duration
	until   time.Duration
	reply   func(*peerv1.ViewResponse, error)
}

// change serves an operator's change of the configuration or of the group's replicas.
func (c *Controller) change(k call, req *apiv1.ChangeRequest) {
	if req.GetReplica() != nil {
		c.changeReplica(k, req)
		return
	}
	c.proposeChange(k, req)
}

// proposeChange proposes a change; the state decides whether it is accepted.
func (c *Controller) proposeChange(k call, req *apiv1.ChangeRequest) {
	c.propose(&peerv1.Command{Command: &peerv1.Command_Change{Change: &peerv1.Change{KeySha256: k.key, Request: req, SeenRevision: k.seenRevision, StableIdentities: true}}},
		func(r state.Result, err error) { k.finish(r.Change, err) })
}

// status answers an operator with the current status of the cell.
func (c *Controller) status(k call, _ *apiv1.StatusRequest) {
	c.whenConfirmed(func(ok bool) {
		if !ok {
			k.finish(nil, ErrNotLeader)
			return
		}
		if refusal := c.state.AuthorizeOperator(k.key); refusal != nil {
			k.finish(nil, refusalError{refusal})
			return
		}
		k.finish(c.buildStatus(), nil)
	})
}

// buildStatus returns the status of the cell.
func (c *Controller) buildStatus() *apiv1.StatusResponse {
	out := &apiv1.StatusResponse{Revision: c.state.Revision(), Term: c.term, AppliedIndex: c.node.Applied()}
	for _, t := range sortedValues(c.state.Teams()) {
		out.Teams = append(out.Teams, &apiv1.TeamStatus{Team: t.Spec(), Used: t.Used.Proto(), WaitingTasks: t.Waiting, RunningTasks: t.Running})
	}
	out.Queues = sortedValues(c.state.Queues())
	for _, d := range sortedValues(c.state.Domains()) {
		out.FailureDomains = append(out.FailureDomains, d.Proto())
	}
	for _, u := range sortedValues(c.state.Upstreams()) {
		out.Upstreams = append(out.Upstreams, &apiv1.UpstreamStatus{Name: u.Name, Incarnation: u.Incarnation, FailureDomain: u.Domain,
			Rack: u.Rack, Vm: u.VM, Capacity: u.Capacity.Proto(), Used: u.Used.Proto(), State: string(u.State)})
	}
	for _, key := range sortedValues(c.state.Keys()) {
		out.Keys = append(out.Keys, &apiv1.KeyStatus{KeyId: key.ID, Team: key.Team, Role: key.Role, Withdrawn: key.Withdrawn})
	}
	for _, r := range c.node.Raft().Status() {
		role := "learner"
		if r.Member.Voter {
			role = "voter"
		}
		out.Replicas = append(out.Replicas, &apiv1.ReplicaStatus{ReplicaId: uint64(r.Member.ID), Address: r.Member.Address,
			FailureDomain: r.Member.Domain, Role: role, Match: r.Match, Leader: r.Member.ID == c.node.Raft().LeaderID()})
	}
	out.Processes = c.processStatus()
	return out
}

// sortedValues returns the values of a map in the order of their keys.
func sortedValues[K cmp.Ordered, V any](m map[K]V) []V {
	out := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}

// View answers with the configuration in force, confirmed by a quorum. While the caller
// already has its revision, the call is held until the configuration changes, for PollHold at
// most. The status is NOT_LEADER if this replica does not lead or its leadership ends meanwhile,
// and LOST if ctx or the node ends first. View is safe for concurrent use.
func (c *Controller) View(ctx context.Context, req *peerv1.ViewRequest) *peerv1.ViewResponse {
	done := make(chan *peerv1.ViewResponse, 1)
	answer := func(r *peerv1.ViewResponse, err error) {
		if err != nil {
			r = &peerv1.ViewResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_NOT_LEADER, LeaderAddress: c.leader.Address}
		}
		select {
		case done <- r:
		default:
		}
	}
	r, ok := onControl(ctx, c, done, func() {
		if !c.leading {
			answer(nil, ErrNotLeader)
			return
		}
		now := c.clock.Now()
		c.recordProcesses(req, now)
		v := &viewWaiter{known: req.GetKnownRevision(), arrived: now, until: now + c.cfg.PollHold, reply: answer}
		if v.known != c.state.Revision() {
			c.answerView(v)
			return
		}
		c.views = append(c.views, v)
	})
	if ok {
		return r
	}
	return &peerv1.ViewResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_LOST}
}

// answerAllViews answers every held View call.
func (c *Controller) answerAllViews() {
	views := c.views
	c.views = nil
	for _, v := range views {
		c.answerView(v)
	}
}

// answerExpiredViews answers the View calls that were held for PollHold.
func (c *Controller) answerExpiredViews(now time.Duration) {
	keep := c.views[:0]
	for _, v := range c.views {
		if now < v.until {
			keep = append(keep, v)
			continue
		}
		c.answerView(v)
	}
	c.views = keep
}

// answerView answers a View call once the leadership is confirmed. The answer includes how long
// the call was held.
func (c *Controller) answerView(v *viewWaiter) {
	held := c.clock.Now() - v.arrived
	c.whenConfirmed(func(ok bool) {
		if !ok {
			v.reply(nil, ErrNotLeader)
			return
		}
		view := c.buildView(v.known)
		view.HeldNs = int64(held)
		v.reply(view, nil)
	})
}

// buildView returns the members of the group, and the configuration unless the caller has it.
func (c *Controller) buildView(known uint64) *peerv1.ViewResponse {
	out := &peerv1.ViewResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_OK, Revision: c.state.Revision()}
	for _, m := range c.node.Raft().Members() {
		out.Members = append(out.Members, &peerv1.Member{Id: uint64(m.ID), Voter: m.Voter, Address: m.Address, FailureDomain: m.Domain})
	}
	if known == out.Revision {
		return out
	}
	for _, key := range sortedValues(c.state.Keys()) {
		out.Keys = append(out.Keys, key.Record())
	}
	out.Queues = sortedValues(c.state.Queues())
	for _, t := range sortedValues(c.state.Teams()) {
		out.Teams = append(out.Teams, t.Spec())
	}
	return out
}
