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
	oneWayDelay = 500 * time.Microsecond
	// raftConnLife is how long replicas take to replace a connection that is silent.
	raftConnLife = 3 * time.Second
	// everyone stands for any process in a link.
	everyone = "*"
)

// Errors of calls that a fault ended.
var (
	errUnreachable = errors.New("connection refused")
	errReset       = errors.New("connection reset before the answer")
)

// link is one direction between two processes.
type link struct{ from, to string }

// conn is one open connection; once silent it carries nothing for ever.
type conn struct {
	silent bool
	since  time.Time
}

// network carries messages in memory, with faults per link.
type network struct {
	triggers *triggers

	mu       sync.Mutex
	rng      *rand.Rand
	replicas map[string]*memReplica
	byID     map[raft.ID]string
	cut      map[link]bool
	conns    map[link]*conn
	// disturbed is the share of messages, calls and answers that are delivered twice or late.
	disturbed float64
	// lostAnswers is the number of next answers that are lost, by the hop.
	lostAnswers map[hop]int
	wg          sync.WaitGroup
}

// hop is a stage on the way of a public call.
type hop int

const (
	toEntry hop = iota
	toLeader
)

func newNetwork(seed uint64, t *triggers) *network {
	return &network{triggers: t, rng: rand.New(rand.NewPCG(seed, 7)), replicas: make(map[string]*memReplica),
		byID: make(map[raft.ID]string), cut: make(map[link]bool), conns: make(map[link]*conn), lostAnswers: make(map[hop]int)}
}

func (n *network) register(r *memReplica) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replicas[r.address] = r
	n.byID[r.id] = r.address
}

// setCut cuts or mends one direction; everyone stands for all processes.
func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{from, to}] = cut
}

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[link{from, to}] || n.cut[link{from, everyone}] || n.cut[link{everyone, to}]
}

// reach returns the live replica at the end of a link that is whole, or nil.
func (n *network) reach(from, to string) *memReplica {
	if n.isCut(from, to) {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.replicas[to]; r != nil && !r.dead.Load() {
		return r
	}
	return nil
}

// setDisturbed sets the share of traffic that is duplicated or late.
func (n *network) setDisturbed(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disturbed = share
}

func (n *network) loseAnswers(h hop, count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lostAnswers[h] = count
}

func (n *network) loses(h hop) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lostAnswers[h] == 0 {
		return false
	}
	n.lostAnswers[h]--
	return true
}

// delay returns a usual delay and, in a disturbed network, whether to disturb and by how much.
func (n *network) delay() (usual, extra time.Duration, disturb bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	usual = oneWayDelay + time.Duration(n.rng.Int64N(int64(oneWayDelay)))
	return usual, time.Duration(n.rng.Int64N(int64(3 * time.Second))), n.rng.Float64() < n.disturbed
}

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

// silence makes all open connections of a process silent for good; new ones work.
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

// replace drops a connection whose call timed out, so that the next call opens a new one.
func (n *network) replace(from, to string, old *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[link{from, to}] == old {
		delete(n.conns, link{from, to})
	}
}

// deliver hands raft messages over after a delay.
func (n *network) deliver(from, to string, messages []raft.Message, delay time.Duration) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		time.Sleep(delay)
		if r := n.reach(from, to); r != nil {
			r.node.Receive(copyMessages(messages))
		}
	}()
}

// copyMessages passes messages through the wire format, so that nothing is shared.
func copyMessages(messages []raft.Message) []raft.Message {
	out := make([]raft.Message, len(messages))
	for i, m := range messages {
		out[i] = peer.MessageFromProto(proto.Clone(peer.MessageToProto(m)).(*peerv1.RaftMessage))
	}
	return out
}

// memTransport implements replica.Transport.
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
	ctx, cancel := context.WithTimeout(ctx, raftConnLife)
	defer cancel()
	_, err = t.net.hop(ctx, toLeader, t.from.address, to.Address, func() error {
		r := t.net.reach(t.from.address, to.Address)
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

// dropSilent reports whether raft messages go into a silent connection, and replaces
// the connection once the sender would have noticed.
func (n *network) dropSilent(from, to string) bool {
	c := n.conn(from, to)
	if !n.isSilent(c) {
		return false
	}
	if time.Since(c.since) > raftConnLife {
		n.replace(from, to, c)
		return false
	}
	return true
}

// hop carries one call over a connection. A call on a cut link or silent connection
// hangs until ctx ends; the far end may have carried it out.
func (n *network) hop(ctx context.Context, h hop, from, to string, serve func() error) (sent bool, err error) {
	usual, extra, disturb := n.delay()
	time.Sleep(usual)
	c := n.conn(from, to)
	hang := func() (bool, error) {
		<-ctx.Done()
		n.replace(from, to, c)
		return true, ctx.Err()
	}
	if n.isCut(from, to) || n.isSilent(c) {
		return hang()
	}
	if err := serve(); err != nil {
		return !errors.Is(err, errUnreachable), err
	}
	if disturb {
		time.Sleep(extra)
	}
	time.Sleep(usual)
	if n.isCut(to, from) || n.isSilent(c) {
		return hang()
	}
	if n.loses(h) {
		return true, errReset
	}
	return true, ctx.Err()
}

// forward carries one call of an entry to a replica.
func (n *network) forward(ctx context.Context, from, to string, req *peerv1.ForwardRequest) (resp *peerv1.ForwardResponse, sent bool, err error) {
	sent, err = n.hop(ctx, toLeader, from, to, func() error {
		r := n.reach(from, to)
		if r == nil {
			return errUnreachable
		}
		n.duplicate(from, to, req)
		if req.GetMethod() == peerv1.Method_METHOD_WAIT && r.leadTerm.Load() != 0 {
			n.triggers.hit(stepWait, event{replica: to})
		}
		resp = r.controller.Handle(ctx, proto.Clone(req).(*peerv1.ForwardRequest))
		if req.GetMethod() == peerv1.Method_METHOD_POLL && startsIn(resp.GetPayload()) {
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

func pollSender(req *peerv1.ForwardRequest) string {
	poll := &apiv1.PollRequest{}
	if proto.Unmarshal(req.GetPayload(), poll) != nil {
		return ""
	}
	return poll.GetUpstream()
}

// duplicate delivers a call once more, late, in a disturbed network; nobody hears the answer.
func (n *network) duplicate(from, to string, req *peerv1.ForwardRequest) {
	_, extra, disturb := n.delay()
	if !disturb {
		return
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		time.Sleep(extra)
		ctx, cancel := context.WithTimeout(context.Background(), raftConnLife)
		defer cancel()
		if r := n.reach(from, to); r != nil {
			r.controller.Handle(ctx, proto.Clone(req).(*peerv1.ForwardRequest))
		}
	}()
}

// memForwarder carries calls of an entry over the network in memory.
type memForwarder struct {
	net  *network
	from string
}

// Forward implements entry.Forwarder.
func (f *memForwarder) Forward(ctx context.Context, address string, req *peerv1.ForwardRequest) (*peerv1.ForwardResponse, bool, error) {
	return f.net.forward(ctx, f.from, address, req)
}
