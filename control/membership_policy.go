package control

import (
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/raft"
)

// MembershipPolicy says when the leader changes the members of the group without an operator.
type MembershipPolicy struct {
	// Voters is the number of voters that the group should have.
	Voters int
	// TickInterval is the length of one raft tick.
	TickInterval time.Duration
	// LiveTimeout is how long a replica may be silent and still count as live.
	LiveTimeout time.Duration
	// ReplaceAfter is how long a voter may be silent before a standby, which is a learner that has
	// caught up, is promoted to replace it.
	ReplaceAfter time.Duration
	// RemoveAfter is how long a learner may be silent before it is removed.
	RemoveAfter time.Duration
	// ReplaceAtAddress removes the member that had a joining replica's address immediately,
	// rather than only after it has been silent for long enough.
	ReplaceAtAddress bool
	// CatchUpEntries is how many entries a learner's log may be behind the committed index when
	// it is promoted.
	CatchUpEntries uint64
}

// DefaultMembershipPolicy suits replicas in one region.
var DefaultMembershipPolicy = MembershipPolicy{
	Voters:         3,
	TickInterval:   50 * time.Millisecond,
	LiveTimeout:    2 * time.Second,
	ReplaceAfter:   time.Minute,
	RemoveAfter:    24 * time.Hour,
	CatchUpEntries: 256,
}

// UnattendedMembershipPolicy suits a group whose machines are replaced without an operator.
var UnattendedMembershipPolicy = MembershipPolicy{
	// After the loss of two disks there is still a copy of everything acknowledged.
	Voters:       5,
	TickInterval: DefaultMembershipPolicy.TickInterval,
	LiveTimeout:  DefaultMembershipPolicy.LiveTimeout,
	// Until a silent voter is replaced the group bears one loss less. A replaced voter that comes back
	// is a standby itself.
	ReplaceAfter:     2500 * time.Millisecond,
	RemoveAfter:      30 * time.Second,
	ReplaceAtAddress: true,
	CatchUpEntries:   DefaultMembershipPolicy.CatchUpEntries,
}

// membership is the leader's view of the group at one time.
type membership struct {
	policy    MembershipPolicy
	self      raft.ID
	committed uint64
	replicas  []raft.ReplicaStatus
}

// memberAction is the kind of change of one member.
type memberAction uint8

const (
	// promote makes a learner a voter, demote makes a voter a learner.
	promote memberAction = iota + 1
	demote
	remove
)

// memberChange is a change of one member, and the reason for it.
type memberChange struct {
	id     raft.ID
	action memberAction
	reason string
}

// plan returns the next change that the policy calls for, or nil. A standby is promoted
// before the voter that it replaces is demoted, and no change leaves fewer live voters than
// a quorum of the membership after it.
func (m *membership) plan() *memberChange {
	for _, c := range []*memberChange{m.demoteSurplus(), m.fillVoters(), m.replaceSilent(), m.spreadDomains(), m.removeSilentLearner()} {
		if c != nil && m.safe(c.id, c.action) {
			return c
		}
	}
	return nil
}

// silent returns how long a replica has not answered; 0 for the leader itself.
func (m *membership) silent(r raft.ReplicaStatus) time.Duration {
	if r.Member.ID == m.self {
		return 0
	}
	return time.Duration(r.TicksSinceReply) * m.policy.TickInterval
}

// live reports whether a replica has answered recently enough to count as live.
func (m *membership) live(r raft.ReplicaStatus) bool { return m.silent(r) <= m.policy.LiveTimeout }

// voters returns the status of all voters.
func (m *membership) voters() (out []raft.ReplicaStatus) {
	for _, r := range m.replicas {
		if r.Member.Voter {
			out = append(out, r)
		}
	}
	return out
}

// safe reports whether the live voters after a change are a quorum of the voters after it.
func (m *membership) safe(id raft.ID, action memberAction) bool {
	voters, live := 0, 0
	for _, r := range m.replicas {
		voter := r.Member.Voter
		if r.Member.ID == id {
			voter = action == promote
		}
		if !voter {
			continue
		}
		voters++
		if m.live(r) {
			live++
		}
	}
	return live >= voters/2+1
}

// domains counts live voters by failure domain.
func (m *membership) domains() map[string]int {
	count := make(map[string]int)
	for _, r := range m.voters() {
		if m.live(r) {
			count[r.Member.Domain]++
		}
	}
	return count
}

// standby returns the best live learner that has caught up, preferring one in the failure
// domain with the fewest live voters, then the longest log, then the lowest identity. inDomain
// is the number of live voters in its failure domain.
func (m *membership) standby() (best raft.ReplicaStatus, inDomain int, ok bool) {
	domains := m.domains()
	for _, r := range m.replicas {
		if r.Member.Voter || !m.live(r) || r.Match == 0 || r.Match+m.policy.CatchUpEntries < m.committed {
			continue
		}
		n := domains[r.Member.Domain]
		better := !ok || n < inDomain || n == inDomain && (r.Match > best.Match || r.Match == best.Match && r.Member.ID < best.Member.ID)
		if better {
			best, inDomain, ok = r, n, true
		}
	}
	return best, inDomain, ok
}

// promoteStandby returns the promotion of the best standby, or nil if there is none.
func (m *membership) promoteStandby(reason string) *memberChange {
	if r, _, ok := m.standby(); ok {
		return &memberChange{r.Member.ID, promote, reason}
	}
	return nil
}

// demoteSurplus demotes one voter if there are more than the policy asks for: a silent one
// first, then one in the failure domain with the most live voters, then the highest identity; never
// the leader.
func (m *membership) demoteSurplus() *memberChange {
	voters := m.voters()
	if len(voters) <= m.policy.Voters {
		return nil
	}
	domains := m.domains()
	rank := func(r raft.ReplicaStatus) int {
		switch {
		case r.Member.ID == m.self:
			return 0
		case !m.live(r):
			return len(voters) + 1
		}
		return domains[r.Member.Domain]
	}
	worst := slices.MaxFunc(voters, func(a, b raft.ReplicaStatus) int {
		if d := rank(a) - rank(b); d != 0 {
			return d
		}
		if a.Member.ID < b.Member.ID {
			return -1
		}
		return 1
	})
	if worst.Member.ID == m.self {
		return nil
	}
	return &memberChange{worst.Member.ID, demote, "the group has a voter too many"}
}

// fillVoters promotes a standby if there are fewer voters than the policy asks for.
func (m *membership) fillVoters() *memberChange {
	if len(m.voters()) >= m.policy.Voters {
		return nil
	}
	return m.promoteStandby("the group has a voter too few")
}

// replaceSilent promotes a standby if a voter has been silent for too long.
func (m *membership) replaceSilent() *memberChange {
	for _, r := range m.voters() {
		if m.silent(r) > m.policy.ReplaceAfter {
			return m.promoteStandby("a voter has been silent for too long")
		}
	}
	return nil
}

// spreadDomains promotes a standby if another failure domain has at least two live voters more than
// its own. Otherwise the loss of one domain could leave no quorum.
func (m *membership) spreadDomains() *memberChange {
	r, inDomain, ok := m.standby()
	if !ok || len(m.voters()) != m.policy.Voters {
		return nil
	}
	for _, n := range m.domains() {
		if n >= inDomain+2 {
			return &memberChange{r.Member.ID, promote, "too many voters share a failure domain"}
		}
	}
	return nil
}

// removeSilentLearner removes a learner that has been silent for too long.
func (m *membership) removeSilentLearner() *memberChange {
	for _, r := range m.replicas {
		if !r.Member.Voter && m.silent(r) > m.policy.RemoveAfter {
			return &memberChange{r.Member.ID, remove, "a learner has been silent for too long"}
		}
	}
	return nil
}

// changed returns the members of the group after a change.
func (m *membership) changed(id raft.ID, action memberAction) []raft.Member {
	var out []raft.Member
	for _, r := range m.replicas {
		member := r.Member
		if member.ID == id {
			if action == remove {
				continue
			}
			member.Voter = action == promote
		}
		out = append(out, member)
	}
	return out
}
