package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/bulrushwinch/bulrushwinch/contain"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/peer/v1/peerv1connect"
	"github.com/rs/zerolog"
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

// A client without the cluster secret is refused before it has sent its body, which would otherwise be held for it.
func TestSecretIsCheckedBeforeTheBody(t *testing.T) {
	s := httptest.NewServer(NewHandler("the secret", peerv1connect.UnimplementedPeerServiceHandler{}, contain.NewReporter(zerolog.Nop())))
	defer s.Close()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(successTimeout))
	_, _ = io.WriteString(conn, "POST /peer.v1.PeerService/Join HTTP/1.1\r\nHost: h\r\nContent-Type: application/proto\r\nContent-Length: 100000000\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusUnauthorized {
		t.Errorf("%v, %v", resp, err)
	}
}
