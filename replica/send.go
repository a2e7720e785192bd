package replica

import "github.com/bulrushwinch/bulrushwinch/raft"

// sendAll sends messages in one batch per replica, and snapshots in other goroutines.
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

// member returns a member of the group, or a Member with nothing but the ID if there is none.
func (n *Node[R]) member(id raft.ID) raft.Member {
	for _, m := range n.raft.Members() {
		if m.ID == id {
			return m
		}
	}
	return raft.Member{ID: id}
}
