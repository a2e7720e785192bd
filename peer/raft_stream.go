package peer

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
)

// defaultAckTimeout is the time without an acknowledgement after which a stream with
// unacknowledged batches is closed.
const defaultAckTimeout = 2 * time.Second

// raftStream carries batches to one replica, in order, without waiting for the acknowledgement
// of each. A stream without acknowledgements is closed together with its connection, so that
// the next one uses a new connection. Unacknowledged batches are lost; raft resends them.
type raftStream struct {
	conn       *Conn
	stream     *connect.BidiStreamForClient[peerv1.RaftBatch, peerv1.RaftAck]
	ctx        context.Context
	cancel     context.CancelFunc
	ackTimeout time.Duration
	// readerDone is closed when the reader of acknowledgements has returned.
	readerDone chan struct{}

	mu       sync.Mutex
	unacked  int
	ackTimer *time.Timer
}

func openRaftStream(ctx context.Context, conn *Conn, ackTimeout time.Duration) *raftStream {
	ctx, cancel := context.WithCancel(ctx)
	s := &raftStream{conn: conn, ctx: ctx, cancel: cancel, ackTimeout: ackTimeout, stream: conn.Raft(ctx), readerDone: make(chan struct{})}
	s.ackTimer = time.AfterFunc(ackTimeout, s.abort)
	s.ackTimer.Stop()
	go s.readAcks()
	return s
}

// abort closes a stream without acknowledgements, and its connection.
func (s *raftStream) abort() {
	s.conn.TimedOut(time.Now().Add(-s.ackTimeout))
	s.cancel()
}

func (s *raftStream) readAcks() {
	defer close(s.readerDone)
	defer s.cancel()
	for {
		if _, err := s.stream.Receive(); err != nil {
			return
		}
		s.recordAck()
	}
}

func (s *raftStream) recordAck() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unacked--
	s.ackTimer.Reset(s.ackTimeout)
	if s.unacked <= 0 {
		s.ackTimer.Stop()
	}
}

// send sends a batch; an error ends the stream.
func (s *raftStream) send(batch *peerv1.RaftBatch) {
	s.mu.Lock()
	if s.unacked == 0 {
		s.ackTimer.Reset(s.ackTimeout)
	}
	s.unacked++
	s.mu.Unlock()
	if err := s.stream.Send(batch); err != nil {
		s.cancel()
	}
}

// ended reports whether a new stream is needed.
func (s *raftStream) ended() bool { return s == nil || s.ctx.Err() != nil }

// closeTimeout is the time that the reader of a cancelled stream has to return before its
// connection is closed.
const closeTimeout = time.Second

// close closes the stream and returns once its reader has returned. If cancelling the context
// does not end the reader, close closes the connection.
func (s *raftStream) close() {
	if s == nil {
		return
	}
	s.cancel()
	s.ackTimer.Stop()
	_ = s.stream.CloseRequest()
	select {
	case <-s.readerDone:
	case <-time.After(closeTimeout):
		s.conn.tracker.CloseSilent(time.Now())
		<-s.readerDone
	}
	_ = s.stream.CloseResponse()
}

// ServeRaftStream calls handle with each batch of a stream in order and acknowledges it. It
// returns the error with which the stream ended.
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
