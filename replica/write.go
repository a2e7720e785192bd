package replica

import (
	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/wal"
	"github.com/pkg/errors"
)

// persist makes a Ready durable. It only starts the write if the leader may continue meanwhile,
// because a sync takes as long as hundreds of calls.
func (n *Node[R]) persist(rd raft.Ready) error {
	if rd.AllowsAsyncWrite {
		n.startWrite(rd)
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

// startWrite starts to write the entries and the hard state of a Ready in another goroutine.
func (n *Node[R]) startWrite(rd raft.Ready) {
	logAppends.Add(1)
	n.writing, n.writeTerm, n.writeTicks = true, rd.Term, 0
	n.write = rd
	n.runWrite()
}

// runWrite makes one attempt at the write that startWrite has started.
func (n *Node[R]) runWrite() {
	hard, entries := n.write.HardState, n.write.Entries
	n.attempting = true
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		n.writeDone <- n.storage.Append(hard, entries)
	}()
}

// checkStalledWrite transfers leadership away once a write has taken ElectionTicks, the time
// after which followers replace a silent leader. They don't replace this one, because its
// heartbeats continue, but nothing is committed.
func (n *Node[R]) checkStalledWrite() {
	if !n.writing || n.space.short {
		return
	}
	n.writeTicks++
	if n.writeTicks < n.cfg.Raft.ElectionTicks || !n.raft.IsLeaderIn(n.writeTerm) {
		return
	}
	if err := n.raft.TransferToMostUpToDate(); err != nil && n.cfg.Warn != nil && n.writeTicks == n.cfg.Raft.ElectionTicks {
		n.cfg.Warn(errors.Wrap(err, "replica: log write exceeds the election timeout and leadership can't be transferred"))
	}
}

// finishWrite handles the result of an attempt at the write that startWrite has started. Without space
// the write stays in progress until a later attempt succeeds.
func (n *Node[R]) finishWrite(err error) {
	n.attempting = false
	if errors.Is(err, wal.ErrNoSpace) {
		n.waitForSpace(err)
		return
	}
	n.writing, n.write = false, raft.Ready{}
	if err != nil {
		n.failure = err
		return
	}
	n.spaceReturned()
	n.raft.ReportEntriesDurable()
}

// Writing reports whether another goroutine is writing entries, or waits for space to write them.
// Owner.Flush is called when the write ends.
func (n *Node[R]) Writing() bool { return n.writing }

// awaitWrite waits for the attempt at a write that is in progress, if any.
func (n *Node[R]) awaitWrite() {
	if n.attempting {
		n.finishWrite(<-n.writeDone)
	}
}
