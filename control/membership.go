package control

import (
	"context"
	"slices"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/retry"
	"github.com/bulrushwinch/bulrushwinch/state"
	"github.com/pkg/errors"
)

const (
	// membershipInterval is the time between checks of the group's members.
	membershipInterval = 500 * time.Millisecond
	// membershipStep is the time until the next check while a change is under way. A replacement takes
	// two changes, and the group bears less between them.
	membershipStep = 100 * time.Millisecond
	// joinCheckInterval is the time between checks whether a join is committed.
	joinCheckInterval = 50 * time.Millisecond
	// replicaChangeTimeout bounds how long an accepted replica change is retried.
	replicaChangeTimeout = 2 * time.Minute
)

// membership returns the leader's current view of the group.
func (c *Controller) membership() *membership {
	core := c.node.Raft()
	return &membership{policy: c.cfg.Membership, self: core.LeaderID(), committed: core.Committed(), replicas: core.Status()}
}

// maintainMembers makes at most one change to the group: one that an operator asked for, or
// else one that the policy calls for.
func (c *Controller) maintainMembers(now time.Duration) {
	c.timers.set(&c.memberTimer, now+membershipInterval)
	core := c.node.Raft()
	if !core.MembersCommitted() {
		c.timers.set(&c.memberTimer, now+membershipStep)
		return
	}
	m := c.membership()
	if c.advanceReplicaChange(m) {
		return
	}
	change := m.plan()
	if change == nil {
		return
	}
	if _, err := core.ProposeMembers(m.changed(change.id, change.action)); err == nil {
		c.timers.set(&c.memberTimer, now+membershipStep)
		c.event(&apiv1.Event{Kind: "membership", Detail: change.reason})
	}
}

// advanceReplicaChange makes the next step of the oldest accepted replica change and reports
// whether it did anything.
func (c *Controller) advanceReplicaChange(m *membership) bool {
	list := c.state.PendingReplicaChanges()
	if len(list) == 0 {
		return false
	}
	pending := list[0]
	if m.reached(pending) {
		c.finishReplicaChange(pending, "done")
		return true
	}
	err := c.tryReplicaChange(m, pending)
	if err != nil && c.state.Now().UnixNano()-pending.DecidedNS > int64(replicaChangeTimeout) {
		c.finishReplicaChange(pending, "given up: "+err.Error())
		return true
	}
	return err == nil
}

// finishReplicaChange proposes to remove a replica change that succeeded or timed out.
func (c *Controller) finishReplicaChange(pending state.PendingReplicaChange, detail string) {
	c.event(&apiv1.Event{Kind: "replica-change", Detail: pending.OperationID + ": " + detail})
	c.propose(&peerv1.Command{Command: &peerv1.Command_ReplicaChangeDone{
		ReplicaChangeDone: &peerv1.ReplicaChangeDone{OperationId: pending.OperationID}}}, nil)
}

// tryReplicaChange starts a replica change, or returns why the group can't make it now.
func (c *Controller) tryReplicaChange(m *membership, pending state.PendingReplicaChange) error {
	if err := m.check(raft.ID(pending.Replica), pending.Action); err != nil {
		return err
	}
	if pending.Action == apiv1.ReplicaAction_REPLICA_ACTION_TRANSFER_LEADERSHIP {
		return c.node.Raft().TransferLeadership(raft.ID(pending.Replica))
	}
	_, err := c.node.Raft().ProposeMembers(m.changed(raft.ID(pending.Replica), actionOf(pending.Action)))
	return err
}

// actionOf returns the change of a member that an operator's promotion or removal asks for. It
// must not be called for a transfer of the leadership.
func actionOf(a apiv1.ReplicaAction) memberAction {
	if a == apiv1.ReplicaAction_REPLICA_ACTION_PROMOTE {
		return promote
	}
	return remove
}

// find returns the status of a member, and whether it is one.
func (m *membership) find(id raft.ID) (raft.ReplicaStatus, bool) {
	i := slices.IndexFunc(m.replicas, func(r raft.ReplicaStatus) bool { return r.Member.ID == id })
	if i < 0 {
		return raft.ReplicaStatus{}, false
	}
	return m.replicas[i], true
}

// reached reports whether the group already is in the state that an operator asked for.
func (m *membership) reached(pending state.PendingReplicaChange) bool {
	r, known := m.find(raft.ID(pending.Replica))
	switch pending.Action {
	case apiv1.ReplicaAction_REPLICA_ACTION_REMOVE:
		return !known
	case apiv1.ReplicaAction_REPLICA_ACTION_PROMOTE:
		return known && r.Member.Voter
	case apiv1.ReplicaAction_REPLICA_ACTION_TRANSFER_LEADERSHIP:
		return m.self == raft.ID(pending.Replica)
	}
	return true
}

// check returns why the group can't make an operator's change now, or nil.
func (m *membership) check(id raft.ID, action apiv1.ReplicaAction) error {
	r, known := m.find(id)
	switch {
	case action == apiv1.ReplicaAction_REPLICA_ACTION_REMOVE && !known:
		return nil
	case !known:
		return errors.Errorf("replica %d is not a member", id)
	case !m.live(r) && action != apiv1.ReplicaAction_REPLICA_ACTION_REMOVE:
		return errors.Errorf("replica %d is silent", id)
	case action == apiv1.ReplicaAction_REPLICA_ACTION_TRANSFER_LEADERSHIP && !r.Member.Voter:
		return errors.Errorf("replica %d is not a voter", id)
	case action == apiv1.ReplicaAction_REPLICA_ACTION_TRANSFER_LEADERSHIP || r.Member.Voter && action == apiv1.ReplicaAction_REPLICA_ACTION_PROMOTE:
		return nil
	case action == apiv1.ReplicaAction_REPLICA_ACTION_PROMOTE && len(m.voters()) >= m.policy.Voters:
		return errors.Errorf("the group has its %d voters; remove one first", m.policy.Voters)
	case !m.safe(id, actionOf(action)):
		return errors.New("fewer live voters than a quorum would be left")
	}
	return nil
}

// changeReplica accepts an operator's change of the group, once per operation. It is
// recorded in the log first, so that a resend gets the first answer and a new leader
// completes it; a change that the group can't make is refused without a record.
func (c *Controller) changeReplica(k call, req *apiv1.ChangeRequest) {
	r := req.GetReplica()
	if c.state.AuthorizeOperator(k.key) == nil && !c.state.HasOperation(req.GetOperationId()) {
		if err := c.membership().check(raft.ID(r.GetReplicaId()), r.GetAction()); err != nil {
			k.finish(&apiv1.ChangeResponse{Revision: c.state.Revision(), Outcome: &apiv1.Outcome{
				Kind: apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN, Reason: apiv1.Reason_REASON_BAD_REQUEST, Detail: err.Error()}}, nil)
			return
		}
	}
	c.proposeChange(k, req)
}

// Join adds the replica of a data folder to the group as a learner, or updates a member's
// address. It answers OK once the change is committed, REFUSED for a folder that belongs to
// another group, NOT_LEADER, or LOST if ctx or the node ends first. It is idempotent and
// safe for concurrent use.
func (c *Controller) Join(ctx context.Context, req *peerv1.JoinRequest, group uint64) *peerv1.JoinResponse {
	if req.GetGroup() != 0 && req.GetGroup() != group {
		return &peerv1.JoinResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_REFUSED}
	}
	for {
		if r := c.tryJoin(ctx, req, group); r != nil {
			return r
		}
		if retry.Sleep(ctx, joinCheckInterval) != nil {
			return &peerv1.JoinResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_LOST}
		}
	}
}

// tryJoin makes one attempt to add or update the member. It returns nil if the caller has to try
// again: the leadership was not confirmed or the membership change is not committed yet.
func (c *Controller) tryJoin(ctx context.Context, req *peerv1.JoinRequest, group uint64) *peerv1.JoinResponse {
	done := make(chan *peerv1.JoinResponse, 1)
	r, ok := onControl(ctx, c, done, func() {
		if !c.leading {
			done <- &peerv1.JoinResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_NOT_LEADER, LeaderAddress: c.leader.Address}
			return
		}
		c.whenConfirmed(func(ok bool) {
			if ok && c.addLearner(req.GetMember()) {
				done <- &peerv1.JoinResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_OK, Group: group}
				return
			}
			done <- nil
		})
	})
	if ok {
		return r
	}
	return &peerv1.JoinResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_LOST}
}

// addLearner reports whether the replica is a committed member under its address and failure
// domain. If it is not, addLearner proposes that and the caller has to ask again.
func (c *Controller) addLearner(m *peerv1.Member) bool {
	core := c.node.Raft()
	members := core.Members()
	wanted := raft.Member{ID: raft.ID(m.GetId()), Address: m.GetAddress(), Domain: m.GetFailureDomain()}
	i := slices.IndexFunc(members, func(o raft.Member) bool { return o.ID == wanted.ID })
	if i < 0 {
		if c.removePredecessor(members, wanted) {
			return false
		}
		members = append(members, wanted)
	} else {
		wanted.Voter = members[i].Voter
		if members[i] == wanted {
			return core.MembersCommitted()
		}
		members[i] = wanted
	}
	c.proposeMembers(members, "a replica joins as a learner")
	return false
}

// removePredecessor proposes to remove the member that had the address of a joining replica,
// and reports whether there is one that has to be removed before the replica can be added. An
// identity is stored on the disk, so a new identity at the same address means that the disk of
// the old one is gone. The old member stays while the group needs its vote.
func (c *Controller) removePredecessor(members []raft.Member, joining raft.Member) bool {
	if !c.cfg.Membership.ReplaceAtAddress {
		return false
	}
	i := slices.IndexFunc(members, func(o raft.Member) bool { return o.Address == joining.Address && o.ID != joining.ID })
	if i < 0 || members[i].Voter && !c.membership().safe(members[i].ID, remove) {
		return false
	}
	c.proposeMembers(slices.Delete(slices.Clone(members), i, i+1), "a member's disk was replaced at its address")
	return true
}

// proposeMembers proposes a membership and records an event that says so. If it can't be proposed
// now, the event says why, and the caller's next attempt proposes it again.
func (c *Controller) proposeMembers(members []raft.Member, reason string) {
	if _, err := c.node.Raft().ProposeMembers(members); err != nil {
		reason += ": not proposed: " + err.Error()
	}
	c.event(&apiv1.Event{Kind: "membership", Detail: reason})
}
