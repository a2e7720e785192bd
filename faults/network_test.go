package faults

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/peer"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// oneWayDelay is the least delay of a message; the usual delay is up to twice as long.
	oneWayDelay = 500 * time.Microsecond
	// silentConnTimeout is how long replicas take to replace a silent connection.
	silentConnTimeout = 3 * time.Second
	// anyProcess is a wildcard for either end of a link.
	anyProcess = "*"
)

// Errors of calls that a fault ended. With errUnreachable the call had no effect, with errReset it
// may have had one.
var (
	errUnreachable = errors.New("connection refused")
	errReset       = errors.New("connection reset before the answer")
)

// link is one direction of traffic between two processes, by their names or addresses.
type link struct{ from, to string }

// conn is one open connection. Once silent, it stays open but never delivers anything again.
type conn struct {
	silent bool
	since  time.Time
}

// network delivers messages and calls in memory, with faults per link.
type network struct {
	triggers *triggers

	mu       sync.Mutex
	rng      *rand.Rand
	replicas map[string]*memReplica
	byID     map[raft.ID]string
	blocked  map[link]bool
	conns    map[link]*conn
	// disturbedShare is the share of messages, calls and answers that are duplicated or delayed.
	disturbedShare float64
	// lostAnswers is how many of the next answers are lost, by hop.
	lostAnswers map[hop]int
	wg          sync.WaitGroup
}

// hop is a stage of a public call's route: from the client to an entry, or on to the leader.
type hop int

const (
	toEntry hop = iota
	toLeader
)

func newNetwork(seed uint64, t *triggers) *network {
	return &network{triggers: t, rng: rand.New(rand.NewPCG(seed, 7)), replicas: make(map[string]*memReplica),
		byID: make(map[raft.ID]string), blocked: make(map[link]bool), conns: make(map[link]*conn), lostAnswers: make(map[hop]int)}
}

// register makes a replica reachable under its address and identity.
func (n *network) register(r *memReplica) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replicas[r.address] = r
	n.byID[r.id] = r.address
}

// setBlocked blocks or unblocks one direction; either end may be anyProcess.
func (n *network) setBlocked(from, to string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[link{from, to}] = blocked
}

func (n *network) isBlocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[link{from, to}] || n.blocked[link{from, anyProcess}] || n.blocked[link{anyProcess, to}]
}

// reachableReplica returns the live replica at the far end of a link that is not blocked, or nil.
func (n *network) reachableReplica(from, to string) *memReplica {
	if n.isBlocked(from, to) {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.replicas[to]; r != nil && !r.dead.Load() {
		return r
	}
	return nil
}

// setDisturbedShare sets the share of traffic that is duplicated or delayed.
func (n *network) setDisturbedShare(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disturbedShare = share
}

// loseAnswers makes the next count answers on a hop get lost.
func (n *network) loseAnswers(h hop, count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lostAnswers[h] = count
}

// losesAnswer reports whether an answer on a hop is lost and counts it.
func (n *network) losesAnswer(h hop) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lostAnswers[h] == 0 {
		return false
	}
	n.lostAnswers[h]--
	return true
}

// delay returns the usual delay of a message, and whether to duplicate or delay it, by how much.
func (n *network) delay() (usual, extra time.Duration, disturb bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	usual = oneWayDelay + time.Duration(n.rng.Int64N(int64(oneWayDelay)))
	return usual, time.Duration(n.rng.Int64N(int64(3 * time.Second))), n.rng.Float64() < n.disturbedShare
}

// conn returns the open connection of a link; it opens one if there is none.
func (n *network) conn(from, to string) *conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.conns[link{from, to}]
	if c == nil {
		c = &conn{}
		n.conns[link{from, to}] = c
	}
	return c
}

// silence makes all open connections of a process silent for good; connections opened later work.
func (n *network) silence(process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l, c := range n.conns {
		if l.from == process || l.to == process {
			c.silent, c.since = true, time.Now()
		}
	}
}

func (n *network) isSilent(c *conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return c.silent
}

// dropConn closes a connection whose call timed out, so that the next call opens a new one.
func (n *network) dropConn(from, to string, old *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[link{from, to}] == old {
		delete(n.conns, link{from, to})
	}
}

// deliver passes raft messages to their receiver after a delay, unless it is unreachable then.
func (n *network) deliver(from, to string, messages []raft.Message, delay time.Duration) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		time.Sleep(delay)
		if r := n.reachableReplica(from, to); r != nil {
			r.node.Receive(copyMessages(messages))
		}
	}()
}

// copyMessages returns copies that went through the wire format, so that sender and receiver share
// no memory.
func copyMessages(messages []raft.Message) []raft.Message {
	out := make([]raft.Message, len(messages))
	for i, m := range messages {
		out[i] = peer.MessageFromProto(proto.Clone(peer.MessageToProto(m)).(*peerv1.RaftMessage))
	}
	return out
}

// memTransport is the replica.Transport of one replica over the in-memory network.
type memTransport struct {
	net  *network
	from *memReplica
}

// Send implements replica.Transport.
func (t *memTransport) Send(to raft.Member, messages []raft.Message) {
	n := t.net
	n.mu.Lock()
	address := n.byID[to.ID]
	n.mu.Unlock()
	for _, m := range messages {
		if m.Type == raft.MsgTimeoutNow {
			n.triggers.hit(stepTransfer, event{replica: t.from.address})
		}
	}
	if t.from.halted() || address == "" || n.dropSilent(t.from.address, address) {
		return
	}
	usual, extra, disturb := n.delay()
	n.deliver(t.from.address, address, messages, usual)
	if disturb {
		n.deliver(t.from.address, address, messages, usual+extra)
	}
}

// SendSnapshot implements replica.Transport.
func (t *memTransport) SendSnapshot(ctx context.Context, to raft.Member, m raft.Message, content io.Reader, progress func()) error {
	data, err := io.ReadAll(content)
	if err != nil {
		return err
	}
	progress()
	ctx, cancel := context.WithTimeout(ctx, silentConnTimeout)
	defer cancel()
	_, err = t.net.roundTrip(ctx, toLeader, t.from.address, to.Address, func() error {
		r := t.net.reachableReplica(t.from.address, to.Address)
		if r == nil || t.from.halted() {
			return errUnreachable
		}
		return r.node.ReceiveSnapshot(copyMessages([]raft.Message{m})[0], func(w io.Writer) error {
			_, err := w.Write(data)
			return err
		})
	})
	return err
}

// dropSilent reports whether raft messages are lost in a silent connection. It closes the
// connection once the sender would have noticed, after silentConnTimeout.
func (n *network) dropSilent(from, to string) bool {
	c := n.conn(from, to)
	if !n.isSilent(c) {
		return false
	}
	if time.Since(c.since) > silentConnTimeout {
		n.dropConn(from, to, c)
		return false
	}
	return true
}

// roundTrip carries one call over a connection and returns whether it was sent. A call on a
// blocked link or silent connection hangs until ctx ends; the far end may have executed it.
func (n *network) roundTrip(ctx context.Context, h hop, from, to string, serve func() error) (sent bool, err error) {
	usual, extra, disturb := n.delay()
	time.Sleep(usual)
	c := n.conn(from, to)
	hang := func() (bool, error) {
		<-ctx.Done()
		n.dropConn(from, to, c)
		return true, ctx.Err()
	}
	if n.isBlocked(from, to) || n.isSilent(c) {
		return hang()
	}
	if err := serve(); err != nil {
		return !errors.Is(err, errUnreachable), err
	}
	if disturb {
		time.Sleep(extra)
	}
	time.Sleep(usual)
	if n.isBlocked(to, from) || n.isSilent(c) {
		return hang()
	}
	if n.losesAnswer(h) {
		return true, errReset
	}
	return true, ctx.Err()
}

// forward carries one call of an entry to a replica and triggers the faults of the steps "wait" and
// "hand out".
func (n *network) forward(ctx context.Context, from, to string, req *peerv1.ForwardRequest) (resp *peerv1.ForwardResponse, sent bool, err error) {
	sent, err = n.roundTrip(ctx, toLeader, from, to, func() error {
		r := n.reachableReplica(from, to)
		if r == nil {
			return errUnreachable
		}
		n.duplicate(from, to, req)
		if req.GetMethod() == peerv1.Method_METHOD_WAIT && r.leadTerm.Load() != 0 {
			n.triggers.hit(stepWait, event{replica: to})
		}
		resp = r.controller.Handle(ctx, proto.Clone(req).(*peerv1.ForwardRequest))
		if req.GetMethod() == peerv1.Method_METHOD_POLL && containsStart(resp.GetPayload()) {
			n.triggers.hit(stepHandOut, event{replica: to, upstream: pollSender(req)})
		}
		if r.halted() {
			return errReset
		}
		return nil
	})
	if err != nil {
		return nil, sent, err
	}
	return resp, sent, nil
}

// pollSender returns the name of the upstream that sent a poll, or "".
func pollSender(req *peerv1.ForwardRequest) string {
	poll := &apiv1.PollRequest{}
	if proto.Unmarshal(req.GetPayload(), poll) != nil {
		return ""
	}
	return poll.GetUpstream()
}

// duplicate delivers a copy of a call late, in a disturbed network; the answer is discarded.
func (n *network) duplicate(from, to string, req *peerv1.ForwardRequest) {
	_, extra, disturb := n.delay()
	if !disturb {
		return
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		time.Sleep(extra)
		ctx, cancel := context.WithTimeout(context.Background(), silentConnTimeout)
		defer cancel()
		if r := n.reachableReplica(from, to); r != nil {
			r.controller.Handle(ctx, proto.Clone(req).(*peerv1.ForwardRequest))
		}
	}()
}

// memForwarder is the entry.Forwarder of one entry over the in-memory network.
type memForwarder struct {
	net  *network
	from string
}

// Forward implements entry.Forwarder.
func (f *memForwarder) Forward(ctx context.Context, address string, req *peerv1.ForwardRequest) (*peerv1.ForwardResponse, bool, error) {
	return f.net.forward(ctx, f.from, address, req)
}
