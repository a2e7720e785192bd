package replica

import (
	"context"
	"io"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/wal"
	"github.com/pkg/errors"
)

// snapshots is the control goroutine's state of snapshots.
type snapshots struct {
	// newest is the index of the newest installed snapshot.
	newest uint64
	// lastAttempt is the index at which a snapshot was last captured, even if storing it failed,
	// or restored.
	lastAttempt uint64
	// bytes is the size of the entries applied since lastAttempt.
	bytes int
	// storing is set while a snapshot is being encoded and stored.
	storing bool
	// sending holds the replicas to which a snapshot is being sent.
	sending map[raft.ID]bool
}

// restore replaces the state machine's state by the newest snapshot, which must be at index.
func (n *Node[R]) restore(index uint64) error {
	s, content, err := n.storage.OpenSnapshot()
	if err != nil {
		return err
	}
	err = n.machine.Restore(content)
	if closeErr := content.Close(); err == nil {
		err = closeErr
	}
	if err == nil && s.Index != index {
		err = errors.Errorf("replica: the newest snapshot is at index %d, expected index %d", s.Index, index)
	}
	n.applied, n.snapshots.newest, n.snapshots.lastAttempt = index, index, index
	n.publishedApplied.Store(index)
	return err
}

// maybeSnapshot starts a snapshot if SnapshotEntries or SnapshotBytes have been applied since the
// last one. The control goroutine only captures the state; another one encodes and stores it.
func (n *Node[R]) maybeSnapshot() {
	due := n.applied-n.snapshots.lastAttempt >= n.cfg.SnapshotEntries || n.snapshots.bytes >= n.cfg.SnapshotBytes
	if !due || n.snapshots.storing {
		return
	}
	s, err := n.raft.SnapshotMeta(n.applied)
	if err != nil {
		return
	}
	n.snapshots.lastAttempt, n.snapshots.bytes, n.snapshots.storing = n.applied, 0, true
	write := n.machine.Capture()
	ctx := n.ctx
	n.inBackground(func() func() {
		err := n.storage.StoreSnapshot(s, wal.Local, func(w io.Writer) error { return write(contextWriter{ctx, w}) })
		return func() { n.finishLocalSnapshot(s, err) }
	})
}

// contextWriter fails once ctx has ended.
type contextWriter struct {
	ctx context.Context
	w   io.Writer
}

// Write implements io.Writer.
func (s contextWriter) Write(p []byte) (int, error) {
	if err := s.ctx.Err(); err != nil {
		return 0, err
	}
	return s.w.Write(p)
}

// inBackground runs work in another goroutine, and then the function that work returns on the
// control goroutine.
func (n *Node[R]) inBackground(work func() func()) {
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		// An error means that the node has stopped and needs no result.
		_ = n.Post(n.ctx, work())
	}()
}

// finishLocalSnapshot installs a stored snapshot of this replica's state, unless a newer one from
// the leader was installed meanwhile. If storing it has failed, it handles err.
func (n *Node[R]) finishLocalSnapshot(s raft.Snapshot, err error) {
	n.snapshots.storing = false
	if err != nil {
		n.handleSnapshotError(errors.Wrapf(err, "replica: store snapshot at index %d", s.Index))
		return
	}
	if s.Index <= n.snapshots.newest {
		return
	}
	if n.awaitWrite(); n.failure != nil {
		return
	}
	if n.failure = n.storage.UseSnapshot(s, wal.Local); n.failure != nil {
		return
	}
	n.snapshots.newest = s.Index
	snapshotsStored.Add(1)
	if err := n.raft.Compact(&s, n.cfg.KeepBytes); err != nil {
		panic("replica: " + err.Error())
	}
}

// handleSnapshotError stops the node if its storage has failed or is corrupt. After any other
// error the node can continue without the snapshot, so it only warns.
func (n *Node[R]) handleSnapshotError(err error) {
	snapshotsFailed.Add(1)
	if errors.Is(err, wal.ErrFailed) || errors.Is(err, wal.ErrCorrupt) {
		n.failure = err
		return
	}
	if n.cfg.Warn != nil && n.ctx.Err() == nil {
		n.cfg.Warn(err)
	}
}

// sendSnapshot starts to send the newest snapshot to a replica, unless one is being sent to it
// already.
func (n *Node[R]) sendSnapshot(m raft.Message) {
	if n.snapshots.sending[m.To] {
		return
	}
	n.snapshots.sending[m.To] = true
	to := n.member(m.To)
	ctx := n.ctx
	n.inBackground(func() func() {
		err := n.transferSnapshot(ctx, to, m)
		return func() {
			delete(n.snapshots.sending, m.To)
			if err != nil {
				n.raft.ReportSnapshotFailed(m.To)
				n.handleSnapshotError(errors.Wrapf(err, "replica: send snapshot to %s", to.Address))
				return
			}
			snapshotsSent.Add(1)
		}
	})
}

// transferSnapshot sends the newest snapshot and reports its progress to the raft core.
func (n *Node[R]) transferSnapshot(ctx context.Context, to raft.Member, m raft.Message) error {
	s, content, err := n.storage.OpenSnapshot()
	if err != nil {
		return err
	}
	defer func() { _ = content.Close() }()
	m.Snapshot = &s
	progress := func() {
		_ = n.Post(ctx, func() { n.raft.ReportSnapshotProgress(m.To) })
	}
	return n.transport.SendSnapshot(ctx, to, m, content, progress)
}

// ReceiveSnapshot stores a snapshot from the leader, whose content the given function writes,
// and then queues the message that announced it, as Receive does. It stores nothing if the
// node has already applied the entries that the snapshot covers. It is safe for concurrent use.
func (n *Node[R]) ReceiveSnapshot(m raft.Message, content func(io.Writer) error) error {
	if m.Type != raft.MsgSnapshot || m.Snapshot == nil {
		return errors.New("replica: not a snapshot message")
	}
	if m.Snapshot.Index > n.publishedApplied.Load() {
		if err := n.storage.StoreSnapshot(*m.Snapshot, wal.Received, content); err != nil {
			_ = n.Post(context.Background(), func() { n.handleSnapshotError(err) })
			return err
		}
	}
	snapshotsReceived.Add(1)
	n.Receive([]raft.Message{m})
	return nil
}
