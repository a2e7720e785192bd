package control

import (
	"context"
	"time"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/retry"
	"github.com/pkg/errors"
)

// transferCheckInterval is the time between looks at a transfer that is under way.
const transferCheckInterval = 50 * time.Millisecond

// ErrNoSuccessor tells that no other voter can take the leadership.
var ErrNoSuccessor = errors.New("control: no other voter can take the leadership")

// HandOver gives the leadership to the most advanced other voter, and returns once it
// has ended here. It is safe for concurrent use.
func (c *Controller) HandOver(ctx context.Context) error {
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

// tryTransfer begins a transfer; it returns nil once another replica leads.
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
