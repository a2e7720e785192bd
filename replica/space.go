package replica

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/wal"
)

// spaceRetryTicks is the number of ticks between two attempts at a write that finds no space.
const spaceRetryTicks = 4

// spaceState is the control goroutine's state of a write that waits for space.
type spaceState struct {
	// short is set from the first attempt at a write that found no space until one succeeds.
	short bool
	since time.Time
	// ticks counts the ticks since then, and silentTicks those since a leader was last heard.
	ticks, silentTicks int
}

// halted reports whether the node waits for space and must not change its raft core meanwhile: the
// core has work that must not leave the node before it is durable. A leader whose term and vote are
// durable is not halted, as it only has entries to write.
func (n *Node[R]) halted() bool {
	return n.space.short && !(n.writing && n.raft.IsLeaderIn(n.writeTerm))
}

// WaitsForSpace reports whether a write of the log waits for space. What the node knows of the group may be
// outdated then.
func (n *Node[R]) WaitsForSpace() bool { return n.space.short }

// waitForSpace begins to wait after a write that found no space, or goes on with it.
func (n *Node[R]) waitForSpace(err error) {
	logNoSpace.Add(1)
	if !n.space.short {
		n.space = spaceState{short: true, since: time.Now()}
		wal.WaitsForSpace.Add(1)
		if n.cfg.NoSpace != nil {
			n.cfg.NoSpace(err)
		}
	}
	n.giveUpLeadership()
}

// spaceReturned ends the wait for space, if there is one, after a write that succeeded.
func (n *Node[R]) spaceReturned() {
	if !n.space.short {
		return
	}
	waited := time.Since(n.space.since)
	n.space = spaceState{}
	wal.WaitsForSpace.Add(-1)
	if n.cfg.SpaceReturned != nil {
		n.cfg.SpaceReturned(waited)
	}
}

// tickWithoutSpace gives up the leadership and makes another attempt at the write when it is due.
func (n *Node[R]) tickWithoutSpace() {
	n.space.ticks++
	n.forgetSilentLeader()
	if n.giveUpLeadership(); n.space.ticks%spaceRetryTicks != 0 || n.attempting {
		return
	}
	if n.writing {
		n.runWrite()
		return
	}
	n.processReady()
}

// giveUpLeadership transfers the leadership, as nothing can be committed without space. Unless another
// voter has taken it within an election timeout, for example because all that have the whole log wait
// for space as well, it resigns, so that the others can elect one. The only voter stays leader.
func (n *Node[R]) giveUpLeadership() {
	if !n.raft.IsLeaderIn(n.raft.Term()) || n.soleVoter() {
		return
	}
	if n.space.ticks >= n.cfg.Raft.ElectionTicks {
		n.raft.Resign()
		return
	}
	// An error means that no other voter has replied yet.
	_ = n.raft.TransferToMostUpToDate()
}

// soleVoter reports whether no other replica can lead.
func (n *Node[R]) soleVoter() bool {
	for _, m := range n.raft.Members() {
		if m.Voter && m.ID != n.cfg.Raft.ID {
			return false
		}
	}
	return true
}

// endLeadership tells the owner that this replica no longer leads, although the state in which it
// follows can't be made durable yet. Nothing that must be durable follows from that.
func (n *Node[R]) endLeadership() {
	if n.role == raft.Leader && !n.raft.IsLeaderIn(n.term) {
		n.updateRole(raft.Ready{Role: raft.Follower, Term: n.raft.Term(), Leader: n.raft.LeaderID()})
	}
}

// noteLeader keeps the owner informed of the leader while messages are dropped. As far as the raft core
// is concerned, they are lost.
func (n *Node[R]) noteLeader(messages []raft.Message) {
	for _, m := range messages {
		isLeader := m.Type == raft.MsgHeartbeat || m.Type == raft.MsgAppend
		if !isLeader || m.To != n.cfg.Raft.ID || m.Term < n.term {
			continue
		}
		n.space.silentTicks = 0
		if m.Term != n.term || m.From != n.leader {
			n.updateRole(raft.Ready{Role: raft.Follower, Term: m.Term, Leader: m.From})
		}
	}
}

// forgetSilentLeader tells the owner that there is no known leader once none was heard for an election
// timeout, so that no calls are passed on to it.
func (n *Node[R]) forgetSilentLeader() {
	if !n.halted() {
		return
	}
	n.space.silentTicks++
	if n.space.silentTicks == n.cfg.Raft.ElectionTicks && n.leader != raft.None {
		n.updateRole(raft.Ready{Role: raft.Follower, Term: n.term, Leader: raft.None})
	}
}
