package view

import (
	"crypto/sha256"
	"fmt"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
)

// Verdict is the result of an authorization by the view.
type Verdict int

// Verdicts.
const (
	// Unsure means that the view does not know the key or queue, which may have been
	// created very recently: only the leader can decide.
	Unsure Verdict = iota
	// Allowed means that the key permits the call.
	Allowed
	// Refused means that the key does not permit the call.
	Refused
)

// Decision is the result of an authorization.
type Decision struct {
	// Verdict tells whether the call is allowed.
	Verdict Verdict
	// Team is the team that an allowed call counts for; empty for a key without a team.
	Team string
	// Reason is why the call is refused.
	Reason apiv1.Reason
	// Detail explains a refusal to humans.
	Detail string
}

func refuse(reason apiv1.Reason, format string, args ...any) Decision {
	return Decision{Verdict: Refused, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// ForQueue decides whether the key with the given SHA-256 may submit to a queue; hash is nil if
// the call has no key. The leader checks the key again.
func (s *Store) ForQueue(hash []byte, queue string) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, known := s.queues.get(queue)
	if !known {
		return Decision{Verdict: Unsure}
	}
	if q.GetOpen() {
		return Decision{Verdict: Allowed, Team: q.GetTeam()}
	}
	k, d := s.lookUpKey(hash)
	switch {
	case k == nil:
		return d
	case k.GetRole() != apiv1.KeyRole_KEY_ROLE_CALLER:
		return refuse(apiv1.Reason_REASON_NOT_PERMITTED, "key %q is not a caller's key", k.GetKeyId())
	case q.GetTeam() != "" && q.GetTeam() != k.GetTeam():
		return refuse(apiv1.Reason_REASON_KEY_OF_ANOTHER_TEAM, "queue %q belongs to team %q, the key to %q",
			queue, q.GetTeam(), k.GetTeam())
	}
	return Decision{Verdict: Allowed, Team: k.GetTeam()}
}

// ForRole decides whether the key with the given SHA-256 has a role; hash is nil if the call has
// no key. The leader checks the key again.
func (s *Store) ForRole(hash []byte, role apiv1.KeyRole) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, d := s.lookUpKey(hash)
	switch {
	case k == nil:
		return d
	case k.GetRole() != role:
		return refuse(apiv1.Reason_REASON_NOT_PERMITTED, "key %q has another role", k.GetKeyId())
	}
	return Decision{Verdict: Allowed, Team: k.GetTeam()}
}

// lookUpKey returns the key with the given SHA-256, or nil and the decision if it is unknown or
// withdrawn.
func (s *Store) lookUpKey(hash []byte) (*peerv1.KeyRecord, Decision) {
	if len(hash) != sha256.Size {
		return nil, refuse(apiv1.Reason_REASON_KEY_UNKNOWN, "the call brings no key")
	}
	k := s.byHash[[sha256.Size]byte(hash)]
	if k == nil {
		return nil, Decision{Verdict: Unsure}
	}
	if k.GetWithdrawn() {
		return nil, refuse(apiv1.Reason_REASON_KEY_WITHDRAWN, "key %q was withdrawn", k.GetKeyId())
	}
	return k, Decision{}
}
