package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/pkg/errors"
)

const (
	// callQueueLength is the maximum number of calls that wait to be written to a stream.
	callQueueLength = 1024
	// gatherAbove is the number of open calls on a stream from which on calls and replies are gathered
	// for gatherTime before they are sent together: a message costs as much as dozens of calls.
	gatherAbove = 8
	gatherTime  = time.Millisecond
	// maxBatch is the maximum number of calls or replies in one message of a stream.
	maxBatch = 256
	// quietTime is the time without data after which a stream is probed before a call is written to it,
	// and probeTimeout how long the other end may take to answer the probe: after that the stream ends.
	// A call that was not written can be made elsewhere without any doubt about its effect.
	// quietTimeNoEffect is quietTime for calls without effect, about which there is no doubt: most calls are
	// polls, and a probe costs the leader as much as a call.
	quietTime         = 20 * time.Millisecond
	quietTimeNoEffect = 150 * time.Millisecond
	probeTimeout      = 500 * time.Millisecond
	// maxUnansweredOpenings is the number of streams in a row whose other end did not answer the probe at their
	// beginning, after which the process is called without one: it may be of a version that answers none.
	maxUnansweredOpenings = 3
	// probeReplyID is the identity of the reply to a probe, which is a batch without calls. A server that
	// answers probes also sends such a reply when a stream begins.
	probeReplyID = 0
)

// errNoProbeReply is the cause with which a stream ends whose other end does not answer a probe.
var errNoProbeReply = errors.New("peer: the process does not answer")

// errStreamEnded is the cause with which a stream and its open calls end when it is closed.
var errStreamEnded = errors.New("peer: the stream of calls has ended")

// callStream carries the forwarded calls of one process to another. Calls that are queued at
// the same time are sent in one message, which costs a fraction of separate requests.
type callStream struct {
	stream *connect.BidiStreamForClient[peerv1.CallBatch, peerv1.ReplyBatch]
	probes *probeHistory
	// probeTimeout is how long the other end may take to answer a probe.
	probeTimeout time.Duration

	ctx    context.Context
	cancel context.CancelCauseFunc
	queue  chan *queuedCall
	// received has an element when data was received since it was last read; receivedAt is the time of the
	// last data, nil if there was none.
	received   chan struct{}
	receivedAt atomic.Pointer[time.Time]

	mu      sync.Mutex
	nextID  uint64
	pending map[uint64]chan *peerv1.ForwardResponse
}

// probeHistory is what the streams to one process have shown about its answers to probes.
type probeHistory struct {
	// answers is set once the process is known to answer probes.
	answers atomic.Bool
	// unanswered counts the streams in a row that it left without an answer at their beginning.
	unanswered atomic.Int32
}

// replied records an answer to a probe.
func (h *probeHistory) replied() {
	h.answers.Store(true)
	h.unanswered.Store(0)
}

// openingUnanswered records that the probe at the beginning of a stream was not answered.
func (h *probeHistory) openingUnanswered() {
	if h.unanswered.Add(1) >= maxUnansweredOpenings {
		h.answers.Store(false)
	}
}

// queuedCall is a call that is either written to the stream or withdrawn by its caller before.
type queuedCall struct {
	*peerv1.Call
	noEffect bool
	decided  atomic.Bool
}

// noEffectKey is the context key that marks calls without effect.
type noEffectKey struct{}

// WithoutEffect returns a context for calls that have no effect, or none that a repetition changes. They are
// written to a stream that has been quiet for a while without asking first whether the other end is alive.
func WithoutEffect(ctx context.Context) context.Context {
	return context.WithValue(ctx, noEffectKey{}, true)
}

// shortestQuietTime returns how long the stream may have been quiet when calls are written without a probe.
func shortestQuietTime(calls []*queuedCall) time.Duration {
	for _, c := range calls {
		if !c.noEffect {
			return quietTime
		}
	}
	return quietTimeNoEffect
}

// claim reports whether the caller of claim decides what becomes of the call: it is true once.
func (c *queuedCall) claim() bool { return c.decided.CompareAndSwap(false, true) }

// openCallStream opens a stream, which ends when its connection ends or close is called.
func openCallStream(conn *Conn) *callStream {
	ctx, cancel := context.WithCancelCause(context.Background())
	s := &callStream{ctx: ctx, cancel: cancel, stream: conn.Calls(ctx), probes: &conn.probes, probeTimeout: conn.probeTimeout, queue: make(chan *queuedCall, callQueueLength),
		received: make(chan struct{}, 1), pending: make(map[uint64]chan *peerv1.ForwardResponse)}
	go s.write()
	go s.read()
	return s
}

// ended reports whether a new stream is needed.
func (s *callStream) ended() bool { return s == nil || s.ctx.Err() != nil }

// close ends the stream and the calls on it.
func (s *callStream) close() {
	if s != nil {
		s.cancel(errStreamEnded)
	}
}

// write sends queued calls in batches.
func (s *callStream) write() {
	defer func() { _ = s.stream.CloseRequest() }()
	if !s.open() {
		return
	}
	for {
		select {
		case <-s.ctx.Done():
			return
		case first := <-s.queue:
			if s.countPending() > gatherAbove {
				time.Sleep(gatherTime)
			}
			calls := drainBatch(first, s.queue, func(c *queuedCall) int { return len(c.GetRequest().GetPayload()) })
			if !s.probe(shortestQuietTime(calls)) {
				return
			}
			batch := &peerv1.CallBatch{}
			for _, c := range calls {
				if c.claim() {
					batch.Calls = append(batch.Calls, c.Call)
				}
			}
			if err := s.stream.Send(batch); err != nil {
				// Send reports only that the stream has ended; Receive in read returns the cause.
				return
			}
		}
	}
}

// open sends a first probe, which returns only once the connection is open, so that no call counts as written
// while it is being opened. It then awaits the reply of a process that is known to answer probes: a connection
// can also be opened to a process that is paused. It returns false if the stream has ended.
func (s *callStream) open() bool {
	if s.stream.Send(&peerv1.CallBatch{}) != nil {
		return false
	}
	return !s.probes.answers.Load() || s.awaitReceived(s.probes.openingUnanswered)
}

// probe returns once a stream that has been quiet for longer than the given time has delivered data again, so
// that the other end is known to be alive. It returns false if the stream has ended.
func (s *callStream) probe(quiet time.Duration) bool {
	if at := s.receivedAt.Load(); !s.probes.answers.Load() || at != nil && time.Since(*at) < quiet {
		return true
	}
	select {
	case <-s.received:
	default:
	}
	return s.stream.Send(&peerv1.CallBatch{}) == nil && s.awaitReceived(func() {})
}

// awaitReceived waits for data. If none arrives within probeTimeout, it calls unanswered and ends the stream. It
// returns false if the stream has ended.
func (s *callStream) awaitReceived(unanswered func()) bool {
	timeout := time.NewTimer(s.probeTimeout)
	defer timeout.Stop()
	select {
	case <-s.received:
		return true
	case <-s.ctx.Done():
	case <-timeout.C:
		unanswered()
		s.cancel(errNoProbeReply)
	}
	return false
}

// noteReceived records that the stream has delivered data.
func (s *callStream) noteReceived() {
	now := time.Now()
	s.receivedAt.Store(&now)
	select {
	case s.received <- struct{}{}:
	default:
	}
}

// drainBatch returns first and the other queued elements, up to maxBatch in total, or until their sizes in bytes add up to
// batchBytes.
func drainBatch[T any](first T, queue <-chan T, size func(T) int) []T {
	batch, bytes := []T{first}, size(first)
	for len(batch) < maxBatch && bytes < batchBytes {
		select {
		case next := <-queue:
			batch, bytes = append(batch, next), bytes+size(next)
		default:
			return batch
		}
	}
	return batch
}

// read delivers replies to their calls until the stream ends.
func (s *callStream) read() {
	defer func() { _ = s.stream.CloseResponse() }()
	for {
		batch, err := s.stream.Receive()
		if err != nil {
			s.cancel(err)
			return
		}
		s.noteReceived()
		for _, r := range batch.GetReplies() {
			if r.GetId() == probeReplyID {
				s.probes.replied()
				continue
			}
			if reply := s.removePending(r.GetId()); reply != nil {
				reply <- r.GetResponse()
			}
		}
	}
}

// call sends one call and waits for its reply; sent is false if the call was certainly not sent.
func (s *callStream) call(ctx context.Context, req *peerv1.ForwardRequest) (resp *peerv1.ForwardResponse, sent bool, err error) {
	id, reply := s.addPending()
	defer s.removePending(id)
	c := &queuedCall{Call: &peerv1.Call{Id: id, Request: req}, noEffect: ctx.Value(noEffectKey{}) != nil}
	if deadline, ok := ctx.Deadline(); ok {
		c.TimeoutMs = max(1, time.Until(deadline).Milliseconds())
	}
	select {
	case s.queue <- c:
	case <-ctx.Done():
		return nil, false, ctx.Err()
	case <-s.ctx.Done():
		return nil, false, context.Cause(s.ctx)
	}
	select {
	case resp := <-reply:
		return resp, true, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-s.ctx.Done():
		err = context.Cause(s.ctx)
	}
	select {
	case resp := <-reply:
		return resp, true, nil
	default:
		return nil, !c.claim() && !IsDialError(err), err
	}
}

func (s *callStream) countPending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}

func (s *callStream) addPending() (uint64, chan *peerv1.ForwardResponse) {
	reply := make(chan *peerv1.ForwardResponse, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.pending[s.nextID] = reply
	return s.nextID, reply
}

// removePending removes a call and returns its reply channel, or nil if it is no longer pending.
func (s *callStream) removePending(id uint64) chan *peerv1.ForwardResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := s.pending[id]
	delete(s.pending, id)
	return reply
}

// calls returns the open stream of a connection, or opens one.
func (c *Conn) calls() *callStream {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stream.ended() {
		c.stream = openCallStream(c)
	}
	return c.stream
}
