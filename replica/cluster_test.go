package replica

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/wal"
	"github.com/pkg/errors"
)

// networkDelay is the time that a message takes between two replicas.
const networkDelay = 500 * time.Microsecond

// listMachine stores all commands, one a line.
type listMachine struct {
	mu    sync.Mutex
	lines []string
}

func (m *listMachine) Apply(data []byte) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lines = append(m.lines, string(data))
	return len(m.lines)
}

func (m *listMachine) Capture() func(io.Writer) error {
	all := m.all()
	return func(w io.Writer) error {
		_, err := io.WriteString(w, all)
		return err
	}
}

func (m *listMachine) Restore(r io.Reader) error {
	data, err := io.ReadAll(r)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lines = nil
	if len(data) > 0 {
		m.lines = strings.Split(string(data), "\n")
	}
	return err
}

func (m *listMachine) all() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return strings.Join(m.lines, "\n")
}

// recordingOwner records whether its node leads, and the ID of the leader that it follows.
type recordingOwner struct {
	leading atomic.Bool
	leader  atomic.Uint64
}

func (o *recordingOwner) Lead(uint64) { o.leading.Store(true) }
func (o *recordingOwner) Follow(leader raft.Member) {
	o.leading.Store(false)
	o.leader.Store(uint64(leader.ID))
}
func (o *recordingOwner) Tick()  {}
func (o *recordingOwner) Flush() {}

// testReplica is a running node with a real data folder.
type testReplica struct {
	node    *Node[int]
	machine *listMachine
	owner   *recordingOwner
	log     *wal.Log
	cancel  context.CancelFunc
	ended   chan error
}

// cluster connects replicas in memory, without addresses.
type cluster struct {
	t   testing.TB
	ctx context.Context
	cfg func(*Config)
	// wrapStorage returns the storage that a node uses in place of its log; nil uses the log.
	wrapStorage func(raft.ID, *wal.Log) Storage
	// onSend is called with each message that a node sends; it may be nil.
	onSend   func(raft.Message)
	mu       sync.Mutex
	replicas map[raft.ID]*testReplica
	dirs     map[raft.ID]string
	// isolated holds the replicas whose messages are dropped in both directions.
	isolated map[raft.ID]bool
	// transfers counts the snapshots that were sent.
	transfers int
	// transfersToFail is the number of snapshot transfers, from the first on, that fail half-way.
	transfersToFail int
	wg              sync.WaitGroup
}

func newCluster(t testing.TB, voters int, cfg func(*Config)) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{t: t, ctx: ctx, cfg: cfg, replicas: make(map[raft.ID]*testReplica),
		dirs: make(map[raft.ID]string), isolated: make(map[raft.ID]bool)}
	t.Cleanup(func() {
		cancel()
		for id := range c.dirs {
			c.stop(id)
		}
		c.wg.Wait()
	})
	var members []raft.Member
	for i := range voters {
		members = append(members, raft.Member{ID: raft.ID(i + 1), Voter: true})
	}
	for _, m := range members {
		c.dirs[m.ID] = t.TempDir()
		c.bootstrap(m.ID, members)
	}
	for _, m := range members {
		c.start(m.ID)
	}
	return c
}

// bootstrap writes the initial membership to a replica's data folder.
func (c *cluster) bootstrap(id raft.ID, members []raft.Member) {
	log, _, err := wal.Open(c.dirs[id])
	if err != nil {
		c.t.Fatal(err)
	}
	s := raft.Snapshot{Index: 1, Term: 1, Members: members}
	err = log.StoreSnapshot(s, wal.Received, func(io.Writer) error { return nil })
	if err == nil {
		err = log.UseSnapshot(s, wal.Received)
	}
	if err != nil {
		c.t.Fatal(err)
	}
	_ = log.Close()
}

// start starts a replica from its data folder.
func (c *cluster) start(id raft.ID) *testReplica {
	log, restored, err := wal.Open(c.dirs[id])
	if err != nil {
		c.t.Fatal(err)
	}
	cfg := DefaultConfig(id, uint64(id))
	if c.cfg != nil {
		c.cfg(&cfg)
	}
	r := &testReplica{machine: &listMachine{}, owner: &recordingOwner{}, log: log, ended: make(chan error, 1)}
	var storage Storage = log
	if c.wrapStorage != nil {
		storage = c.wrapStorage(id, log)
	}
	if r.node, err = New(cfg, r.machine, r.owner, storage, &testTransport{c, id}, restored); err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(c.ctx)
	r.cancel = cancel
	c.mu.Lock()
	c.replicas[id] = r
	c.mu.Unlock()
	go func() { r.ended <- r.node.Run(ctx) }()
	return r
}

// stop stops a replica as at the end of its process; its folder stays.
func (c *cluster) stop(id raft.ID) {
	c.mu.Lock()
	r := c.replicas[id]
	delete(c.replicas, id)
	c.mu.Unlock()
	if r != nil {
		r.cancel()
		<-r.node.Done()
		r.node.background.Wait()
		_ = r.log.Close()
	}
}

func (c *cluster) setIsolated(id raft.ID, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[id] = isolated
}

// reachableReplica returns the replica with ID to, or nil if it does not run or if either side is
// isolated.
func (c *cluster) reachableReplica(from, to raft.ID) *testReplica {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isolated[from] || c.isolated[to] {
		return nil
	}
	return c.replicas[to]
}

// leader waits until a replica that is not isolated leads, and returns its ID.
func (c *cluster) leader() raft.ID {
	c.t.Helper()
	for range 10_000 {
		c.mu.Lock()
		for id, r := range c.replicas {
			if r.owner.leading.Load() && !c.isolated[id] {
				c.mu.Unlock()
				return id
			}
		}
		c.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	c.t.Fatal("no replica that is not isolated became the leader within 10 s")
	return raft.None
}

// propose proposes a command on a replica and waits for its result.
func (c *cluster) propose(id raft.ID, data string) error {
	c.mu.Lock()
	r := c.replicas[id]
	c.mu.Unlock()
	result := make(chan error, 1)
	err := r.node.Post(c.ctx, func() { r.node.Propose([]byte(data), func(_ int, err error) { result <- err }) })
	if err != nil {
		return err
	}
	select {
	case err := <-result:
		return err
	case <-r.node.Done():
		return <-result
	}
}

// proposeAll proposes the numbered commands from up to but not including to, and fails unless all
// are committed.
func (c *cluster) proposeAll(id raft.ID, from, to int) {
	c.t.Helper()
	for i := from; i < to; i++ {
		if err := c.propose(id, fmt.Sprint("command ", i)); err != nil {
			c.t.Fatal(err)
		}
	}
}

// expectEqual waits until the given replicas hold the same commands.
func (c *cluster) expectEqual(ids ...raft.ID) {
	c.t.Helper()
	for range 30_000 {
		first := c.replicas[ids[0]].machine.all()
		differs := func(id raft.ID) bool { return c.replicas[id].machine.all() != first }
		if !slices.ContainsFunc(ids, differs) {
			return
		}
		time.Sleep(time.Millisecond)
	}
	for _, id := range ids {
		c.t.Logf("replica %d holds %d bytes", id, len(c.replicas[id].machine.all()))
	}
	c.t.Fatal("replicas still hold different commands after 30 s")
}

// testTransport implements Transport for a cluster in memory.
type testTransport struct {
	c    *cluster
	from raft.ID
}

func (t *testTransport) Send(to raft.Member, messages []raft.Message) {
	if t.c.onSend != nil {
		for _, m := range messages {
			t.c.onSend(m)
		}
	}
	t.c.wg.Add(1)
	go func() {
		defer t.c.wg.Done()
		time.Sleep(networkDelay)
		if r := t.c.reachableReplica(t.from, to.ID); r != nil {
			r.node.Receive(messages)
		}
	}()
}

func (t *testTransport) SendSnapshot(_ context.Context, to raft.Member, m raft.Message, content io.Reader, progress func()) error {
	data, err := io.ReadAll(content)
	if err != nil {
		return err
	}
	progress()
	r := t.c.reachableReplica(t.from, to.ID)
	if r == nil {
		return errors.New("unreachable")
	}
	t.c.mu.Lock()
	t.c.transfers++
	fail := t.c.transfers <= t.c.transfersToFail
	t.c.mu.Unlock()
	return r.node.ReceiveSnapshot(m, func(w io.Writer) error {
		if fail {
			_, _ = w.Write(data[:len(data)/2])
			return errors.New("connection reset")
		}
		_, err := io.Copy(w, bytes.NewReader(data))
		return err
	})
}
