package raft

import (
	"encoding/json"
	"slices"
)

// ProposeMembers proposes the membership with one replica added, removed or changed.
// A replica takes a new membership into force when it appends the entry, so that at
// most one change may be uncommitted.
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
		// An earlier leader's change may still surface until this term has a commit.
		return 0, ErrChangePending
	}
	if differences(r.members, members) != 1 || !hasVoter(members) || hasDuplicate(members) {
		return 0, ErrBadChange
	}
	r.append(Entry{Type: EntryMembers, Data: EncodeMembers(members)})
	r.broadcastAppend()
	return r.log.lastIndex(), nil
}

// MembersCommitted reports whether the membership in force is committed.
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

// differences counts replicas that were added, removed or changed.
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

// EncodeMembers returns the data of an EntryMembers entry.
func EncodeMembers(members []Member) []byte {
	data, err := json.Marshal(members)
	if err != nil {
		panic("raft: encode members: " + err.Error())
	}
	return data
}

// DecodeMembers reads the data of an EntryMembers entry.
func DecodeMembers(data []byte) ([]Member, error) {
	var members []Member
	err := json.Unmarshal(data, &members)
	return members, err
}

// adoptMembers takes a membership entry into force as soon as it is in the log.
func (r *Raft) adoptMembers(e Entry) {
	if e.Type != EntryMembers || e.Index <= r.memberIndex {
		return
	}
	members, err := DecodeMembers(e.Data)
	if err != nil {
		panic("raft: membership entry can't be decoded: " + err.Error())
	}
	r.history = append(r.history, membershipAt{r.memberIndex, r.memberTerm, r.members})
	r.members, r.memberIndex, r.memberTerm = members, e.Index, e.Term
	if r.role == Leader {
		r.syncProgress()
	}
}

// undoMembers returns to an earlier membership when its entry was truncated or replaced.
func (r *Raft) undoMembers() {
	for r.memberIndex > r.log.snapIndex && !r.log.matches(r.memberIndex, r.memberTerm) {
		last := r.history[len(r.history)-1]
		r.history = r.history[:len(r.history)-1]
		r.members, r.memberIndex, r.memberTerm = last.members, last.index, last.term
	}
}

// membersAt returns the membership in force at an index.
func (r *Raft) membersAt(index uint64) []Member {
	if r.memberIndex <= index {
		return r.members
	}
	for i := len(r.history) - 1; i >= 0; i-- {
		if r.history[i].index <= index {
			return r.history[i].members
		}
	}
	return r.members
}

// ReplicaStatus is the leader's view of another replica.
type ReplicaStatus struct {
	Member Member
	Match  uint64
	// SilentTicks counts ticks since the replica last answered.
	SilentTicks int
}

// Status returns the leader's view of all members; empty unless this replica leads.
func (r *Raft) Status() []ReplicaStatus {
	if r.role != Leader {
		return nil
	}
	var out []ReplicaStatus
	for _, m := range r.members {
		s := ReplicaStatus{Member: m, Match: r.log.stable}
		if p := r.progress[m.ID]; p != nil {
			s.Match, s.SilentTicks = p.match, p.silentTicks
		}
		out = append(out, s)
	}
	return out
}
