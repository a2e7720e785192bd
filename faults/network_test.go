package faults

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bulrushwinch/bulrushwinch/peer"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/wal"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// link is one direction between two processes.
type link struct{ from, to string }

// network carries messages in memory, with faults per link.
type network struct {
	mu       sync.Mutex
	rng      *rand.Rand
	replicas map[string]*memReplica
	cut      map[link]bool
	// duplicate is the share of raft messages that are delivered twice, the second one late.
	duplicate float64
	wg        sync.WaitGroup
}

func newNetwork(seed uint64) *network {
	return &network{rng: rand.New(rand.NewPCG(seed, 7)), replicas: make(map[string]*memReplica), cut: make(map[link]bool)}
}

func (n *network) register(address string, r *memReplica) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replicas[address] = r
}

// setCut cuts or mends one direction.
func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{from, to}] = cut
}

// reach returns the replica at the end of a link that is whole, or nil.
func (n *network) reach(from, to string) *memReplica {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[link{from, to}] || n.cut[link{from, "*"}] || n.cut[link{"*", to}] {
		return nil
	}
	return n.replicas[to]
}

func (n *network) delay() (first, second time.Duration, twice bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	first = oneWayDelay + time.Duration(n.rng.Int64N(int64(oneWayDelay)))
	return first, first + time.Duration(n.rng.Int64N(int64(time.Second))), n.rng.Float64() < n.duplicate
}

func (n *network) wait() { n.wg.Wait() }

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
	from string
}

func (t *memTransport) Send(to raft.Member, messages []raft.Message) {
	if to.Address == "" {
		return
	}
	first, second, twice := t.net.delay()
	t.net.deliver(t.from, to.Address, messages, first)
	if twice {
		t.net.deliver(t.from, to.Address, messages, second)
	}
}

// SendSnapshot implements replica.Transport.
func (t *memTransport) SendSnapshot(_ context.Context, to raft.Member, m raft.Message, content io.Reader, progress func()) error {
	data, err := io.ReadAll(content)
	if err != nil {
		return err
	}
	progress()
	first, _, _ := t.net.delay()
	time.Sleep(first)
	r := t.net.reach(t.from, to.Address)
	if r == nil {
		return errUnreachable
	}
	return r.node.ReceiveSnapshot(copyMessages([]raft.Message{m})[0], func(w io.Writer) error {
		_, err := w.Write(data)
		return err
	})
}

var errUnreachable = errors.New("unreachable")

// call carries one request and its answer; on a cut link it hangs until ctx ends, as a
// silent connection does.
func (n *network) call(ctx context.Context, from, to string, req *peerv1.ForwardRequest) (*peerv1.ForwardResponse, bool, error) {
	first, second, _ := n.delay()
	time.Sleep(first)
	r := n.reach(from, to)
	if r == nil {
		if n.isCut(from, to) {
			<-ctx.Done()
			return nil, true, ctx.Err()
		}
		return nil, false, errUnreachable
	}
	resp := r.controller.Handle(ctx, proto.Clone(req).(*peerv1.ForwardRequest))
	time.Sleep(min(second, 2*oneWayDelay))
	if n.isCut(to, from) {
		<-ctx.Done()
		return nil, true, ctx.Err()
	}
	return resp, true, nil
}

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[link{from, to}] || n.cut[link{from, "*"}] || n.cut[link{"*", to}]
}

// memDisk implements replica.Storage; everything written is synced at once.
type memDisk struct {
	mu       sync.Mutex
	restored raft.Restored
	// stored is a snapshot that is not in use yet.
	stored       raft.Snapshot
	storedOrigin wal.Origin
}

func (d *memDisk) load() raft.Restored {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.restored
	out.Entries = append([]raft.Entry(nil), d.restored.Entries...)
	return out
}

// Append implements replica.Storage.
func (d *memDisk) Append(hard raft.HardState, entries []raft.Entry) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restored.HardState = hard
	for _, e := range entries {
		if e.Index <= d.restored.Snapshot.Index {
			continue
		}
		keep := e.Index - d.restored.Snapshot.Index - 1
		d.restored.Entries = append(d.restored.Entries[:keep:keep], e)
	}
	return nil
}

// StoreSnapshot implements replica.Storage.
func (d *memDisk) StoreSnapshot(s raft.Snapshot, origin wal.Origin, content func(io.Writer) error) error {
	var b bytes.Buffer
	if err := content(&b); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s.Data = b.Bytes()
	d.stored, d.storedOrigin = s, origin
	return nil
}

// UseSnapshot implements replica.Storage.
func (d *memDisk) UseSnapshot(s raft.Snapshot, _ wal.Origin) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stored.Index != s.Index {
		return errors.Errorf("snapshot %d is not stored", s.Index)
	}
	s, received := d.stored, d.storedOrigin == wal.Received
	covered := min(uint64(len(d.restored.Entries)), s.Index-d.restored.Snapshot.Index)
	d.restored.Entries = d.restored.Entries[covered:]
	if received {
		d.restored.Entries = nil
	}
	d.restored.Snapshot = s
	return nil
}

// OpenSnapshot implements replica.Storage.
func (d *memDisk) OpenSnapshot() (raft.Snapshot, io.ReadCloser, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.restored.Snapshot, io.NopCloser(bytes.NewReader(d.restored.Snapshot.Data)), nil
}
