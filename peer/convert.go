package peer

import (
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/raft"
)

// MessageToProto converts a raft message to its protocol message.
func MessageToProto(m raft.Message) *peerv1.RaftMessage {
	out := &peerv1.RaftMessage{Type: uint32(m.Type), From: uint64(m.From), To: uint64(m.To), Term: m.Term,
		LogIndex: m.LogIndex, LogTerm: m.LogTerm, Commit: m.Commit, Reject: m.Reject,
		HintIndex: m.HintIndex, HintTerm: m.HintTerm, Context: m.Context, Number: m.AppendNumber}
	for _, s := range m.Silent {
		out.Silent = append(out.Silent, &peerv1.MemberSilence{Id: uint64(s.ID), Ticks: uint32(s.Ticks)})
	}
	for _, e := range m.Entries {
		out.Entries = append(out.Entries, &peerv1.Entry{Index: e.Index, Term: e.Term, Type: uint32(e.Type), Data: e.Data})
	}
	if s := m.Snapshot; s != nil {
		out.Snapshot = &peerv1.Snapshot{Index: s.Index, Term: s.Term, Members: MembersToProto(s.Members), Data: s.Data}
	}
	return out
}

// MessageFromProto converts a protocol message to a raft message.
func MessageFromProto(m *peerv1.RaftMessage) raft.Message {
	out := raft.Message{Type: raft.MessageType(m.GetType()), From: raft.ID(m.GetFrom()), To: raft.ID(m.GetTo()), Term: m.GetTerm(),
		LogIndex: m.GetLogIndex(), LogTerm: m.GetLogTerm(), Commit: m.GetCommit(), Reject: m.GetReject(),
		HintIndex: m.GetHintIndex(), HintTerm: m.GetHintTerm(), Context: m.GetContext(), AppendNumber: m.GetNumber()}
	for _, s := range m.GetSilent() {
		out.Silent = append(out.Silent, raft.MemberSilence{ID: raft.ID(s.GetId()), Ticks: int(s.GetTicks())})
	}
	for _, e := range m.GetEntries() {
		out.Entries = append(out.Entries, raft.Entry{Index: e.GetIndex(), Term: e.GetTerm(), Type: raft.EntryType(e.GetType()), Data: e.GetData()})
	}
	if s := m.GetSnapshot(); s != nil {
		out.Snapshot = &raft.Snapshot{Index: s.GetIndex(), Term: s.GetTerm(), Members: MembersFromProto(s.GetMembers()), Data: s.GetData()}
	}
	return out
}

// MembersToProto converts a membership to protocol messages.
func MembersToProto(members []raft.Member) []*peerv1.Member {
	var out []*peerv1.Member
	for _, m := range members {
		out = append(out, &peerv1.Member{Id: uint64(m.ID), Voter: m.Voter, Address: m.Address, FailureDomain: m.Domain})
	}
	return out
}

// MembersFromProto converts protocol messages to a membership.
func MembersFromProto(members []*peerv1.Member) []raft.Member {
	var out []raft.Member
	for _, m := range members {
		out = append(out, raft.Member{ID: raft.ID(m.GetId()), Voter: m.GetVoter(), Address: m.GetAddress(), Domain: m.GetFailureDomain()})
	}
	return out
}
