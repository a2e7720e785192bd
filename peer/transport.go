package peer

import (
	"context"
	"sync"
	"time"

	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/raft"
)

// sendQueueLength is the maximum number of batches that wait to be sent to one replica.
const sendQueueLength = 256

// Transport sends snapshots and raft messages to other replicas, the messages in order and
// without blocking the sender. It implements replica.Transport and is safe for concurrent use.
type Transport struct {
	pool   *Pool
	group  uint64
	ctx    context.Context
	mu     sync.Mutex
	queues map[string]chan []raft.Message
	// senderAddresses holds the addresses of replicas from which messages were received, for a
	// learner that does not have the membership yet.
	senderAddresses map[raft.ID]string
	self            raft.Member
	// ackTimeout is the time without an acknowledgement after which a stream is closed.
	ackTimeout time.Duration
	wg         sync.WaitGroup
}

// NewTransport returns a transport of the replica self in a raft group; it sends until ctx ends.
func NewTransport(ctx context.Context, pool *Pool, group uint64, self raft.Member) *Transport {
	return &Transport{pool: pool, group: group, ctx: ctx, self: self, ackTimeout: defaultAckTimeout,
		queues: make(map[string]chan []raft.Message), senderAddresses: make(map[raft.ID]string)}
}

// RecordAddress records the address of a replica from which a message was received. It is used for
// replicas whose address the membership does not give.
func (t *Transport) RecordAddress(id raft.ID, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.senderAddresses[id] = address
}

func (t *Transport) address(to raft.Member) string {
	if to.Address != "" {
		return to.Address
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.senderAddresses[to.ID]
}

// Send implements replica.Transport; messages are dropped if the queue is full or the address
// of the replica is unknown.
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

// sendLoop sends the queued messages to one replica, and opens a new stream when a message is
// to be sent and the last one has ended.
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
			for messages = drainMessages(messages, queue); len(messages) > 0 && !s.ended(); {
				n := prefixOfBytes(messages, batchBytes)
				s.send(t.batch(messages[:n]))
				messages = messages[n:]
			}
		}
	}
}

// drainMessages appends all queued messages to a batch.
func drainMessages(messages []raft.Message, queue chan []raft.Message) []raft.Message {
	for {
		select {
		case more := <-queue:
			messages = append(messages, more...)
		default:
			return messages
		}
	}
}

// prefixOfBytes returns how many messages from the start are one batch: entries of limit bytes, and whatever the last one
// has beyond them.
func prefixOfBytes(messages []raft.Message, limit int) int {
	size := 0
	for i, m := range messages {
		for _, e := range m.Entries {
			size += len(e.Data)
		}
		if size >= limit {
			return i + 1
		}
	}
	return len(messages)
}

func (t *Transport) batch(messages []raft.Message) *peerv1.RaftBatch {
	out := &peerv1.RaftBatch{Group: t.group, SenderId: uint64(t.self.ID), SenderAddress: t.self.Address}
	for _, m := range messages {
		out.Messages = append(out.Messages, MessageToProto(m))
	}
	return out
}

// Wait waits until all senders have stopped, which they do when the context of NewTransport ends.
func (t *Transport) Wait() { t.wg.Wait() }
