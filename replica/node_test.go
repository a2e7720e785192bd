package replica

import (
	"io"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/wal"
	"github.com/pkg/errors"
)

func smallSnapshots(c *Config) {
	c.SnapshotEntries, c.KeepBytes = 20, 0
}

// TestLaggingReplicaCatchesUpBySnapshot cuts a follower off until the leader has compacted
// its log, and loses the first transfers half-way.
func TestLaggingReplicaCatchesUpBySnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, smallSnapshots)
		c.failTransfers = 2
		leader := c.leader()
		lagging := leader%3 + 1
		c.proposeAll(leader, 0, 5)
		c.setCut(lagging, true)
		c.proposeAll(leader, 5, 100)
		c.setCut(lagging, false)
		c.expectEqual(leader, lagging)
		if c.transfers != 3 {
			t.Errorf("%d transfers", c.transfers)
		}
		c.proposeAll(c.leader(), 100, 105)
		c.stop(lagging)
		c.start(lagging)
		c.expectEqual(1, 2, 3)
	})
}

// TestRestartOfAllKeepsWhatWasAcknowledged ends all processes and starts them again.
func TestRestartOfAllKeepsWhatWasAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, smallSnapshots)
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

// failingStorage fails at one append, as on a full disk.
type failingStorage struct {
	*wal.Log
	left int
}

func (s *failingStorage) Append(hard raft.HardState, entries []raft.Entry) error {
	if s.left--; s.left < 0 {
		return errors.Wrap(wal.ErrFailed, "no space left on device")
	}
	return s.Log.Append(hard, entries)
}

// TestFailedDiskStopsTheNode lets the leader's disk fail: the caller learns that the fate
// of its proposal is open, the node ends, and the others go on.
func TestFailedDiskStopsTheNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		var storages [4]*failingStorage
		for id := range c.dirs {
			c.stop(id)
		}
		c.wrap = func(id raft.ID, log *wal.Log) Storage {
			storages[id] = &failingStorage{log, 1 << 30}
			return storages[id]
		}
		for id := range c.dirs {
			c.start(id)
		}
		old := c.leader()
		r := c.replicas[old]
		c.proposeAll(old, 0, 5)
		if err := r.node.Post(c.ctx, func() { storages[old].left = 0 }); err != nil {
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

// TestConfirmOnCutOffLeader expects no confirmation without a quorum.
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
			t.Error("a leader with a quorum is not confirmed")
		}
		c.setCut(old, true)
		if confirm() {
			t.Error("a leader without a quorum is confirmed")
		}
		if err := c.propose(old, "x"); err == nil {
			t.Error("a leader without a quorum commits")
		}
	})
}

// TestFailover cuts leaders off and expects the next commit within two election timeouts, as
// the two replicas that are left can't split their votes. The time is virtual.
func TestFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		var worst, sum time.Duration
		const rounds = 20
		for range rounds {
			old := c.leader()
			c.proposeAll(old, 0, 1)
			began := time.Now()
			c.setCut(old, true)
			for c.propose(c.leader(), "first") != nil {
				time.Sleep(time.Millisecond)
			}
			took := time.Since(began)
			worst, sum = max(worst, took), sum+took
			c.setCut(old, false)
			time.Sleep(5 * time.Second)
		}
		cfg := DefaultConfig(1, 1)
		if limit := time.Duration(2*cfg.Raft.ElectionTicks+2) * cfg.TickInterval; worst > limit {
			t.Errorf("first commit %s after the loss of a leader; the limit is %s", worst, limit)
		}
		t.Logf("first commit after %s on average, %s at worst", sum/rounds, worst)
	})
}

// TestEmptiedDisk empties the folder of a voter, brings it back as a learner under a new
// identity, replaces the old voter by it, and then loses a second VM.
func TestEmptiedDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, smallSnapshots)
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
		c.stop(other)
		c.proposeAll(c.leader(), 50, 60)
		c.expectEqual(leader, fresh)
	})
}

// changeMembers proposes a change until it is taken, and waits for its commit.
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
	c.t.Fatal("the change stays pending")
}

// TestFullDiskForSnapshots goes on without snapshots while they can't be written.
func TestFullDiskForSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		warnings := make(chan error, 100)
		c := newCluster(t, 1, func(cfg *Config) {
			smallSnapshots(cfg)
			cfg.Warn = func(err error) { warnings <- err }
		})
		c.stop(1)
		c.wrap = func(_ raft.ID, log *wal.Log) Storage { return fullStorage{log} }
		c.start(1)
		c.proposeAll(c.leader(), 0, 60)
		if err := <-warnings; err == nil {
			t.Error("no warning")
		}
	})
}

// fullStorage has no space for snapshots.
type fullStorage struct{ *wal.Log }

func (fullStorage) StoreSnapshot(raft.Snapshot, wal.Origin, func(io.Writer) error) error {
	return errors.New("no space left on device")
}

// slowStorage lets appends wait for their turn.
type slowStorage struct {
	*wal.Log
	turn  chan struct{}
	began chan struct{}
}

func (s *slowStorage) Append(hard raft.HardState, entries []raft.Entry) error {
	select {
	case s.began <- struct{}{}:
	default:
	}
	<-s.turn
	return s.Log.Append(hard, entries)
}

// TestLeaderGoesOnWhileItSyncs blocks the leader's disk: calls still run on its control goroutine,
// nothing is acknowledged, and all of it is once the disk goes on.
func TestLeaderGoesOnWhileItSyncs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		var storages [4]*slowStorage
		for id := range c.dirs {
			c.stop(id)
		}
		open := make(chan struct{})
		close(open)
		c.wrap = func(id raft.ID, log *wal.Log) Storage {
			storages[id] = &slowStorage{log, open, make(chan struct{})}
			return storages[id]
		}
		for id := range c.dirs {
			c.start(id)
		}
		leader := c.leader()
		c.proposeAll(leader, 0, 5)
		shut, r := make(chan struct{}), c.replicas[leader]
		acknowledged := make(chan error, 2)
		err := r.node.Post(c.ctx, func() {
			storages[leader].turn = shut
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
			t.Fatal("a call waits for the disk")
		}
		if len(acknowledged) != 0 {
			t.Error("a proposal was acknowledged before it was durable at the leader")
		}
		close(shut)
		for range 2 {
			if err := <-acknowledged; err != nil {
				t.Errorf("proposal: %v", err)
			}
		}
		c.expectEqual(1, 2, 3)
	})
}

// TestLeaderHandsOverWhenItsDiskStalls blocks the leader's disk for long: another replica leads and
// acknowledges, and the old one follows once its disk goes on.
func TestLeaderHandsOverWhenItsDiskStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		var storages [4]*slowStorage
		for id := range c.dirs {
			c.stop(id)
		}
		open := make(chan struct{})
		close(open)
		c.wrap = func(id raft.ID, log *wal.Log) Storage {
			storages[id] = &slowStorage{log, open, make(chan struct{})}
			return storages[id]
		}
		for id := range c.dirs {
			c.start(id)
		}
		old := c.leader()
		c.proposeAll(old, 0, 5)
		shut, r := make(chan struct{}), c.replicas[old]
		if err := r.node.Post(c.ctx, func() {
			storages[old].turn = shut
			r.node.Propose([]byte("stalled"), func(int, error) {})
		}); err != nil {
			t.Fatal(err)
		}
		<-storages[old].began
		time.Sleep(3 * time.Second)
		for id := raft.ID(1); id <= 3; id++ {
			if id != old {
				if err := c.propose(id, "after the stall"); err == nil {
					close(shut)
					c.expectEqual(1, 2, 3)
					return
				}
			}
		}
		close(shut)
		t.Error("no other replica acknowledges three seconds after the leader's disk has stalled")
	})
}
