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
	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/replica"
	"github.com/bulrushwinch/bulrushwinch/state"
	"github.com/bulrushwinch/bulrushwinch/timeline"
	"github.com/bulrushwinch/bulrushwinch/wal"
)

const (
	// groupID identifies the raft group in join requests.
	groupID = 1
	// snapshotEntries is the number of log entries between snapshots. It is low, so that every
	// run takes snapshots.
	snapshotEntries = 60
	// eventCapacity is the number of timeline events that a replica keeps.
	eventCapacity = 8192
	// viewPause is the time between two rounds of view requests of an entry.
	viewPause = 50 * time.Millisecond
	// viewTimeout bounds one view request.
	viewTimeout = 2500 * time.Millisecond
)

// testDomains are the failure domains of a cell.
var testDomains = []string{"cordon", "prado", "pocitos"}

// virtualClock is a lease.Clock on the virtual time of the test's synctest bubble.
type virtualClock struct{ start time.Time }

// Now implements lease.Clock.
func (c virtualClock) Now() time.Duration { return time.Since(c.start) }

// gate simulates a stopped process: wait blocks while the gate is shut.
type gate struct {
	mu     sync.Mutex
	opened chan struct{}
	since  time.Time
}

// shut makes later calls of wait block; a gate that is shut already stays as it is.
func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened, g.since = make(chan struct{}), time.Now()
	}
}

// open releases all blocked calls of wait.
func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// shutSince returns when the gate was shut and true, or false while it is open.
func (g *gate) shutSince() (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.since, g.opened != nil
}

// wait returns once the gate is open.
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

// cell is a whole system in memory: replicas, entries and workers, which are upstream VMs.
type cell struct {
	t        *testing.T
	seed     uint64
	dir      string // parent of the replicas' data folders; empty for in-memory disks
	net      *network
	clock    virtualClock
	triggers triggers
	history  *history
	operator *memEntry

	mu       sync.Mutex
	replicas map[string]*memReplica
	lastID   raft.ID
	entries  []*memEntry
	workers  map[string]*worker
	// repairing is a semaphore of one that serializes changes of the membership.
	repairing chan struct{}

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// pendingHeals counts the delayed parts of faults that have not finished.
	pendingHeals atomic.Int64
}

// memReplica is one replica process on a VM, with the VM's disk.
type memReplica struct {
	address    string
	id         raft.ID
	disk       disk
	node       *replica.Node[[]state.Result]
	controller *control.Controller
	events     *timeline.Recorder
	gate       gate
	dead       atomic.Bool
	leadTerm   atomic.Uint64 // term that the replica leads; 0 while it does not lead
	cancel     context.CancelFunc
	done       chan struct{}
}

// halted blocks while the process is paused, then reports whether it is dead.
func (r *memReplica) halted() bool {
	if r.dead.Load() {
		return true
	}
	r.gate.wait()
	return r.dead.Load()
}

// newCell starts a raft group with one voter per failure domain, two entries for clients, and
// an entry for the operator that no client uses. Disks are folders in dir, or in memory if dir
// is empty.
func newCell(t *testing.T, seed uint64, dir string) *cell {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cell{t: t, seed: seed, dir: dir, clock: virtualClock{time.Now().Add(-time.Hour)}, history: newHistory(),
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
		if err := c.bootstrapDisk(d, first); err != nil {
			t.Fatal(err)
		}
		c.startReplica(m.Address, m.ID, d)
	}
	time.Sleep(startupTime)
	return c
}

// bootstrapDisk writes the initial snapshot of a new raft group to a disk.
func (c *cell) bootstrapDisk(d disk, first raft.Snapshot) error {
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

// newDisk returns the empty disk of a replica: a folder in c.dir, or in memory if that is empty.
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

// spawn runs f on a goroutine that stop waits for.
func (c *cell) spawn(f func()) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		f()
	}()
}

// healPollInterval is the virtual time between checks whether all faults have ended.
const healPollInterval = 10 * time.Millisecond

// awaitHealing returns once all faults have ended. It polls a counter because a fault may begin
// while it waits, which a WaitGroup does not allow.
func (c *cell) awaitHealing() {
	for c.pendingHeals.Load() > 0 {
		time.Sleep(healPollInterval)
	}
}

// heal runs f, the later part of a fault, after a delay on a goroutine of its own.
func (c *cell) heal(after time.Duration, f func()) {
	c.pendingHeals.Add(1)
	c.spawn(func() {
		defer c.pendingHeals.Add(-1)
		time.Sleep(after)
		f()
	})
}

// stop ends every goroutine of the cell and waits for them.
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

// startReplica starts a replica process that restores its state from a disk.
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
	r.controller.SetPassOn((&memForwarder{c.net, address}).Forward)
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

// crash ends a replica process at once: it writes, sends and answers nothing more.
func (c *cell) crash(r *memReplica) {
	r.dead.Store(true)
	r.leadTerm.Store(0)
	r.gate.open()
	r.cancel()
}

// restart waits for a crashed replica to end and starts it again on its disk.
func (c *cell) restart(r *memReplica) *memReplica {
	<-r.done
	return c.startReplica(r.address, r.id, r.disk)
}

// freeze pauses a replica's process until its gate opens.
func (c *cell) freeze(r *memReplica) {
	r.gate.shut()
	_ = r.node.Post(c.ctx, func() { r.gate.wait() })
}

// live returns the replicas that are not dead, sorted by address.
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

// leaderAt returns the leader that took part in an event. If the event names none, or that one
// is dead, it returns the present leader, else any live replica; nil if none is live.
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

// followerAt returns a live replica other than the leader of an event, or that leader if it is
// the only one.
func (c *cell) followerAt(e event) *memReplica {
	leader := c.leaderAt(e)
	for _, r := range c.live() {
		if r != leader {
			return r
		}
	}
	return leader
}

// replicaAddresses returns the addresses of all replicas that may ever run, with the spare VM.
func (c *cell) replicaAddresses() []string {
	out := []string{spareAddress}
	for _, d := range testDomains {
		out = append(out, "replica-"+d)
	}
	return out
}
