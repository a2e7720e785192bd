package control

import (
	"context"
	"time"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/retry"
	"github.com/pkg/errors"
)

// transferCheckInterval is the time between checks of a leadership transfer that is under way.
const transferCheckInterval = 50 * time.Millisecond

// ErrNoSuccessor is returned by TransferLeadership if the group has no other voter.
var ErrNoSuccessor = errors.New("control: no other voter can take the leadership")

// TransferLeadership transfers the leadership to the other voter with the longest replicated
// log, and returns nil once this replica no longer leads or its node has stopped. It returns
// ErrNoSuccessor if there is no other voter, and the error of ctx if that ends first. It is safe
// for concurrent use.
func (c *Controller) TransferLeadership(ctx context.Context) error {
	for {
		answer := make(chan error, 1)
		if err := c.node.Post(ctx, func() { answer <- c.tryTransfer() }); err != nil {
			return err
		}
		select {
		case err := <-answer:
			if !errors.Is(err, raft.ErrTransferring) {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		case <-c.node.Done():
			return nil
		}
		if err := retry.Sleep(ctx, transferCheckInterval); err != nil {
			return err
		}
	}
}

// tryTransfer starts a transfer and returns raft.ErrTransferring while it is under way, or nil
// once this replica does not lead.
func (c *Controller) tryTransfer() error {
	if !c.leading {
		return nil
	}
	core := c.node.Raft()
	var best *raft.ReplicaStatus
	for _, r := range core.Status() {
		if r.Member.Voter && r.Member.ID != core.LeaderID() && (best == nil || r.Match > best.Match) {
			best = &r
		}
	}
	if best == nil {
		return errors.WithStack(ErrNoSuccessor)
	}
	if err := core.TransferLeadership(best.Member.ID); err != nil {
		return err
	}
	return raft.ErrTransferring
}
