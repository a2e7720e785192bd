package view

import (
	"crypto/sha256"
	"fmt"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
)

// Verdict is what the view says about a key.
type Verdict int

// Verdicts.
const (
	// Unsure means that the view does not know the key or queue, which may have been
	// made a moment ago: only the leader can tell.
	Unsure Verdict = iota
	Allowed
	Refused
)

// Decision is a verdict with the team that the call counts for, or the reason of a
// refusal.
type Decision struct {
	Verdict Verdict
	Team    string
	Reason  apiv1.Reason
	Detail  string
}

func refuse(reason apiv1.Reason, format string, args ...any) Decision {
	return Decision{Verdict: Refused, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// ForQueue decides whether a key may submit to a queue. The leader decides again.
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
	k, d := s.key(hash)
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

// ForRole decides whether a key has a role. The leader decides again.
func (s *Store) ForRole(hash []byte, role apiv1.KeyRole) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, d := s.key(hash)
	switch {
	case k == nil:
		return d
	case k.GetRole() != role:
		return refuse(apiv1.Reason_REASON_NOT_PERMITTED, "key %q has another role", k.GetKeyId())
	}
	return Decision{Verdict: Allowed, Team: k.GetTeam()}
}

// key returns a key in force, or the decision on one that is not.
func (s *Store) key(hash []byte) (*peerv1.KeyRecord, Decision) {
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
