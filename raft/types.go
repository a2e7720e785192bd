package raft

import "github.com/pkg/errors"

// ID identifies a replica. It is bound to one data folder and is never reused for another. Zero is
// not a valid ID; see None.
type ID uint64

// None is the ID that stands for no replica.
const None ID = 0

// Errors returned to the owner of a Raft.
var (
	// ErrNotLeader is returned for an operation that only the leader can perform.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrChangePending is returned for a membership change while an earlier one may be
	// uncommitted.
	ErrChangePending = errors.New("raft: a membership change is pending")
	// ErrInvalidChange is returned for an invalid membership change and for an invalid target
	// of a leadership transfer.
	ErrInvalidChange = errors.New("raft: membership change does not apply")
	// ErrTransferring is returned for proposals during a leadership transfer.
	ErrTransferring = errors.New("raft: leadership transfer in progress")
	// ErrNotApplied is returned for a snapshot beyond the last applied index.
	ErrNotApplied = errors.New("raft: index is not applied")
	// ErrCompacted is returned when the requested index is not in the log, because a snapshot
	// covers it, or when a snapshot is no newer than the newest one.
	ErrCompacted = errors.New("raft: index is compacted")
)

// EntryType is the kind of data that an Entry carries.
type EntryType uint8

// Entry types.
const (
	// EntryNormal carries a command of the owner. A new leader appends one with empty data
	// at the start of its term.
	EntryNormal EntryType = iota
	// EntryMembers carries the complete membership after a change, in the format of
	// EncodeMembers.
	EntryMembers
)

// Entry is one entry of the replicated log.
type Entry struct {
	// Index is the position in the log, and Term the term of the leader that appended the entry.
	Index uint64
	Term  uint64
	// Type tells how Data is to be interpreted.
	Type EntryType
	Data []byte
}

// Member is one replica of the group, a voter or a learner.
type Member struct {
	// ID identifies the replica.
	ID ID
	// Voter is false for a learner, which receives the log but neither votes nor counts towards
	// a quorum.
	Voter bool
	// Address and Domain, the failure domain, are stored for the owner and not interpreted.
	Address string
	Domain  string
}

// HardState is the durable state of a replica besides its log and snapshot. It must be durable
// before the Messages of the same Ready are sent.
type HardState struct {
	// Term is the current term.
	Term uint64
	// Vote is the candidate that the replica voted for in Term, or None.
	Vote ID
	// Commit is the commit index. It may be lost in a crash, so that a change of it alone needs
	// no sync.
	Commit uint64
}

// Snapshot replaces the log up to and including Index. Data is empty in the messages of a Ready; the
// owner adds it from storage when it sends them.
type Snapshot struct {
	// Index and Term are those of the last entry that the snapshot covers.
	Index uint64
	Term  uint64
	// Members is the membership at Index.
	Members []Member
	// Data is the owner's state at Index, in a format of the owner.
	Data []byte
}

// DurableState is the durable state that a replica starts from.
type DurableState struct {
	// HardState is the last one that was persisted.
	HardState HardState
	// Snapshot is the newest persisted snapshot. Its Data is not used.
	Snapshot Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// MessageType is the kind of a Message.
type MessageType uint8

// Message types.
const (
	// MsgPreVote asks whether a vote would be granted in Term, before the sender enters that term.
	MsgPreVote MessageType = iota + 1
	// MsgPreVoteReply grants or rejects a pre-vote.
	MsgPreVoteReply
	// MsgVote is a candidate's request for a vote.
	MsgVote
	// MsgVoteReply grants or rejects a vote.
	MsgVoteReply
	// MsgAppend carries the leader's commit index and entries, if there are any to send.
	MsgAppend
	// MsgAppendReply acknowledges or rejects a MsgAppend, and acknowledges a MsgSnapshot. As a
	// rejection it also tells the sender of an older term about the current one.
	MsgAppendReply
	// MsgHeartbeat keeps up the leader's authority and confirms reads.
	MsgHeartbeat
	// MsgHeartbeatReply answers a MsgHeartbeat.
	MsgHeartbeatReply
	// MsgSnapshot carries a snapshot to a replica that needs entries which the leader has
	// compacted.
	MsgSnapshot
	// MsgTimeoutNow tells a voter to start an election at once, since the leader transfers its
	// leadership to it.
	MsgTimeoutNow
)

// Message is sent from one replica to another. Fields that its type does not use are zero.
type Message struct {
	// Type tells how the other fields are to be interpreted.
	Type MessageType
	// From is the sender, and To the receiver.
	From, To ID
	// Term is the sender's term. In a pre-vote and in a reply that grants one it is the term that
	// the sender of the pre-vote would enter.
	Term uint64
	// LogIndex and LogTerm are the index and term of the entry before Entries in an append, and of
	// the sender's last entry in a vote. In the reply to an append, LogIndex is the acknowledged
	// index or, with Reject, the one of the rejected append.
	LogIndex uint64
	LogTerm  uint64
	// Commit is the leader's commit index, in a heartbeat at most the index up to which the
	// leader knows the receiver's log to be equal.
	Commit uint64
	// Reject marks a reply as a rejection.
	Reject bool
	// HintIndex and HintTerm tell the leader, with Reject, an entry of the sender from which to
	// search for the last entry that the two logs share.
	HintIndex uint64
	HintTerm  uint64
	// Context is the number of the read round that a heartbeat belongs to. In a vote it is
	// non-zero if the leader asked for the election in a leadership transfer.
	Context uint64
	// AppendNumber is, in a heartbeat and its reply, the number of the last append that the leader sent
	// to this replica before the heartbeat.
	AppendNumber uint64
	// Silent lists, in a heartbeat, the members that have not replied to the leader for an election
	// timeout.
	Silent []MemberSilence
	// Entries are the entries of an append.
	Entries []Entry
	// Snapshot is set in a MsgSnapshot only.
	Snapshot *Snapshot
}

// ReadState answers the ReadIndex call with the same Context: the read is linearizable once the owner
// has applied the entry at Index.
type ReadState struct {
	// Context is the argument of that call.
	Context uint64
	// Index is the commit index at the time of the answer.
	Index uint64
}

// Ready is the work that the owner has to do: persist, send and apply, in this order.
type Ready struct {
	// Early holds messages of a leader that may be sent before this Ready is durable, so that the
	// leader's sync and those of the followers run at the same time.
	Early []Message
	// HardState is the state to persist.
	HardState HardState
	// MustSync is set if HardState, Entries or Snapshot have to be synced to storage.
	MustSync bool
	// AllowsAsyncWrite allows a leader to go on while Entries are being made durable: the owner may call
	// AdvanceAsync as soon as the write has started, and ReportEntriesDurable once it has ended.
	AllowsAsyncWrite bool
	// Entries are the log entries to persist. They replace persisted entries from the index of
	// the first one on.
	Entries []Entry
	// Snapshot is a received snapshot that replaces the persisted log and the applied state, or
	// nil.
	Snapshot *Snapshot
	// Messages are to be sent once this Ready is durable.
	Messages []Message
	// Committed are the committed entries to apply, in order.
	Committed []Entry
	// Reads answer calls of ReadIndex.
	Reads []ReadState
	// Role, Term and Leader are the replica's role, its term and the leader that it knows, or None.
	Role   Role
	Term   uint64
	Leader ID
}

// Role is the role of a replica in its current term.
type Role uint8

// Roles.
const (
	// Follower accepts entries from a leader and grants votes.
	Follower Role = iota
	// PreCandidate asks for pre-votes, before it enters a new term.
	PreCandidate
	// Candidate asks for votes in a new term.
	Candidate
	// Leader appends proposals to the log and replicates them.
	Leader
)

// String returns the lower-case name of the role, such as "pre-candidate".
func (r Role) String() string {
	switch r {
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	}
	return "follower"
}
