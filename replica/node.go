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

// Errors that callers of a Node meet.
var (
	// ErrLost tells that leadership ended before the proposal's fate was known.
	ErrLost = errors.New("replica: leadership lost; the proposal may or may not be committed")
	// ErrStopped tells that the node no longer runs.
	ErrStopped = errors.New("replica: node has stopped")
)

// Machine is the replicated state machine. R is the result of one entry.
type Machine[R any] interface {
	// Apply applies one committed entry.
	Apply(data []byte) R
	// Capture fixes the state as it is now, quickly, and returns a function that encodes
	// it; the function runs in another goroutine while Apply goes on.
	Capture() func(w io.Writer) error
	// Restore replaces the state by what such a function has written.
	Restore(r io.Reader) error
}

// Owner acts on the control goroutine while the node runs.
type Owner interface {
	// Lead begins a leadership; all entries of earlier terms are applied.
	Lead(term uint64)
	// Follow tells that the node does not lead; leader may be unknown.
	Follow(leader raft.Member)
	// Tick is called once per tick interval.
	Tick()
	// Flush is called after each round of events, to propose what has gathered.
	Flush()
}

// Storage makes raft state durable; *wal.Log is one. StoreSnapshot and OpenSnapshot are
// called from other goroutines than the rest, and at the same time.
type Storage interface {
	// Append writes entries and the hard state and syncs them.
	Append(hard raft.HardState, entries []raft.Entry) error
	// StoreSnapshot writes and syncs a snapshot without using it yet. Any error but
	// wal.ErrFailed leaves the storage usable.
	StoreSnapshot(s raft.Snapshot, origin wal.Origin, content func(io.Writer) error) error
	// UseSnapshot takes a stored snapshot into use; a received one replaces all entries.
	UseSnapshot(s raft.Snapshot, origin wal.Origin) error
	// OpenSnapshot returns the newest snapshot and its content.
	OpenSnapshot() (raft.Snapshot, io.ReadCloser, error)
}

// Transport carries messages to other replicas.
type Transport interface {
	// Send sends messages without blocking; it may lose them.
	Send(to raft.Member, messages []raft.Message)
	// SendSnapshot sends a snapshot message and its content, and returns once the receiver
	// has stored it. It calls progress for each part that was sent.
	SendSnapshot(ctx context.Context, to raft.Member, m raft.Message, content io.Reader, progress func()) error
}

// Config holds the settings of a Node.
type Config struct {
	Raft raft.Config
	// TickInterval is the length of one raft tick.
	TickInterval time.Duration
	// SnapshotEntries is the number of applied entries after which a snapshot is taken.
	SnapshotEntries uint64
	// SnapshotBytes is the size of applied entries after which a snapshot is taken.
	SnapshotBytes int
	// KeepBytes is the amount of entry data that stays in memory after a snapshot, for
	// replicas that lag a little.
	KeepBytes int
	// QueueLength bounds waiting calls and messages.
	QueueLength int
	// Warn takes what went wrong with the storage without stopping the node. It is called on
	// the control goroutine and may be nil.
	Warn func(error)
}

// DefaultConfig suits replicas within a few milliseconds of each other.
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

// maxEventsPerRound bounds how many calls are taken before proposals are flushed.
const maxEventsPerRound = 512

// Node is one replica. Methods are for the control goroutine unless they say otherwise.
type Node[R any] struct {
	cfg       Config
	raft      *raft.Raft
	machine   Machine[R]
	owner     Owner
	storage   Storage
	transport Transport

	calls chan func()
	inbox chan []raft.Message
	done  chan struct{}

	proposals map[uint64]proposal[R]
	confirms  map[uint64]func(ok bool)
	nextRead  uint64

	applied uint64
	// durable is the newest applied index that other goroutines may read.
	durable   atomic.Uint64
	snapshots snapshots

	role   raft.Role
	term   uint64
	leader raft.ID
	// leading is set once the owner was told to lead.
	leading bool
	// leadIndex is the first entry of this leadership; Lead is called when it is applied.
	leadIndex uint64
	failure   error
	// writing is set while a leader's entries are made durable by another goroutine, in writeTerm,
	// for writeTicks so far; written brings the end of the write.
	writing    bool
	writeTerm  uint64
	writeTicks int
	written    chan error
	// ctx is that of Run; background counts the goroutines that it has to wait for.
	ctx        context.Context
	background sync.WaitGroup
}

type proposal[R any] struct {
	term uint64
	done func(R, error)
}

// New returns a node that continues from its durable state. Run must be called once.
func New[R any](cfg Config, m Machine[R], o Owner, s Storage, t Transport, from raft.Restored) (*Node[R], error) {
	r, err := raft.New(cfg.Raft, from)
	if err != nil {
		return nil, err
	}
	n := &Node[R]{cfg: cfg, raft: r, machine: m, owner: o, storage: s, transport: t,
		calls: make(chan func(), cfg.QueueLength), inbox: make(chan []raft.Message, cfg.QueueLength),
		written: make(chan error, 1),
		done:    make(chan struct{}), proposals: make(map[uint64]proposal[R]), confirms: make(map[uint64]func(bool)),
		snapshots: snapshots{sending: make(map[raft.ID]bool)},
	}
	if from.Snapshot.Index == 0 {
		return n, nil
	}
	return n, n.restore(from.Snapshot.Index)
}

// Post runs f on the control goroutine. It is safe for concurrent use and returns
// once f is queued; an error means that f will not run.
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

// Receive takes messages from other replicas, dropping them when the queue is full.
// It is safe for concurrent use.
func (n *Node[R]) Receive(messages []raft.Message) {
	select {
	case n.inbox <- messages:
	default:
	}
}

// Done is closed when the node has stopped. It is safe for concurrent use.
func (n *Node[R]) Done() <-chan struct{} { return n.done }

// Run is the control goroutine. It returns nil when ctx ends, or the storage
// failure that made it stop.
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
			n.raft.Tick()
			n.watchWrite()
			n.owner.Tick()
		case f := <-n.calls:
			f()
			n.drainCalls()
		case messages := <-n.inbox:
			n.step(messages)
			n.drainInbox()
		case err := <-n.written:
			n.endWrite(err)
		}
		n.owner.Flush()
		n.process()
	}
	return n.failure
}

func (n *Node[R]) stop() {
	close(n.done)
	n.abandon(ErrLost)
}

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

// drainInbox takes the messages that wait, so that one sync covers them all.
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
	for _, m := range messages {
		n.raft.Step(m)
	}
}

// Propose appends a command to the log; done is called on the control goroutine with
// its result, with raft.ErrNotLeader if nothing was proposed, or with ErrLost.
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
// still leads, and done(false) if it does not.
func (n *Node[R]) Confirm(done func(ok bool)) {
	n.nextRead++
	if err := n.raft.ReadIndex(n.nextRead); err != nil {
		done(false)
		return
	}
	n.confirms[n.nextRead] = done
}

// process persists, sends and applies until nothing is left to do.
func (n *Node[R]) process() {
	for n.failure == nil && n.raft.HasReady() {
		if n.writing && !n.raft.Leads(n.writeTerm) {
			// Whatever another leader wants written comes after the write that is under way.
			if n.awaitWrite(); n.failure != nil {
				return
			}
		}
		rd := n.raft.Ready()
		n.sendAll(rd.Early)
		if n.failure = n.persist(rd); n.failure != nil {
			return
		}
		n.noteRole(rd)
		n.sendAll(rd.Messages)
		if rd.Snapshot != nil {
			if n.failure = n.restore(rd.Snapshot.Index); n.failure != nil {
				return
			}
		}
		results := n.applyAll(rd.Committed)
		n.advance(rd)
		n.beginLeading()
		for _, complete := range results {
			complete()
		}
		n.completeReads(rd.Reads)
		n.maybeSnapshot()
		n.owner.Flush()
	}
}

// persist makes a Ready durable, or begins to if a leader may go on meanwhile: a sync takes as long
// as hundreds of calls.
func (n *Node[R]) persist(rd raft.Ready) error {
	if rd.Overlaps {
		n.beginWrite(rd)
		return nil
	}
	if rd.Snapshot != nil {
		if err := n.storage.UseSnapshot(*rd.Snapshot, wal.Received); err != nil {
			return err
		}
	}
	if !rd.MustSync {
		return nil
	}
	logAppends.Add(1)
	return n.storage.Append(rd.HardState, rd.Entries)
}

func (n *Node[R]) beginWrite(rd raft.Ready) {
	logAppends.Add(1)
	n.writing, n.writeTerm, n.writeTicks = true, rd.Term, 0
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		n.written <- n.storage.Append(rd.HardState, rd.Entries)
	}()
}

// watchWrite hands the leadership over when a write takes as long as a silent leader may stay
// one: its heartbeats go on, but nothing is committed.
func (n *Node[R]) watchWrite() {
	if !n.writing {
		return
	}
	n.writeTicks++
	if n.writeTicks < n.cfg.Raft.ElectionTicks || !n.raft.Leads(n.writeTerm) {
		return
	}
	if err := n.raft.HandOver(); err != nil && n.cfg.Warn != nil && n.writeTicks == n.cfg.Raft.ElectionTicks {
		n.cfg.Warn(errors.Wrap(err, "replica: the disk does not answer and no other voter can lead"))
	}
}

func (n *Node[R]) endWrite(err error) {
	n.writing = false
	if err != nil {
		n.failure = err
		return
	}
	n.raft.Written()
}

// Writing reports whether entries are being made durable; the owner's Flush is called at the end.
func (n *Node[R]) Writing() bool { return n.writing }

// awaitWrite waits for the write that is under way, if any.
func (n *Node[R]) awaitWrite() {
	if n.writing {
		n.endWrite(<-n.written)
	}
}

func (n *Node[R]) advance(rd raft.Ready) {
	if rd.Overlaps {
		n.raft.AdvanceWriting(rd)
		return
	}
	n.raft.Advance(rd)
}

// applyAll applies committed entries and returns the completions of local proposals.
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
	n.durable.Store(n.applied)
	return completions
}

// noteRole tells the owner when a leadership ends or the leader changes.
func (n *Node[R]) noteRole(rd raft.Ready) {
	changed := rd.Role != n.role || rd.Term != n.term || rd.Leader != n.leader
	if !changed {
		return
	}
	wasLeader := n.role == raft.Leader
	n.role, n.term, n.leader = rd.Role, rd.Term, rd.Leader
	if wasLeader {
		n.leading = false
		n.abandon(ErrLost)
	}
	if rd.Role == raft.Leader {
		n.leadIndex = n.raft.LastIndex()
		return
	}
	n.owner.Follow(n.member(rd.Leader))
}

// beginLeading tells the owner to lead once all entries of earlier terms are applied.
func (n *Node[R]) beginLeading() {
	if n.role == raft.Leader && !n.leading && n.applied >= n.leadIndex {
		n.leading = true
		n.owner.Lead(n.term)
	}
}

// abandon fails all waiting proposals and confirmations.
func (n *Node[R]) abandon(err error) {
	var zero R
	for index, p := range n.proposals {
		delete(n.proposals, index)
		p.done(zero, err)
	}
	for id, done := range n.confirms {
		delete(n.confirms, id)
		done(false)
	}
}

func (n *Node[R]) completeReads(reads []raft.ReadState) {
	for _, r := range reads {
		if done, ok := n.confirms[r.Context]; ok {
			delete(n.confirms, r.Context)
			done(true)
		}
	}
}

func (n *Node[R]) sendAll(messages []raft.Message) {
	byPeer := make(map[raft.ID][]raft.Message)
	for _, m := range messages {
		if m.Type == raft.MsgSnapshot {
			n.sendSnapshot(m)
			continue
		}
		byPeer[m.To] = append(byPeer[m.To], m)
	}
	for id, list := range byPeer {
		n.transport.Send(n.member(id), list)
	}
}

func (n *Node[R]) member(id raft.ID) raft.Member {
	for _, m := range n.raft.Members() {
		if m.ID == id {
			return m
		}
	}
	return raft.Member{ID: id}
}

// Raft returns the core, for status and membership changes.
func (n *Node[R]) Raft() *raft.Raft { return n.raft }

// Applied returns the index of the last applied entry.
func (n *Node[R]) Applied() uint64 { return n.applied }
