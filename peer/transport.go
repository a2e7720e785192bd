package peer

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/raft"
)

const (
	// sendQueueLength bounds batches that wait for one replica.
	sendQueueLength = 256
	sendTimeout     = 2 * time.Second
)

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
	wg      sync.WaitGroup
}

// NewTransport returns a transport for a group that works until ctx ends.
func NewTransport(ctx context.Context, pool *Pool, group uint64, self raft.Member) *Transport {
	return &Transport{pool: pool, group: group, ctx: ctx, self: self,
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

func (t *Transport) sendLoop(address string, queue chan []raft.Message) {
	defer t.wg.Done()
	for {
		select {
		case <-t.ctx.Done():
			return
		case messages := <-queue:
			t.sendOne(address, gather(messages, queue))
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

func (t *Transport) sendOne(address string, messages []raft.Message) {
	batch := &peerv1.RaftBatch{Group: t.group, SenderId: uint64(t.self.ID), SenderAddress: t.self.Address}
	for _, m := range messages {
		batch.Messages = append(batch.Messages, MessageToProto(m))
	}
	ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
	defer cancel()
	c, began := t.pool.Get(address), time.Now()
	if _, err := c.Raft(ctx, connect.NewRequest(batch)); err != nil && ctx.Err() != nil {
		c.TimedOut(began)
	}
}

// Wait returns when all sending has ended, after the context of NewTransport has.
func (t *Transport) Wait() { t.wg.Wait() }
