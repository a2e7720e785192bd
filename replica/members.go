package replica

import "github.com/bulrushwinch/bulrushwinch/raft"

// publishMembers makes the membership visible to other goroutines once it is committed.
func (n *Node[R]) publishMembers() {
	if n.raft.MembersCommitted() {
		members := n.raft.Members()
		n.publishedMembers.Store(&members)
	}
}

// Members returns the newest membership that this replica knows to be committed, or nil before the first tick. It
// is safe for concurrent use.
func (n *Node[R]) Members() []raft.Member {
	if m := n.publishedMembers.Load(); m != nil {
		return *m
	}
	return nil
}
