package faults

import (
	"context"
	"crypto/sha256"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/control"
	"github.com/bulrushwinch/bulrushwinch/entry"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/replica"
	"github.com/bulrushwinch/bulrushwinch/state"
	"github.com/bulrushwinch/bulrushwinch/timeline"
	"github.com/bulrushwinch/bulrushwinch/view"
	"github.com/bulrushwinch/bulrushwinch/wal"
	"github.com/pkg/errors"
)

const (
	groupID = 1
	// snapshotEntries is low, so that every run takes snapshots.
	snapshotEntries = 60
	eventCapacity   = 8192
	viewPause       = 50 * time.Millisecond
	viewTimeout     = 2500 * time.Millisecond
)

var testDomains = []string{"cordon", "prado", "pocitos"}

// bubbleClock is a lease.Clock on the virtual time of the test.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() time.Duration { return time.Since(c.start) }

// gate holds up whoever passes while it is shut, as a stopped process is held up.
type gate struct {
	mu     sync.Mutex
	opened chan struct{}
	since  time.Time
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened, g.since = make(chan struct{}), time.Now()
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// shutSince returns when the gate was shut, or false while it is open.
func (g *gate) shutSince() (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.since, g.opened != nil
}

func (g *gate) wait() {
	for {
		g.mu.Lock()
		opened := g.opened
		g.mu.Unlock()
		if opened == nil {
			return
		}
		<-opened
	}
}

// cell is a whole system in memory: replicas, entries and workers.
type cell struct {
	t        *testing.T
	seed     uint64
	dir      string // parent of the replicas' data folders; empty for disks in memory
	net      *network
	clock    bubbleClock
	triggers triggers
	history  *history
	operator *memEntry

	mu       sync.Mutex
	replicas map[string]*memReplica
	lastID   raft.ID
	entries  []*memEntry
	workers  map[string]*worker
	// repairing is held by whoever changes the membership.
	repairing chan struct{}

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// healing counts faults that have yet to end.
	healing atomic.Int64
}

// memReplica is one process on a VM with a data folder.
type memReplica struct {
	address    string
	id         raft.ID
	disk       disk
	node       *replica.Node[[]state.Result]
	controller *control.Controller
	events     *timeline.Recorder
	gate       gate
	dead       atomic.Bool
	leadTerm   atomic.Uint64
	cancel     context.CancelFunc
	done       chan struct{}
}

// halted holds up a paused process and reports whether it is dead.
func (r *memReplica) halted() bool {
	if r.dead.Load() {
		return true
	}
	r.gate.wait()
	return r.dead.Load()
}

// newCell starts a group with one voter per failure domain, two entries, and a first
// operator. Disks are folders in dir, or in memory if dir is empty.
func newCell(t *testing.T, seed uint64, dir string) *cell {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cell{t: t, seed: seed, dir: dir, clock: bubbleClock{time.Now().Add(-time.Hour)}, history: newHistory(),
		replicas: make(map[string]*memReplica), workers: make(map[string]*worker),
		repairing: make(chan struct{}, 1), ctx: ctx, cancel: cancel}
	c.net = newNetwork(seed, &c.triggers)
	for i := range 2 {
		c.entries = append(c.entries, c.newEntry(fmt.Sprintf("entry-%d", i+1)))
	}
	c.operator = c.newEntry("operator")
	var members []raft.Member
	for i, d := range testDomains {
		members = append(members, raft.Member{ID: raft.ID(i + 1), Voter: true, Address: "replica-" + d, Domain: d})
	}
	c.lastID = raft.ID(len(members))
	first := raft.Snapshot{Index: 1, Term: 1, Members: members}
	for _, m := range members {
		d := c.newDisk(m.ID)
		if err := c.found(d, first); err != nil {
			t.Fatal(err)
		}
		c.startReplica(m.Address, m.ID, d)
	}
	time.Sleep(settleTime)
	return c
}

// found writes the first state of a group to a disk.
func (c *cell) found(d disk, first raft.Snapshot) error {
	if _, err := d.open(); err != nil {
		return err
	}
	st := state.New(state.DefaultSettings)
	if err := d.StoreSnapshot(first, wal.Received, st.Capture()); err != nil {
		return err
	}
	if err := d.UseSnapshot(first, wal.Received); err != nil {
		return err
	}
	return d.Append(raft.HardState{Term: 1, Commit: 1}, nil)
}

func (c *cell) newDisk(id raft.ID) disk {
	if c.dir == "" {
		return &memDisk{}
	}
	dir := filepath.Join(c.dir, fmt.Sprint(id))
	if err := makeFolder(dir); err != nil {
		c.t.Fatal(err)
	}
	return &walDisk{dir: dir}
}

// spawn runs f on a goroutine that ends with the cell.
func (c *cell) spawn(f func()) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		f()
	}()
}

// healCheck is the virtual time between looks whether all faults have ended.
const healCheck = 10 * time.Millisecond

// awaitHealing returns when no fault is left that has yet to end. A fault may begin at any
// time meanwhile, which a WaitGroup does not allow.
func (c *cell) awaitHealing() {
	for c.healing.Load() > 0 {
		time.Sleep(healCheck)
	}
}

// heal runs f as the later part of a fault, after a delay.
func (c *cell) heal(after time.Duration, f func()) {
	c.healing.Add(1)
	c.spawn(func() {
		defer c.healing.Add(-1)
		time.Sleep(after)
		f()
	})
}

// stop ends every goroutine of the cell.
func (c *cell) stop() {
	c.cancel()
	for _, r := range c.live() {
		r.gate.open()
	}
	for _, w := range c.workers {
		w.gate.open()
	}
	c.wg.Wait()
	c.net.wg.Wait()
}

// startReplica starts a process on a disk.
func (c *cell) startReplica(address string, id raft.ID, d disk) *memReplica {
	ctx, cancel := context.WithCancel(c.ctx)
	r := &memReplica{address: address, id: id, disk: d, cancel: cancel, done: make(chan struct{})}
	restored, err := d.open()
	if err != nil {
		c.t.Errorf("replica %s: open: %v", address, err)
	}
	st := state.New(state.DefaultSettings)
	cfg := control.DefaultConfig
	key := sha256.Sum256([]byte(operatorKey))
	cfg.OperatorKey = key[:]
	r.events = timeline.NewRecorder(address, timeline.NewClock(time.Now), eventCapacity)
	r.controller = control.New(cfg, st, c.clock, r.events)
	settings := replica.DefaultConfig(id, c.seed)
	settings.SnapshotEntries = snapshotEntries
	r.node, err = replica.New(settings, &tapMachine{control.Machine{State: st}, c, r}, &tapOwner{r.controller, r},
		&tapStorage{disk: d, cell: c, replica: r, members: restored.Snapshot.Members}, &memTransport{c.net, r}, restored)
	if err != nil {
		c.t.Errorf("replica %s: start: %v", address, err)
		cancel()
		return r
	}
	r.controller.Attach(r.node)
	c.mu.Lock()
	c.replicas[address] = r
	c.mu.Unlock()
	c.net.register(r)
	c.spawn(func() {
		defer close(r.done)
		if err := r.node.Run(ctx); err != nil && !r.dead.Load() {
			c.t.Errorf("replica %s: %v", address, err)
		}
	})
	return r
}

// crash ends a process at once: nothing more is written, sent or answered.
func (c *cell) crash(r *memReplica) {
	r.dead.Store(true)
	r.leadTerm.Store(0)
	r.gate.open()
	r.cancel()
}

// restart starts a crashed replica again on its disk.
func (c *cell) restart(r *memReplica) *memReplica {
	<-r.done
	return c.startReplica(r.address, r.id, r.disk)
}

// freeze pauses a replica's process.
func (c *cell) freeze(r *memReplica) {
	r.gate.shut()
	_ = r.node.Post(c.ctx, func() { r.gate.wait() })
}

// live returns the replicas that are not dead, by address.
func (c *cell) live() []*memReplica {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*memReplica
	for _, r := range c.replicas {
		if !r.dead.Load() {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *memReplica) int {
		if a.address < b.address {
			return -1
		}
		return 1
	})
	return out
}

// leader returns the live replica that leads in the highest term, or nil.
func (c *cell) leader() *memReplica {
	var best *memReplica
	for _, r := range c.live() {
		if t := r.leadTerm.Load(); t > 0 && (best == nil || t > best.leadTerm.Load()) {
			best = r
		}
	}
	return best
}

// leaderAt returns the leader that took part in an event, or some live replica.
func (c *cell) leaderAt(e event) *memReplica {
	live := c.live()
	for _, r := range live {
		if r.address == e.replica {
			return r
		}
	}
	if l := c.leader(); l != nil {
		return l
	}
	if len(live) > 0 {
		return live[0]
	}
	return nil
}

// followerAt returns a live replica other than the leader of an event.
func (c *cell) followerAt(e event) *memReplica {
	leader := c.leaderAt(e)
	for _, r := range c.live() {
		if r != leader {
			return r
		}
	}
	return leader
}

func (c *cell) replicaAddresses() []string {
	out := []string{spareAddress}
	for _, d := range testDomains {
		out = append(out, "replica-"+d)
	}
	return out
}

// memEntry is one entry process, reached by clients over the network in memory.
type memEntry struct {
	name   string
	net    *network
	start  func() *entry.Server
	server *entry.Server
	view   *view.Store

	mu       sync.Mutex
	draining bool
	dead     bool
	reset    chan struct{}
	// open are the calls being served.
	open map[*openCall]bool
}

type openCall struct {
	method string
	// drained is set once the entry began to drain while the call was open.
	drained bool
}

func (c *cell) newEntry(name string) *memEntry {
	e := &memEntry{name: name, net: c.net, reset: make(chan struct{}), open: make(map[*openCall]bool),
		view: view.New(c.clock, view.DefaultStaleAfter)}
	e.start = func() *entry.Server {
		router := entry.NewRouter(&memForwarder{c.net, name}, c.replicaAddresses())
		events := timeline.NewRecorder(name, timeline.NewClock(time.Now), 1024)
		return entry.NewServer(name, router, events, nil, entry.WithView(e.view))
	}
	e.server = e.start()
	c.spawn(func() { c.watchView(e) })
	return e
}

// watchView keeps an entry's view of the configuration up to date and records what is in
// force there.
func (c *cell) watchView(e *memEntry) {
	for c.ctx.Err() == nil {
		for _, r := range c.live() {
			if r.leadTerm.Load() != 0 {
				c.fetchView(e, r)
			}
		}
		if e.view.Fresh() {
			add(c.history, &c.history.views, viewSeen{e.name, e.view.Revision(), time.Now()})
		}
		time.Sleep(viewPause)
	}
}

func (c *cell) fetchView(e *memEntry, r *memReplica) {
	ctx, cancel := context.WithTimeout(c.ctx, viewTimeout)
	defer cancel()
	sent := c.clock.Now()
	var resp *peerv1.ViewResponse
	_, err := c.net.hop(ctx, toLeader, e.name, r.address, func() error {
		resp = r.controller.View(ctx, &peerv1.ViewRequest{KnownRevision: e.view.Revision(), Process: e.name, FromLeader: true})
		if r.halted() {
			return errReset
		}
		return nil
	})
	if err == nil && resp.GetStatus() == peerv1.ForwardStatus_FORWARD_STATUS_OK {
		_ = e.view.Update(resp, sent, view.FromLeader)
	}
}

// serve runs one call unless the entry is dead or draining; a crash resets it.
func (e *memEntry) serve(ctx context.Context, method string, f func(context.Context, *entry.Server) error) (err error, drained bool) {
	e.mu.Lock()
	if e.dead || e.draining {
		e.mu.Unlock()
		return errUnreachable, false
	}
	call, reset, server := &openCall{method: method}, e.reset, e.server
	e.open[call] = true
	e.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	result := make(chan error, 1)
	go func() { result <- f(ctx, server) }()
	select {
	case err = <-result:
	case <-reset:
		err = errReset
		cancel()
		<-result
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.open, call)
	return err, call.drained
}

// crash resets every open call; restart takes calls again.
func (e *memEntry) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.dead {
		e.dead = true
		close(e.reset)
	}
}

func (e *memEntry) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead, e.draining, e.reset, e.server = false, false, make(chan struct{}), e.start()
}

// drain takes no new calls and returns once the open ones have ended.
func (e *memEntry) drain() {
	e.mu.Lock()
	e.draining = true
	e.server.Drain()
	for call := range e.open {
		call.drained = true
	}
	e.mu.Unlock()
	for {
		e.mu.Lock()
		left := len(e.open)
		e.mu.Unlock()
		if left == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// call carries one call of a client to an entry. Calls that were open when the entry
// began to drain, and that no fault of the network ended, are noted if they fail.
func (c *cell) call(ctx context.Context, from, method string, e *memEntry, f func(context.Context, *entry.Server) error) error {
	_, err := c.net.hop(ctx, toEntry, from, e.name, func() error {
		err, drained := e.serve(ctx, method, f)
		if drained {
			c.history.drained(e.name, method, err)
		}
		return err
	})
	return errors.Wrap(err, method)
}
