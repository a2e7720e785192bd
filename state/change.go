package state

import (
	"cmp"
	"crypto/sha256"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/resource"
	"google.golang.org/protobuf/proto"
)

// change applies an operator's change once per operation ID. Of several changes with the same
// base revision only one is applied; the responses to the others name it. A change that was held up on its way
// while another one was applied is neither applied nor remembered.
func (s *State) change(c *peerv1.Change) *apiv1.ChangeResponse {
	req := c.GetRequest()
	if refusal := s.AuthorizeOperator(c.KeySha256); refusal != nil {
		if s.HasOperation(req.GetOperationId()) {
			refusal = undetermined(refusal.Reason, "%s; an earlier send of operation %q was decided", refusal.Detail, req.GetOperationId())
		}
		return &apiv1.ChangeResponse{Outcome: refusal, Revision: s.revision}
	}
	if !ValidName(req.GetOperationId()) {
		return s.refusedChange(apiv1.Reason_REASON_BAD_REQUEST, "operation_id must have 1 to %d printable characters", maxNameBytes)
	}
	digest := changeDigest(req)
	if known := s.operations[req.GetOperationId()]; known != nil {
		return s.resentChangeResponse(known, digest)
	}
	if c.SeenRevision != nil && c.GetSeenRevision() != s.revision {
		return &apiv1.ChangeResponse{Revision: s.revision, Outcome: undetermined(apiv1.Reason_REASON_REVISION_CONFLICT,
			"operation %q made another change while this one was on its way; this send was not decided on", s.lastOperation)}
	}
	name := cmp.Or(req.GetPutQueue().GetName(), req.GetDeleteQueue())
	before := s.queues[name]
	response := s.decideChange(req)
	if c.GetStableIdentities() {
		s.rememberOwner(before, s.queues[name])
	}
	s.addOperation(&Operation{ID: req.GetOperationId(), Digest: digest, Response: response, DecidedNS: s.nowNS})
	return response
}

func (s *State) addOperation(o *Operation) {
	s.operations[o.ID] = o
	s.operationOrder = append(s.operationOrder, o)
}

func changeDigest(req *apiv1.ChangeRequest) string {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(req)
	if err != nil {
		panic("state: change can't be encoded: " + err.Error())
	}
	sum := sha256.Sum256(data)
	return string(sum[:])
}

// resentChangeResponse returns the response to a change whose operation ID is known.
func (s *State) resentChangeResponse(known *Operation, digest string) *apiv1.ChangeResponse {
	if known.Digest != digest {
		return s.refusedChange(apiv1.Reason_REASON_IDENTITY_REUSED, "operation %q was already used for another change", known.ID)
	}
	again := proto.Clone(known.Response).(*apiv1.ChangeResponse)
	again.Resent = true
	return again
}

func (s *State) refusedChange(reason apiv1.Reason, format string, args ...any) *apiv1.ChangeResponse {
	return &apiv1.ChangeResponse{Outcome: notRun(reason, format, args...), Revision: s.revision}
}

func (s *State) decideChange(req *apiv1.ChangeRequest) *apiv1.ChangeResponse {
	if base := req.GetBaseRevision(); base != 0 && base != s.revision {
		r := s.refusedChange(apiv1.Reason_REASON_REVISION_CONFLICT, "revision %d is in force, made by operation %q", s.revision, s.lastOperation)
		r.WinnerOperationId = s.lastOperation
		return r
	}
	if refusal := s.applyChange(req); refusal != nil {
		return &apiv1.ChangeResponse{Outcome: refusal, Revision: s.revision}
	}
	s.revision++
	s.lastOperation = req.GetOperationId()
	s.observer.ConfigChanged(s.revision)
	return &apiv1.ChangeResponse{Applied: true, Outcome: accepted, Revision: s.revision}
}

// AuthorizeOperator returns nil if the holder of a key may act as an operator, or the refusal.
func (s *State) AuthorizeOperator(keyHash []byte) *apiv1.Outcome {
	return s.authorizeRole(keyHash, apiv1.KeyRole_KEY_ROLE_OPERATOR, "an operator's")
}

// AuthorizeUpstream returns nil if the holder of a key may act as an upstream, or the refusal.
func (s *State) AuthorizeUpstream(keyHash []byte) *apiv1.Outcome {
	return s.authorizeRole(keyHash, apiv1.KeyRole_KEY_ROLE_UPSTREAM, "an upstream's")
}

// authorizeRole returns nil if the holder of a key may act in a role, or the refusal, in which
// whose names the role.
func (s *State) authorizeRole(keyHash []byte, role apiv1.KeyRole, whose string) *apiv1.Outcome {
	k := s.keyOf(keyHash)
	switch {
	case k == nil:
		return notRun(apiv1.Reason_REASON_KEY_UNKNOWN, "the key is not known")
	case k.Withdrawn:
		return notRun(apiv1.Reason_REASON_KEY_WITHDRAWN, "key %q was withdrawn", k.ID)
	case k.Role != role:
		return notRun(apiv1.Reason_REASON_NOT_PERMITTED, "key %q is not %s key", k.ID, whose)
	}
	return nil
}

func (s *State) applyChange(req *apiv1.ChangeRequest) *apiv1.Outcome {
	switch c := req.GetChange().(type) {
	case *apiv1.ChangeRequest_PutTeam:
		return s.putTeam(c.PutTeam)
	case *apiv1.ChangeRequest_DeleteTeam:
		return s.deleteTeam(c.DeleteTeam)
	case *apiv1.ChangeRequest_GrantKey:
		return s.grantKey(c.GrantKey)
	case *apiv1.ChangeRequest_WithdrawKey:
		return s.withdrawKey(c.WithdrawKey)
	case *apiv1.ChangeRequest_PutQueue:
		return s.putQueue(c.PutQueue)
	case *apiv1.ChangeRequest_DeleteQueue:
		return s.deleteQueue(c.DeleteQueue)
	case *apiv1.ChangeRequest_PutFailureDomain:
		return s.putDomain(c.PutFailureDomain)
	case *apiv1.ChangeRequest_Replica:
		return s.acceptReplicaChange(req.GetOperationId(), c.Replica)
	}
	return notRun(apiv1.Reason_REASON_BAD_REQUEST, "the request holds no change")
}

func (s *State) putTeam(spec *apiv1.Team) *apiv1.Outcome {
	limit := resource.LimitFromProto(spec.GetLimit())
	switch {
	case !ValidName(spec.GetName()):
		return notRun(apiv1.Reason_REASON_BAD_REQUEST, "team needs a name of 1 to %d printable characters", maxNameBytes)
	case spec.GetShare() < 1 || spec.GetShare() > 1_000_000:
		return notRun(apiv1.Reason_REASON_BAD_REQUEST, "share must be 1 to 1000000")
	case spec.GetMaxWaitingTasks() < 0 || limit.HasNegative():
		return notRun(apiv1.Reason_REASON_BAD_REQUEST, "limits must not be negative")
	}
	t := s.teams[spec.GetName()]
	if t == nil {
		t = &Team{Name: spec.GetName(), Stored: s.storedFor(spec.GetName())}
		s.teams[t.Name] = t
	}
	t.spec, t.Share, t.Limit, t.MaxWaiting = spec, spec.GetShare(), limit, spec.GetMaxWaitingTasks()
	if t.MaxWaiting == 0 {
		t.MaxWaiting = s.settings.DefaultMaxWaiting
	}
	s.observer.TeamChanged(t)
	return nil
}

// storedFor returns the stored bytes of retained jobs of a team. A new team starts with those
// of a deleted team of the same name.
func (s *State) storedFor(team string) int64 {
	var n int64
	for _, j := range s.jobs.all() {
		if j.Team == team {
			n += int64(j.stored)
		}
	}
	return n
}

// Spec returns the team as the operator configured it. The caller must not change it.
func (t *Team) Spec() *apiv1.Team { return t.spec }

func (s *State) deleteTeam(name string) *apiv1.Outcome {
	t := s.teams[name]
	if t == nil {
		return notRun(apiv1.Reason_REASON_NOT_FOUND, "team %q does not exist", name)
	}
	if t.Waiting+t.Running > 0 {
		return notRun(apiv1.Reason_REASON_IN_USE, "team %q still has %d tasks that have not ended", name, t.Waiting+t.Running)
	}
	for _, q := range s.queues {
		if q.Team == name {
			return notRun(apiv1.Reason_REASON_IN_USE, "team %q still has queues", name)
		}
	}
	for _, k := range s.keys {
		if k.Team == name {
			k.Withdrawn = true
		}
	}
	delete(s.teams, name)
	return nil
}

func (s *State) grantKey(g *apiv1.GrantKey) *apiv1.Outcome {
	caller := g.GetRole() == apiv1.KeyRole_KEY_ROLE_CALLER
	switch {
	case !ValidName(g.GetKeyId()):
		return notRun(apiv1.Reason_REASON_BAD_REQUEST, "key_id must have 1 to %d printable characters", maxNameBytes)
	case len(g.GetKeySha256()) != sha256.Size:
		return notRun(apiv1.Reason_REASON_BAD_REQUEST, "key_sha256 must have %d bytes", sha256.Size)
	case g.GetRole() == apiv1.KeyRole_KEY_ROLE_UNSPECIFIED || apiv1.KeyRole_name[int32(g.GetRole())] == "":
		return notRun(apiv1.Reason_REASON_BAD_REQUEST, "role must be caller, operator or upstream")
	case caller && s.teams[g.GetTeam()] == nil:
		return notRun(apiv1.Reason_REASON_TEAM_UNKNOWN, "team %q does not exist", g.GetTeam())
	case s.keys[g.GetKeyId()] != nil || s.keyByHash[KeyHash(g.GetKeySha256())] != nil:
		return notRun(apiv1.Reason_REASON_IN_USE, "key %q already exists", g.GetKeyId())
	}
	s.addKey(&Key{ID: g.GetKeyId(), Team: g.GetTeam(), Hash: KeyHash(g.GetKeySha256()), Role: g.GetRole()})
	return nil
}

func (s *State) addKey(k *Key) {
	s.keys[k.ID] = k
	s.keyByHash[k.Hash] = k
}

// withdrawKey marks a key as withdrawn. The key is retained, so that neither its ID nor its
// hash can be granted again.
func (s *State) withdrawKey(id string) *apiv1.Outcome {
	k := s.keys[id]
	if k == nil {
		return notRun(apiv1.Reason_REASON_NOT_FOUND, "key %q does not exist", id)
	}
	if k.Role == apiv1.KeyRole_KEY_ROLE_OPERATOR && s.countOperators() == 1 && !k.Withdrawn {
		return notRun(apiv1.Reason_REASON_IN_USE, "key %q is the last operator's key", id)
	}
	k.Withdrawn = true
	return nil
}

func (s *State) countOperators() int {
	n := 0
	for _, k := range s.keys {
		if k.Role == apiv1.KeyRole_KEY_ROLE_OPERATOR && !k.Withdrawn {
			n++
		}
	}
	return n
}

func (s *State) putQueue(q *apiv1.Queue) *apiv1.Outcome {
	switch {
	case !ValidName(q.GetName()):
		return notRun(apiv1.Reason_REASON_BAD_REQUEST, "queue needs a name of 1 to %d printable characters", maxNameBytes)
	case q.GetTeam() != "" && s.teams[q.GetTeam()] == nil:
		return notRun(apiv1.Reason_REASON_TEAM_UNKNOWN, "team %q does not exist", q.GetTeam())
	case q.GetOpen() && q.GetTeam() == "":
		return notRun(apiv1.Reason_REASON_BAD_REQUEST, "an open queue needs a team that its work is counted for")
	}
	s.queues[q.GetName()] = q
	return nil
}

func (s *State) deleteQueue(name string) *apiv1.Outcome {
	if s.queues[name] == nil {
		return notRun(apiv1.Reason_REASON_NOT_FOUND, "queue %q does not exist", name)
	}
	if n := len(s.unendedByQueue[name]); n > 0 {
		return notRun(apiv1.Reason_REASON_IN_USE, "queue %q still has %d jobs that have not ended", name, n)
	}
	delete(s.queues, name)
	return nil
}

func (s *State) putDomain(d *apiv1.FailureDomain) *apiv1.Outcome {
	switch {
	case !ValidName(d.GetName()):
		return notRun(apiv1.Reason_REASON_BAD_REQUEST, "failure domain needs a name of 1 to %d printable characters", maxNameBytes)
	case d.GetState() != apiv1.DomainState_DOMAIN_STATE_IN && d.GetState() != apiv1.DomainState_DOMAIN_STATE_OUT:
		return notRun(apiv1.Reason_REASON_BAD_REQUEST, "state must be in or out")
	case d.GetNoticeMs() < 0:
		return notRun(apiv1.Reason_REASON_BAD_REQUEST, "notice_ms must not be negative")
	}
	domain := s.domains[d.GetName()]
	if domain == nil {
		domain = &Domain{Name: d.GetName()}
		s.domains[domain.Name] = domain
	}
	domain.Out = d.GetState() == apiv1.DomainState_DOMAIN_STATE_OUT
	domain.Notice = time.Duration(d.GetNoticeMs()) * time.Millisecond
	s.observer.DomainChanged(domain)
	return nil
}

// bootstrap grants the first operator's key. It has no effect if any key exists.
func (s *State) bootstrap(c *peerv1.Bootstrap) bool {
	if len(s.keys) > 0 || len(c.GetKeySha256()) != sha256.Size {
		return false
	}
	s.addKey(&Key{ID: "bootstrap", Hash: KeyHash(c.GetKeySha256()), Role: apiv1.KeyRole_KEY_ROLE_OPERATOR})
	s.revision++
	s.observer.ConfigChanged(s.revision)
	return true
}
