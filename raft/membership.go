package raft

import (
	"encoding/json"
	"slices"
)

// ProposeMembers proposes a new membership, which must differ from the current one in exactly one
// replica that is added, removed or changed. It returns the index of the log entry. A replica uses a
// new membership as soon as it has appended the entry, not only once that is committed; therefore at
// most one change may be uncommitted. Errors are ErrNotLeader, ErrTransferring, ErrChangePending and
// ErrInvalidChange.
func (r *Raft) ProposeMembers(members []Member) (index uint64, err error) {
	if r.role != Leader {
		return 0, ErrNotLeader
	}
	if r.transferTo != None {
		return 0, ErrTransferring
	}
	if r.memberIndex > r.log.committed {
		return 0, ErrChangePending
	}
	if t, _ := r.log.term(r.log.committed); t != r.term {
		// Until an entry of this term is committed, a change of an earlier leader may still be uncommitted.
		return 0, ErrChangePending
	}
	if differences(r.members, members) != 1 || !hasVoter(members) || hasDuplicate(members) {
		return 0, ErrInvalidChange
	}
	r.append(Entry{Type: EntryMembers, Data: EncodeMembers(members)})
	r.broadcastAppend()
	return r.log.lastIndex(), nil
}

// MembersCommitted reports whether the current membership is committed.
func (r *Raft) MembersCommitted() bool { return r.memberIndex <= r.log.committed }

func hasVoter(members []Member) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Voter })
}

func hasDuplicate(members []Member) bool {
	seen := make(map[ID]bool, len(members))
	for _, m := range members {
		if seen[m.ID] || m.ID == None {
			return true
		}
		seen[m.ID] = true
	}
	return false
}

// differences returns the number of replicas that were added, removed or changed from a to b.
func differences(a, b []Member) int {
	n := 0
	for _, m := range a {
		if !slices.Contains(b, m) {
			n++
		}
	}
	for _, m := range b {
		known := slices.ContainsFunc(a, func(o Member) bool { return o.ID == m.ID })
		if !known {
			n++
		}
	}
	return n
}

// EncodeMembers encodes a membership as JSON, the data of an EntryMembers entry.
func EncodeMembers(members []Member) []byte {
	data, err := json.Marshal(members)
	if err != nil {
		panic("raft: encode members: " + err.Error())
	}
	return data
}

// DecodeMembers decodes the data of an EntryMembers entry. Errors are those of the JSON decoder.
func DecodeMembers(data []byte) ([]Member, error) {
	var members []Member
	err := json.Unmarshal(data, &members)
	return members, err
}

// adoptMembers makes the membership of an entry the current one, as soon as the entry is in the log.
func (r *Raft) adoptMembers(e Entry) {
	if e.Type != EntryMembers || e.Index <= r.memberIndex {
		return
	}
	members, err := DecodeMembers(e.Data)
	if err != nil {
		panic("raft: membership entry can't be decoded: " + err.Error())
	}
	r.memberHistory = append(r.memberHistory, membershipAt{r.memberIndex, r.memberTerm, r.members})
	r.members, r.memberIndex, r.memberTerm = members, e.Index, e.Term
	if r.role == Leader {
		r.reconcileProgress()
	}
}

// revertMembers returns to the latest membership whose entry is still in the log, after entries were
// truncated or replaced.
func (r *Raft) revertMembers() {
	for r.memberIndex > r.log.snapIndex && !r.log.matches(r.memberIndex, r.memberTerm) {
		last := r.memberHistory[len(r.memberHistory)-1]
		r.memberHistory = r.memberHistory[:len(r.memberHistory)-1]
		r.members, r.memberIndex, r.memberTerm = last.members, last.index, last.term
	}
}

// membersAt returns the membership as of a log index.
func (r *Raft) membersAt(index uint64) []Member {
	if r.memberIndex <= index {
		return r.members
	}
	for i := len(r.memberHistory) - 1; i >= 0; i-- {
		if r.memberHistory[i].index <= index {
			return r.memberHistory[i].members
		}
	}
	return r.members
}

// ReplicaStatus is what the leader knows about a member of the group.
type ReplicaStatus struct {
	// Member is the member that the status is about.
	Member Member
	// Match is the highest index up to which the member's log is known to be durable and equal to
	// the leader's.
	Match uint64
	// TicksSinceReply is the number of ticks since the member last replied to this leader or, as far as
	// is known, to the one before; zero for the leader.
	TicksSinceReply int
}

// Status returns the status of all members, including the leader. It returns nil on other replicas.
func (r *Raft) Status() []ReplicaStatus {
	if r.role != Leader {
		return nil
	}
	var out []ReplicaStatus
	for _, m := range r.members {
		s := ReplicaStatus{Member: m, Match: r.log.stable}
		if p := r.progress[m.ID]; p != nil {
			s.Match, s.TicksSinceReply = p.match, p.ticksSinceReply
		}
		out = append(out, s)
	}
	return out
}
