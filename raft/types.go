package raft

import "github.com/pkg/errors"

// ID identifies a replica; it belongs to one data folder for ever. Zero is no replica.
type ID uint64

// None is the absent replica.
const None ID = 0

// Errors returned to the owner of a Raft.
var (
	// ErrNotLeader is returned for proposals and reads on a replica that does not lead.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrChangePending is returned while an earlier membership change is uncommitted.
	ErrChangePending = errors.New("raft: a membership change is pending")
	// ErrBadChange is returned for a membership change that the group can't take.
	ErrBadChange = errors.New("raft: membership change does not apply")
	// ErrTransferring is returned for proposals while leadership is being handed over.
	ErrTransferring = errors.New("raft: leadership transfer in progress")
	// ErrNotApplied is returned for a snapshot of entries that are not applied yet.
	ErrNotApplied = errors.New("raft: index is not applied")
	// ErrCompacted is returned when a requested index precedes the log.
	ErrCompacted = errors.New("raft: index is compacted")
)

// EntryType tells what an Entry carries.
type EntryType uint8

// Entry types.
const (
	// EntryNormal carries a command of the owner; empty data marks a new term.
	EntryNormal EntryType = iota
	// EntryMembers carries the whole membership after one change.
	EntryMembers
)

// Entry is one position of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Type  EntryType
	Data  []byte
}

// Member is one replica of the group.
type Member struct {
	ID    ID
	Voter bool
	// Address and Domain are carried for the owner and not interpreted.
	Address string
	Domain  string
}

// HardState must be durable before any message of the same Ready is sent.
type HardState struct {
	Term   uint64
	Vote   ID
	Commit uint64
}

// Snapshot replaces the log up to and including Index. In messages that a leader sends
// Data is empty; the owner adds it from storage on the way out.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members []Member
	Data    []byte
}

// Restored is the durable state that a replica starts from.
type Restored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// MessageType tells the kind of a Message.
type MessageType uint8

// Message types.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgHeartbeat
	MsgHeartbeatReply
	MsgSnapshot
	MsgTimeoutNow
)

// Message travels between replicas. Fields that a type does not use are zero.
type Message struct {
	Type     MessageType
	From, To ID
	Term     uint64
	// LogIndex and LogTerm are the position before Entries, or the sender's last position.
	LogIndex uint64
	LogTerm  uint64
	Commit   uint64
	Reject   bool
	// HintIndex and HintTerm help the leader find the point where logs part.
	HintIndex uint64
	HintTerm  uint64
	// Context pairs heartbeats with read requests; in votes it is non-zero for a forced election.
	Context uint64
	// Number pairs heartbeats and their replies with the last append sent before them.
	Number   uint64
	Entries  []Entry
	Snapshot *Snapshot
}

// ReadState answers a ReadIndex call: reads are current once Index is applied.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready is what the owner has to persist, send and apply, in this order.
type Ready struct {
	// Early holds messages of a leader that need not wait until this Ready is durable:
	// they may be sent before, so that the leader's sync overlaps those of the followers.
	Early     []Message
	HardState HardState
	// MustSync is set when HardState, Entries or Snapshot have to be synced.
	MustSync bool
	// Overlaps is set when a leader may be stepped on while Entries are made durable: the owner
	// may call AdvanceWriting at once, and Written later.
	Overlaps  bool
	Entries   []Entry
	Snapshot  *Snapshot
	Messages  []Message
	Committed []Entry
	Reads     []ReadState
	// Role, Term and Leader are the replica's view after this step.
	Role   Role
	Term   uint64
	Leader ID
}

// Role is the part that a replica plays in its term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
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
