package peer

import (
	"context"
	"testing"

	"connectrpc.com/connect"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
)

// TestWrongSecretIsRefused calls each kind of RPC with a wrong secret. The called handlers are
// not implemented, so a call that passes the check ends with another code.
func TestWrongSecretIsRefused(t *testing.T) {
	_, relay := serve(t)
	p := NewPool("another secret", nil)
	defer p.Close()
	c := p.Get(relay.Address())
	calls := map[string]func(ctx context.Context) error{
		"unary": func(ctx context.Context) error {
			_, err := c.Join(ctx, connect.NewRequest(&peerv1.JoinRequest{}))
			return err
		},
		"stream in both directions": func(ctx context.Context) error {
			stream := c.Raft(ctx)
			defer func() { _ = stream.CloseRequest() }()
			// Send reports only that the stream has ended; Receive returns the cause.
			_ = stream.Send(&peerv1.RaftBatch{})
			_, err := stream.Receive()
			return err
		},
		"stream of a client": func(ctx context.Context) error {
			stream := c.SendSnapshot(ctx)
			_, err := stream.CloseAndReceive()
			return err
		},
	}
	for name, call := range calls {
		ctx, cancel := context.WithTimeout(t.Context(), successTimeout)
		if code := connect.CodeOf(call(ctx)); code != connect.CodeUnauthenticated {
			t.Errorf("%s: %v", name, code)
		}
		cancel()
	}
}
