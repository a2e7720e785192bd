package peer

import (
	"context"
	"sync"
	"time"

	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/raft"
)

// sendQueueLength bounds batches that wait for one replica.
const sendQueueLength = 256

// Transport sends raft messages to other replicas, in order and without blocking the
// sender, and snapshots. It implements replica.Transport.
type Transport struct {
	pool   *Pool
	group  uint64
	ctx    context.Context
	mu     sync.Mutex
	queues map[string]chan []raft.Message
	// learned holds addresses of senders, for a learner without a membership.
	learned map[raft.ID]string
	self    raft.Member
	// ackTimeout is how long a stream may leave a batch unacknowledged.
	ackTimeout time.Duration
	wg         sync.WaitGroup
}

// NewTransport returns a transport for a group that works until ctx ends.
func NewTransport(ctx context.Context, pool *Pool, group uint64, self raft.Member) *Transport {
	return &Transport{pool: pool, group: group, ctx: ctx, self: self, ackTimeout: defaultAckTimeout,
		queues: make(map[string]chan []raft.Message), learned: make(map[raft.ID]string)}
}

// Learn remembers the address of a sender.
func (t *Transport) Learn(id raft.ID, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learned[id] = address
}

func (t *Transport) address(to raft.Member) string {
	if to.Address != "" {
		return to.Address
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.learned[to.ID]
}

// Send implements replica.Transport; messages are dropped when the queue is full.
func (t *Transport) Send(to raft.Member, messages []raft.Message) {
	address := t.address(to)
	if address == "" || t.ctx.Err() != nil {
		return
	}
	select {
	case t.queue(address) <- messages:
	default:
	}
}

func (t *Transport) queue(address string) chan []raft.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[address]
	if q == nil {
		q = make(chan []raft.Message, sendQueueLength)
		t.queues[address] = q
		t.wg.Add(1)
		go t.sendLoop(address, q)
	}
	return q
}

// sendLoop keeps a stream open to one replica while there is something to send.
func (t *Transport) sendLoop(address string, queue chan []raft.Message) {
	defer t.wg.Done()
	var s *raftStream
	defer func() { s.close() }()
	for {
		select {
		case <-t.ctx.Done():
			return
		case messages := <-queue:
			if s.ended() {
				s.close()
				s = openRaftStream(t.ctx, t.pool.Get(address), t.ackTimeout)
			}
			s.send(t.batch(gather(messages, queue)))
		}
	}
}

// gather adds what else is queued to a batch.
func gather(messages []raft.Message, queue chan []raft.Message) []raft.Message {
	for {
		select {
		case more := <-queue:
			messages = append(messages, more...)
		default:
			return messages
		}
	}
}

func (t *Transport) batch(messages []raft.Message) *peerv1.RaftBatch {
	out := &peerv1.RaftBatch{Group: t.group, SenderId: uint64(t.self.ID), SenderAddress: t.self.Address}
	for _, m := range messages {
		out.Messages = append(out.Messages, MessageToProto(m))
	}
	return out
}

// Wait returns when all sending has ended, after the context of NewTransport has.
func (t *Transport) Wait() { t.wg.Wait() }
