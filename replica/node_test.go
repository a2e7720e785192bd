package replica

import (
	"io"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/wal"
	"github.com/pkg/errors"
)

// frequentSnapshots configures a snapshot every 20 entries and keeps no entries after it.
func frequentSnapshots(c *Config) {
	c.SnapshotEntries, c.KeepBytes = 20, 0
}

// TestLaggingReplicaCatchesUpBySnapshot isolates a follower until the leader has compacted its
// log, and lets the first two snapshot transfers fail half-way.
func TestLaggingReplicaCatchesUpBySnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, frequentSnapshots)
		c.transfersToFail = 2
		leader := c.leader()
		lagging := leader%3 + 1
		c.proposeAll(leader, 0, 5)
		c.setIsolated(lagging, true)
		c.proposeAll(leader, 5, 100)
		c.setIsolated(lagging, false)
		c.expectEqual(leader, lagging)
		if c.transfers != 3 {
			t.Errorf("%d snapshot transfers, expected 3", c.transfers)
		}
		c.proposeAll(c.leader(), 100, 105)
		c.stop(lagging)
		c.start(lagging)
		c.expectEqual(1, 2, 3)
	})
}

// TestRestartOfAllKeepsWhatWasAcknowledged stops all replicas and starts them again. All
// acknowledged commands must be restored.
func TestRestartOfAllKeepsWhatWasAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, frequentSnapshots)
		leader := c.leader()
		c.proposeAll(leader, 0, 50)
		want := c.replicas[leader].machine.all()
		for id := range c.dirs {
			c.stop(id)
		}
		for id := range c.dirs {
			c.start(id)
		}
		leader = c.leader()
		c.proposeAll(leader, 50, 51)
		if got := c.replicas[leader].machine.all(); got != want+"\ncommand 50" {
			t.Errorf("state after the restart: %q", got)
		}
		c.expectEqual(1, 2, 3)
	})
}

// failingStorage fails at all appends after the first appendsLeft ones, as on a full disk.
type failingStorage struct {
	*wal.Log
	appendsLeft int
}

func (s *failingStorage) Append(hard raft.HardState, entries []raft.Entry) error {
	if s.appendsLeft--; s.appendsLeft < 0 {
		return errors.Wrap(wal.ErrFailed, "no space left on device")
	}
	return s.Log.Append(hard, entries)
}

// TestFailedDiskStopsTheNode lets the leader's disk fail: the proposal must end with ErrLost, the
// node must stop, and the other replicas must continue.
func TestFailedDiskStopsTheNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		var storages [4]*failingStorage
		for id := range c.dirs {
			c.stop(id)
		}
		c.wrapStorage = func(id raft.ID, log *wal.Log) Storage {
			storages[id] = &failingStorage{log, 1 << 30}
			return storages[id]
		}
		for id := range c.dirs {
			c.start(id)
		}
		old := c.leader()
		r := c.replicas[old]
		c.proposeAll(old, 0, 5)
		if err := r.node.Post(c.ctx, func() { storages[old].appendsLeft = 0 }); err != nil {
			t.Fatal(err)
		}
		if err := c.propose(old, "last"); !errors.Is(err, ErrLost) {
			t.Errorf("proposal on a failed disk: %v", err)
		}
		if err := <-r.ended; !errors.Is(err, wal.ErrFailed) {
			t.Errorf("node ended with %v", err)
		}
		c.stop(old)
		c.proposeAll(c.leader(), 5, 6)
	})
}

// TestConfirmOnCutOffLeader expects that an isolated leader neither confirms its leadership nor
// commits.
func TestConfirmOnCutOffLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		old := c.leader()
		r := c.replicas[old]
		confirm := func() bool {
			result := make(chan bool, 1)
			if err := r.node.Post(c.ctx, func() { r.node.Confirm(func(ok bool) { result <- ok }) }); err != nil {
				t.Fatal(err)
			}
			return <-result
		}
		if !confirm() {
			t.Error("leadership with a quorum was not confirmed")
		}
		c.setIsolated(old, true)
		if confirm() {
			t.Error("leadership without a quorum was confirmed")
		}
		if err := c.propose(old, "x"); err == nil {
			t.Error("a leader without a quorum committed a proposal")
		}
	})
}

// TestFailover isolates leaders and expects the next commit within two election timeouts, as
// the two remaining replicas can't split their votes. The time is virtual.
func TestFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		var worst, sum time.Duration
		const rounds = 20
		for range rounds {
			old := c.leader()
			c.proposeAll(old, 0, 1)
			began := time.Now()
			c.setIsolated(old, true)
			for c.propose(c.leader(), "first") != nil {
				time.Sleep(time.Millisecond)
			}
			took := time.Since(began)
			worst, sum = max(worst, took), sum+took
			c.setIsolated(old, false)
			time.Sleep(5 * time.Second)
		}
		cfg := DefaultConfig(1, 1)
		if limit := time.Duration(2*cfg.Raft.ElectionTicks+2) * cfg.TickInterval; worst > limit {
			t.Errorf("first commit %s after the loss of a leader; the limit is %s", worst, limit)
		}
		t.Logf("first commit after %s on average, %s at worst", sum/rounds, worst)
	})
}

// TestEmptiedDisk empties the folder of a voter, restarts it as a learner under a new identity,
// replaces the old voter by it, and then stops the replica of a second VM. Before that, both replicas must know the
// committed membership: whoever waits for it before the next loss would wait for ever.
func TestEmptiedDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, frequentSnapshots)
		leader := c.leader()
		c.proposeAll(leader, 0, 50)
		emptied, other := leader%3+1, (leader+1)%3+1
		c.stop(emptied)
		if err := os.RemoveAll(c.dirs[emptied]); err != nil {
			t.Fatal(err)
		}
		delete(c.dirs, emptied)
		const fresh = raft.ID(9)
		c.dirs[fresh] = t.TempDir()
		c.changeMembers(leader, func(m []raft.Member) []raft.Member { return append(m, raft.Member{ID: fresh}) })
		c.start(fresh)
		c.expectEqual(leader, fresh)
		c.changeMembers(leader, func(m []raft.Member) []raft.Member {
			m[len(m)-1].Voter = true
			return m
		})
		c.changeMembers(leader, func(m []raft.Member) []raft.Member {
			return append(m[:emptied-1], m[emptied:]...)
		})
		c.expectEqual(leader, fresh)
		time.Sleep(time.Second)
		for _, id := range []raft.ID{leader, fresh} {
			want := c.replicas[leader].node.Raft().Members()
			if got := c.replicas[id].node.Members(); !slices.Equal(got, want) {
				t.Errorf("replica %d knows the members %v, expected %v", id, got, want)
			}
		}
		c.stop(other)
		c.proposeAll(c.leader(), 50, 60)
		c.expectEqual(leader, fresh)
	})
}

// changeMembers proposes a membership change, retrying while another one is pending, and waits
// for its commit.
func (c *cluster) changeMembers(on raft.ID, change func([]raft.Member) []raft.Member) {
	c.t.Helper()
	node := c.replicas[on].node
	for range 1000 {
		result := make(chan error, 1)
		err := node.Post(c.ctx, func() {
			_, err := node.Raft().ProposeMembers(change(node.Raft().Members()))
			result <- err
		})
		if err != nil {
			c.t.Fatal(err)
		}
		if err = <-result; err == nil {
			c.proposeAll(on, 1000, 1001)
			return
		}
		if !errors.Is(err, raft.ErrChangePending) {
			c.t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatal("membership change is still pending after 1000 attempts")
}

// TestFullDiskForSnapshots expects that a node continues with a warning while snapshots can't be
// written.
func TestFullDiskForSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		warnings := make(chan error, 100)
		c := newCluster(t, 1, func(cfg *Config) {
			frequentSnapshots(cfg)
			cfg.Warn = func(err error) { warnings <- err }
		})
		c.stop(1)
		c.wrapStorage = func(_ raft.ID, log *wal.Log) Storage { return fullDiskStorage{log} }
		c.start(1)
		c.proposeAll(c.leader(), 0, 60)
		if err := <-warnings; err == nil {
			t.Error("the warning is nil")
		}
	})
}

// fullDiskStorage fails to store snapshots, as on a full disk.
type fullDiskStorage struct{ *wal.Log }

func (fullDiskStorage) StoreSnapshot(raft.Snapshot, wal.Origin, func(io.Writer) error) error {
	return errors.New("no space left on device")
}

// slowStorage blocks each append until unblocked is closed. When an append starts, it signals
// began if the test waits for that.
type slowStorage struct {
	*wal.Log
	unblocked chan struct{}
	began     chan struct{}
}

func (s *slowStorage) Append(hard raft.HardState, entries []raft.Entry) error {
	select {
	case s.began <- struct{}{}:
	default:
	}
	<-s.unblocked
	return s.Log.Append(hard, entries)
}

// TestLeaderGoesOnWhileItSyncs blocks the leader's disk: posted functions must still run on its
// control goroutine, and proposals must be acknowledged only once the disk continues.
func TestLeaderGoesOnWhileItSyncs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		var storages [4]*slowStorage
		for id := range c.dirs {
			c.stop(id)
		}
		unblocked := make(chan struct{})
		close(unblocked)
		c.wrapStorage = func(id raft.ID, log *wal.Log) Storage {
			storages[id] = &slowStorage{log, unblocked, make(chan struct{})}
			return storages[id]
		}
		for id := range c.dirs {
			c.start(id)
		}
		leader := c.leader()
		c.proposeAll(leader, 0, 5)
		release, r := make(chan struct{}), c.replicas[leader]
		acknowledged := make(chan error, 2)
		err := r.node.Post(c.ctx, func() {
			storages[leader].unblocked = release
			for _, data := range []string{"one", "two"} {
				r.node.Propose([]byte(data), func(_ int, err error) { acknowledged <- err })
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		<-storages[leader].began
		ran := make(chan struct{})
		if err := r.node.Post(c.ctx, func() { close(ran) }); err != nil {
			t.Fatal(err)
		}
		select {
		case <-ran:
		case <-time.After(time.Second):
			t.Fatal("a posted function did not run while the disk was blocked")
		}
		if len(acknowledged) != 0 {
			t.Error("a proposal was acknowledged before it was durable at the leader")
		}
		close(release)
		for range 2 {
			if err := <-acknowledged; err != nil {
				t.Errorf("proposal: %v", err)
			}
		}
		c.expectEqual(1, 2, 3)
	})
}

// TestLeaderHandsOverWhenItsDiskStalls blocks the leader's disk for 3 s: another replica must
// become leader and acknowledge proposals, and the old one must catch up once its disk continues.
func TestLeaderHandsOverWhenItsDiskStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		var storages [4]*slowStorage
		for id := range c.dirs {
			c.stop(id)
		}
		unblocked := make(chan struct{})
		close(unblocked)
		c.wrapStorage = func(id raft.ID, log *wal.Log) Storage {
			storages[id] = &slowStorage{log, unblocked, make(chan struct{})}
			return storages[id]
		}
		for id := range c.dirs {
			c.start(id)
		}
		old := c.leader()
		c.proposeAll(old, 0, 5)
		release, r := make(chan struct{}), c.replicas[old]
		if err := r.node.Post(c.ctx, func() {
			storages[old].unblocked = release
			r.node.Propose([]byte("stalled"), func(int, error) {})
		}); err != nil {
			t.Fatal(err)
		}
		<-storages[old].began
		time.Sleep(3 * time.Second)
		for id := raft.ID(1); id <= 3; id++ {
			if id != old {
				if err := c.propose(id, "after the stall"); err == nil {
					close(release)
					c.expectEqual(1, 2, 3)
					return
				}
			}
		}
		close(release)
		t.Error("no other replica acknowledged a proposal 3 s after the leader's disk stalled")
	})
}
