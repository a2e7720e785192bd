package replica

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/wal"
	"github.com/pkg/errors"
)

// Errors returned by a Node.
var (
	// ErrLost reports that leadership ended before the outcome of a proposal was known.
	ErrLost = errors.New("replica: leadership lost; the proposal may or may not be committed")
	// ErrStopped reports that the node has stopped.
	ErrStopped = errors.New("replica: node has stopped")
)

// Machine is the replicated state machine. R is the result of applying one entry. Run calls
// all methods on the control goroutine; New may call Restore before.
type Machine[R any] interface {
	// Apply applies one committed entry.
	Apply(data []byte) R
	// Capture quickly fixes the current state and returns a function that encodes it. The
	// function runs in another goroutine while Apply continues.
	Capture() func(w io.Writer) error
	// Restore replaces the state by one that a function from Capture has encoded.
	Restore(r io.Reader) error
}

// Owner is notified of events of the node. All methods are called on the control goroutine.
type Owner interface {
	// Lead is called once the node leads in term and has applied all entries of earlier terms.
	Lead(term uint64)
	// Follow is called when the node does not lead and its role, its term or the leader that it
	// knows has changed. The ID of leader is raft.None if there is no known leader.
	Follow(leader raft.Member)
	// Tick is called once per tick interval.
	Tick()
	// Flush is called after each round of events, to propose what has been batched.
	Flush()
}

// Storage makes raft state durable; *wal.Log implements it. StoreSnapshot and OpenSnapshot are
// called from other goroutines, concurrently with the other methods.
type Storage interface {
	// Append writes entries and the hard state and syncs them. After wal.ErrNoSpace nothing of them is
	// kept and the call is made again later; after any other error the node stops.
	Append(hard raft.HardState, entries []raft.Entry) error
	// StoreSnapshot writes and syncs a snapshot without installing it. Any error but
	// wal.ErrFailed leaves the storage usable.
	StoreSnapshot(s raft.Snapshot, origin wal.Origin, content func(io.Writer) error) error
	// UseSnapshot installs a stored snapshot; a received one replaces all entries. It fails as Append
	// does, and may also be called again after it has succeeded.
	UseSnapshot(s raft.Snapshot, origin wal.Origin) error
	// OpenSnapshot returns the newest snapshot and its content.
	OpenSnapshot() (raft.Snapshot, io.ReadCloser, error)
}

// Transport carries messages to other replicas.
type Transport interface {
	// Send sends messages without blocking; they may be lost.
	Send(to raft.Member, messages []raft.Message)
	// SendSnapshot sends a snapshot message and its content, and returns once the receiver
	// has stored it. It calls progress after each part that it has sent.
	SendSnapshot(ctx context.Context, to raft.Member, m raft.Message, content io.Reader, progress func()) error
}

// Config holds the settings of a Node.
type Config struct {
	// Raft holds the settings of the raft core.
	Raft raft.Config
	// TickInterval is the length of one raft tick.
	TickInterval time.Duration
	// SnapshotEntries is the number of applied entries after which a snapshot is written.
	SnapshotEntries uint64
	// SnapshotBytes is the size of applied entries, in bytes, after which a snapshot is written.
	SnapshotBytes int
	// KeepBytes is the maximum size of entries, in bytes, that stay in memory after a snapshot, so that
	// replicas that lag a little can catch up without one.
	KeepBytes int
	// QueueLength is the capacity of the queue of posted functions and of the queue of received
	// message batches.
	QueueLength int
	// Warn is called on the control goroutine with errors, mainly of snapshots, that do not stop
	// the node. It may be nil.
	Warn func(error)
	// NoSpace is called on the control goroutine when a write of the log finds no space, and
	// SpaceReturned once it has succeeded, with the time between. They may be nil.
	NoSpace       func(error)
	SpaceReturned func(waited time.Duration)
}

// DefaultConfig returns settings for replicas whose network latency is a few milliseconds. The
// seed randomizes election timeouts.
func DefaultConfig(id raft.ID, seed uint64) Config {
	return Config{
		Raft: raft.Config{ID: id, ElectionTicks: 12, HeartbeatTicks: 2, MaxInflight: 64,
			MaxAppendBytes: 1 << 20, Seed: seed},
		TickInterval:    50 * time.Millisecond,
		SnapshotEntries: 20_000,
		SnapshotBytes:   64 << 20,
		KeepBytes:       8 << 20,
		QueueLength:     4096,
	}
}

// maxEventsPerRound is how many more posted functions or message batches are processed after
// the first one before proposals are flushed.
const maxEventsPerRound = 512

// Node is one replica. Its methods must be called on the control goroutine unless their comment
// says otherwise.
type Node[R any] struct {
	cfg       Config
	raft      *raft.Raft
	machine   Machine[R]
	owner     Owner
	storage   Storage
	transport Transport

	// calls and inbox hold posted functions and received messages; done is closed at the end of Run.
	calls chan func()
	inbox chan []raft.Message
	done  chan struct{}

	// proposals holds the local proposals that are not applied yet, by index.
	proposals map[uint64]proposal[R]
	// confirmations holds the callbacks of pending leadership confirmations, by the context of
	// their read request. lastReadID is the last such context.
	confirmations map[uint64]func(ok bool)
	lastReadID    uint64

	// applied is the index of the last applied entry.
	applied uint64
	// publishedApplied is the applied index for other goroutines, which must not read applied.
	publishedApplied atomic.Uint64
	// publishedMembers is the newest committed membership for other goroutines; nil until one is known.
	publishedMembers atomic.Pointer[[]raft.Member]
	snapshots        snapshots

	role   raft.Role
	term   uint64
	leader raft.ID
	// leadNotified is set once Owner.Lead was called in this leadership.
	leadNotified bool
	// leadIndex is the index of the first entry of this leadership. Lead is called once it is applied.
	leadIndex uint64
	// failure is the error that stops the node.
	failure error
	// writing is set while a leader's entries are made durable. The write, of the entries and the hard
	// state in write, started in writeTerm, writeTicks ticks ago. While attempting is set, another
	// goroutine makes an attempt, whose result arrives on writeDone.
	writing    bool
	write      raft.Ready
	writeTerm  uint64
	writeTicks int
	attempting bool
	writeDone  chan error
	space      spaceState
	// ctx is the context of Run; background counts the goroutines that Run waits for.
	ctx        context.Context
	background sync.WaitGroup
}

// proposal is a local proposal and the term in which it was made.
type proposal[R any] struct {
	term uint64
	done func(R, error)
}

// New returns a node that continues from its durable state, and restores the state machine from
// the newest snapshot if there is one. Run must be called once.
func New[R any](cfg Config, m Machine[R], o Owner, s Storage, t Transport, from raft.DurableState) (*Node[R], error) {
	r, err := raft.New(cfg.Raft, from)
	if err != nil {
		return nil, err
	}
	n := &Node[R]{cfg: cfg, raft: r, machine: m, owner: o, storage: s, transport: t,
		calls: make(chan func(), cfg.QueueLength), inbox: make(chan []raft.Message, cfg.QueueLength),
		writeDone: make(chan error, 1),
		done:      make(chan struct{}), proposals: make(map[uint64]proposal[R]), confirmations: make(map[uint64]func(bool)),
		snapshots: snapshots{sending: make(map[raft.ID]bool)},
	}
	if from.Snapshot.Index == 0 {
		return n, nil
	}
	return n, n.restore(from.Snapshot.Index)
}

// Post queues f to run on the control goroutine and returns once it is queued. It is safe for
// concurrent use. An error means that f will not run: it is ErrStopped, or that of ctx. Without
// an error, f still does not run if the node stops first.
func (n *Node[R]) Post(ctx context.Context, f func()) error {
	select {
	case <-n.done:
		return ErrStopped
	default:
	}
	select {
	case n.calls <- f:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.done:
		return ErrStopped
	}
}

// Receive queues messages from other replicas, and drops them if the queue is full. It is safe
// for concurrent use.
func (n *Node[R]) Receive(messages []raft.Message) {
	select {
	case n.inbox <- messages:
	default:
	}
}

// Done returns a channel that is closed when the node has stopped. It is safe for concurrent use.
func (n *Node[R]) Done() <-chan struct{} { return n.done }

// Run is the control goroutine. It returns nil when ctx ends, or the storage failure that
// stopped the node.
func (n *Node[R]) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	n.ctx = ctx
	ticker := time.NewTicker(n.cfg.TickInterval)
	defer ticker.Stop()
	defer n.background.Wait()
	defer n.stop()
	defer cancel()
	n.process()
	for n.failure == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.tick()
		case f := <-n.calls:
			f()
			n.drainCalls()
		case messages := <-n.inbox:
			n.step(messages)
			n.drainInbox()
		case err := <-n.writeDone:
			n.finishWrite(err)
		}
		n.owner.Flush()
		n.process()
	}
	return n.failure
}

func (n *Node[R]) tick() {
	if !n.halted() {
		n.raft.Tick()
	}
	n.checkStalledWrite()
	if n.space.short {
		n.tickWithoutSpace()
	}
	n.publishMembers()
	n.owner.Tick()
}

func (n *Node[R]) stop() {
	if n.space.short {
		wal.WaitsForSpace.Add(-1)
	}
	close(n.done)
	n.failPending(ErrLost)
}

// drainCalls runs the functions that are queued already, so that their proposals are flushed
// together.
func (n *Node[R]) drainCalls() {
	for range maxEventsPerRound {
		select {
		case f := <-n.calls:
			f()
		default:
			return
		}
	}
}

// drainInbox processes the messages that are queued already, so that one sync covers them all.
func (n *Node[R]) drainInbox() {
	for range maxEventsPerRound {
		select {
		case messages := <-n.inbox:
			n.step(messages)
		default:
			return
		}
	}
}

func (n *Node[R]) step(messages []raft.Message) {
	if n.halted() {
		n.noteLeader(messages)
		return
	}
	for _, m := range messages {
		n.raft.Step(m)
	}
}

// Propose appends a command to the log. It calls done on the control goroutine: with the result
// of the command, with an error of the raft core such as raft.ErrNotLeader if nothing was
// proposed, or with ErrLost if leadership or the node ended before the outcome was known.
func (n *Node[R]) Propose(data []byte, done func(R, error)) {
	index, err := n.raft.Propose(data)
	if err != nil {
		var zero R
		done(zero, err)
		return
	}
	n.proposals[index] = proposal[R]{n.raft.Term(), done}
}

// Confirm calls done(true) once a quorum has confirmed, after this call, that the node
// still leads, and done(false) if the node does not lead, or loses leadership or stops first.
func (n *Node[R]) Confirm(done func(ok bool)) {
	n.lastReadID++
	if err := n.raft.ReadIndex(n.lastReadID); err != nil {
		done(false)
		return
	}
	n.confirmations[n.lastReadID] = done
}

// process does what processReady does, unless the node waits for space.
func (n *Node[R]) process() {
	if n.halted() {
		n.endLeadership()
		return
	}
	n.processReady()
}

// processReady persists, sends and applies what the raft core has ready, until nothing is left or there
// is no space.
func (n *Node[R]) processReady() {
	for n.failure == nil && n.raft.HasReady() {
		if n.writing && !n.raft.IsLeaderIn(n.writeTerm) {
			// The node no longer leads in writeTerm: whatever has to be written now must come after
			// the write in progress.
			if n.awaitWrite(); n.failure != nil {
				return
			}
			if n.writing {
				n.endLeadership()
				return
			}
		}
		rd := n.raft.Ready()
		n.sendAll(rd.Early)
		if err := n.persist(rd); err != nil {
			n.handleWriteError(err)
			return
		}
		if rd.MustSync && !n.writing {
			n.spaceReturned()
		}
		n.updateRole(rd)
		n.sendAll(rd.Messages)
		if rd.Snapshot != nil {
			if n.failure = n.restore(rd.Snapshot.Index); n.failure != nil {
				return
			}
		}
		results := n.applyAll(rd.Committed)
		n.advance(rd)
		n.notifyLeading()
		for _, complete := range results {
			complete()
		}
		n.completeConfirmations(rd.Reads)
		n.maybeSnapshot()
		n.owner.Flush()
	}
}

// handleWriteError stops the node after a failed write. Without space the work of the Ready is not done,
// so that the next Ready contains it again.
func (n *Node[R]) handleWriteError(err error) {
	if !errors.Is(err, wal.ErrNoSpace) {
		n.failure = err
		return
	}
	n.waitForSpace(err)
	n.endLeadership()
}

func (n *Node[R]) advance(rd raft.Ready) {
	if rd.AllowsAsyncWrite {
		n.raft.AdvanceAsync(rd)
		return
	}
	n.raft.Advance(rd)
}

// applyAll applies committed entries. It returns the callbacks of local proposals, for the
// caller to run afterwards.
func (n *Node[R]) applyAll(entries []raft.Entry) []func() {
	var completions []func()
	for _, e := range entries {
		n.applied = e.Index
		n.snapshots.bytes += len(e.Data)
		if e.Type != raft.EntryNormal || len(e.Data) == 0 {
			continue
		}
		result := n.machine.Apply(e.Data)
		p, ok := n.proposals[e.Index]
		if !ok {
			continue
		}
		delete(n.proposals, e.Index)
		if p.term != e.Term {
			completions = append(completions, func() { var zero R; p.done(zero, ErrLost) })
			continue
		}
		completions = append(completions, func() { p.done(result, nil) })
	}
	n.publishedApplied.Store(n.applied)
	return completions
}

// updateRole notes a change of role, term or leader. It fails pending proposals when a leadership
// ends and calls Owner.Follow unless the node leads.
func (n *Node[R]) updateRole(rd raft.Ready) {
	changed := rd.Role != n.role || rd.Term != n.term || rd.Leader != n.leader
	if !changed {
		return
	}
	wasLeader := n.role == raft.Leader
	n.role, n.term, n.leader = rd.Role, rd.Term, rd.Leader
	if wasLeader {
		n.leadNotified = false
		n.failPending(ErrLost)
	}
	if rd.Role == raft.Leader {
		n.leadIndex = n.raft.LastIndex()
		return
	}
	n.owner.Follow(n.member(rd.Leader))
}

// notifyLeading calls Owner.Lead once all entries of earlier terms are applied.
func (n *Node[R]) notifyLeading() {
	if n.role == raft.Leader && !n.leadNotified && n.applied >= n.leadIndex {
		n.leadNotified = true
		n.owner.Lead(n.term)
	}
}

// failPending ends all pending proposals with err and all pending confirmations with false.
func (n *Node[R]) failPending(err error) {
	var zero R
	for index, p := range n.proposals {
		delete(n.proposals, index)
		p.done(zero, err)
	}
	for id, done := range n.confirmations {
		delete(n.confirmations, id)
		done(false)
	}
}

// completeConfirmations runs the callbacks of confirmed reads.
func (n *Node[R]) completeConfirmations(reads []raft.ReadState) {
	for _, r := range reads {
		if done, ok := n.confirmations[r.Context]; ok {
			delete(n.confirmations, r.Context)
			done(true)
		}
	}
}

// Raft returns the raft core, for its status and for membership changes.
func (n *Node[R]) Raft() *raft.Raft { return n.raft }

// Applied returns the index of the last applied entry.
func (n *Node[R]) Applied() uint64 { return n.applied }
