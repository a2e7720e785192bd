package state

import (
	"slices"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
)

// maxReplicaChanges limits the replica changes that have yet to be carried out.
const maxReplicaChanges = 16

// acceptReplicaChange records an operator's change of the group's membership. It is recorded
// so that it survives a change of leader; whichever replica leads carries it out.
func (s *State) acceptReplicaChange(operation string, c *apiv1.ReplicaChange) *apiv1.Outcome {
	switch {
	case c.GetReplicaId() == 0:
		return notRun(apiv1.Reason_REASON_BAD_REQUEST, "replica_id must be set")
	case c.GetAction() == apiv1.ReplicaAction_REPLICA_ACTION_UNSPECIFIED || apiv1.ReplicaAction_name[int32(c.GetAction())] == "":
		return notRun(apiv1.Reason_REASON_BAD_REQUEST, "action must be remove, promote or transfer leadership")
	case len(s.replicaChanges) >= maxReplicaChanges:
		return notRun(apiv1.Reason_REASON_OVERLOADED, "%d replica changes are still being carried out", len(s.replicaChanges))
	}
	s.replicaChanges = append(s.replicaChanges, ReplicaIntent{OperationID: operation,
		Replica: c.GetReplicaId(), Action: c.GetAction(), DecidedNS: s.nowNS})
	return nil
}

// replicaChangeDone removes a change that was carried out or has become impossible.
func (s *State) replicaChangeDone(c *peerv1.ReplicaChangeDone) bool {
	before := len(s.replicaChanges)
	s.replicaChanges = slices.DeleteFunc(s.replicaChanges, func(r ReplicaIntent) bool { return r.OperationID == c.GetOperationId() })
	return len(s.replicaChanges) < before
}

// KnowsOperation reports whether the decision on an operator's change is retained.
func (s *State) KnowsOperation(id string) bool { return s.operations[id] != nil }

// ReplicaChanges returns the accepted changes that have yet to be carried out, oldest first.
// The caller must not change the slice.
func (s *State) ReplicaChanges() []ReplicaIntent { return s.replicaChanges }
