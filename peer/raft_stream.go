package peer

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
)

// defaultAckTimeout is how long a stream may leave a batch unacknowledged before it is given up.
const defaultAckTimeout = 2 * time.Second

// raftStream carries batches to one replica, in order, without waiting for each to be
// acknowledged. A stream that has gone silent is closed together with its connection, so
// that the next one uses a new connection. What it carried is lost; raft sends it again.
type raftStream struct {
	conn       *Conn
	stream     *connect.BidiStreamForClient[peerv1.RaftBatch, peerv1.RaftAck]
	ctx        context.Context
	cancel     context.CancelFunc
	ackTimeout time.Duration
	// reading is closed when the reader of acknowledgements has returned.
	reading chan struct{}

	mu      sync.Mutex
	unacked int
	silence *time.Timer
}

func openRaftStream(ctx context.Context, conn *Conn, ackTimeout time.Duration) *raftStream {
	ctx, cancel := context.WithCancel(ctx)
	s := &raftStream{conn: conn, ctx: ctx, cancel: cancel, ackTimeout: ackTimeout, stream: conn.Raft(ctx), reading: make(chan struct{})}
	s.silence = time.AfterFunc(ackTimeout, s.giveUp)
	s.silence.Stop()
	go s.readAcks()
	return s
}

// giveUp ends a silent stream.
func (s *raftStream) giveUp() {
	s.conn.TimedOut(time.Now().Add(-s.ackTimeout))
	s.cancel()
}

func (s *raftStream) readAcks() {
	defer close(s.reading)
	defer s.cancel()
	for {
		if _, err := s.stream.Receive(); err != nil {
			return
		}
		s.acked()
	}
}

func (s *raftStream) acked() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unacked--
	s.silence.Reset(s.ackTimeout)
	if s.unacked <= 0 {
		s.silence.Stop()
	}
}

// send sends a batch; on an error the stream has ended.
func (s *raftStream) send(batch *peerv1.RaftBatch) {
	s.mu.Lock()
	if s.unacked == 0 {
		s.silence.Reset(s.ackTimeout)
	}
	s.unacked++
	s.mu.Unlock()
	if err := s.stream.Send(batch); err != nil {
		s.cancel()
	}
}

// ended reports whether a new stream is needed.
func (s *raftStream) ended() bool { return s == nil || s.ctx.Err() != nil }

// closeTimeout is how long the reader of a cancelled stream may take to return.
const closeTimeout = time.Second

// close ends the stream and returns when its goroutine has. If the end of the context
// does not reach the reader, the connection below it is closed.
func (s *raftStream) close() {
	if s == nil {
		return
	}
	s.cancel()
	s.silence.Stop()
	_ = s.stream.CloseRequest()
	select {
	case <-s.reading:
	case <-time.After(closeTimeout):
		s.conn.guard.CloseSilent(time.Now())
		<-s.reading
	}
	_ = s.stream.CloseResponse()
}

// ServeRaftStream hands each batch of a stream to handle and acknowledges it.
func ServeRaftStream(stream *connect.BidiStream[peerv1.RaftBatch, peerv1.RaftAck], handle func(*peerv1.RaftBatch)) error {
	for {
		batch, err := stream.Receive()
		if err != nil {
			return err
		}
		handle(batch)
		if err := stream.Send(&peerv1.RaftAck{}); err != nil {
			return err
		}
	}
}
