package daemon

import (
	"context"
	"slices"
	"time"

	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/retry"
	"github.com/bulrushwinch/bulrushwinch/wal"
)

// memberCheckInterval is the time between checks that the group lists this replica as a member.
const memberCheckInterval = 5 * time.Second

// keepMembership joins the group again whenever the group has removed this replica, or lists it
// with another address or failure domain. It returns when ctx ends.
func (d *Daemon) keepMembership(ctx context.Context, id wal.Identity, role *replicaRole) {
	own := d.ownMember(id)
	for next := 0; retry.Sleep(ctx, memberCheckInterval) == nil; next++ {
		if isMember(ctx, role, own) {
			continue
		}
		list := d.joinAddresses()
		if d.joinAgain(ctx, role, list[next%len(list)], own) {
			d.log.Info().Uint64("replica", uint64(id.Replica)).Msg("replica joined its group again")
		}
	}
}

// joinAgain asks this process's own replica, which may lead, and then the one at an address to list this
// replica as it is now. It reports whether the group does.
func (d *Daemon) joinAgain(ctx context.Context, role *replicaRole, address string, own *peerv1.Member) bool {
	attempt, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	resp := role.controller.Join(attempt, &peerv1.JoinRequest{Group: role.group, Member: own}, role.group)
	if resp.GetStatus() == peerv1.ForwardStatus_FORWARD_STATUS_OK {
		return true
	}
	return address != d.settings.PeerAddress && d.joinVia(ctx, address, role.group, own) != 0
}

func (d *Daemon) ownMember(id wal.Identity) *peerv1.Member {
	return &peerv1.Member{Id: uint64(id.Replica), Address: d.settings.PeerAddress, FailureDomain: d.settings.FailureDomain}
}

// isMember reports whether this replica has a leader, and its membership lists it with its own
// address and failure domain. It returns true as well if the replica has stopped, or waits for space and may
// know neither the leader nor the members.
func isMember(ctx context.Context, role *replicaRole, own *peerv1.Member) bool {
	answer := make(chan bool, 1)
	err := role.node.Post(ctx, func() {
		core := role.node.Raft()
		answer <- role.node.WaitsForSpace() || core.LeaderID() != raft.None && slices.ContainsFunc(core.Members(), func(m raft.Member) bool {
			return uint64(m.ID) == own.GetId() && m.Address == own.GetAddress() && m.Domain == own.GetFailureDomain()
		})
	})
	if err != nil {
		return true
	}
	select {
	case known := <-answer:
		return known
	case <-role.node.Done():
		return true
	}
}
