package replica

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/wal"
	"github.com/pkg/errors"
)

// spaceStorage finds no space while full is set, and records what is durable.
type spaceStorage struct {
	*wal.Log
	mu   sync.Mutex
	full bool
	hard raft.HardState
	last uint64
}

func (s *spaceStorage) Append(hard raft.HardState, entries []raft.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.full {
		return errors.Wrap(wal.ErrNoSpace, "append")
	}
	s.hard = hard
	if n := len(entries); n > 0 {
		s.last = entries[n-1].Index
	}
	return s.Log.Append(hard, entries)
}

func (s *spaceStorage) UseSnapshot(snapshot raft.Snapshot, origin wal.Origin) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.full && origin == wal.Received {
		return errors.Wrap(wal.ErrNoSpace, "use snapshot")
	}
	s.last = max(s.last, snapshot.Index)
	return s.Log.UseSnapshot(snapshot, origin)
}

func (s *spaceStorage) setFull(full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full = full
}

// promised reports whether a message tells others of something that is not durable.
func (s *spaceStorage) promised(m raft.Message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch m.Type {
	case raft.MsgVote:
		return m.Term > s.hard.Term || s.hard.Vote != m.From
	case raft.MsgVoteReply:
		return !m.Reject && (m.Term > s.hard.Term || s.hard.Term == m.Term && s.hard.Vote != m.To)
	case raft.MsgAppendReply:
		return !m.Reject && m.LogIndex > s.last
	}
	return false
}

// newFullableCluster returns a cluster whose disks can be full, and fails the test if a node tells others of
// something that is not durable.
func newFullableCluster(t *testing.T, voters int, cfg func(*Config)) (*cluster, map[raft.ID]*spaceStorage) {
	c := newCluster(t, voters, cfg)
	for id := range c.dirs {
		c.stop(id)
	}
	storages := make(map[raft.ID]*spaceStorage)
	c.wrapStorage = func(id raft.ID, log *wal.Log) Storage {
		storages[id] = &spaceStorage{Log: log, last: 1}
		return storages[id]
	}
	c.onSend = func(m raft.Message) {
		if storages[m.From].promised(m) {
			t.Errorf("replica %d sent %+v before it was durable", m.From, m)
		}
	}
	for id := range c.dirs {
		// All storages exist before the first message.
		storages[id] = &spaceStorage{}
	}
	for id := range c.dirs {
		c.start(id)
	}
	return c, storages
}

// proposeLater proposes a command without waiting for its result.
func (c *cluster) proposeLater(id raft.ID, data string) <-chan error {
	result := make(chan error, 1)
	go func() { result <- c.propose(id, data) }()
	return result
}

// TestLeaderWithAFullDiskHandsOver fills the leader's disk: another replica must lead within two election
// timeouts, the old leader must go on running and tell its callers, and catch up once there is space.
func TestLeaderWithAFullDiskHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		events := make(chan string, 100)
		c, storages := newFullableCluster(t, 3, func(cfg *Config) {
			cfg.NoSpace = func(error) { events <- "no space" }
			cfg.SpaceReturned = func(time.Duration) { events <- "space returned" }
		})
		old := c.leader()
		c.proposeAll(old, 0, 5)
		storages[old].setFull(true)
		pending := c.proposeLater(old, "unknown")
		if err := <-pending; !errors.Is(err, ErrLost) {
			t.Errorf("proposal at a leader that handed over: %v", err)
		}
		time.Sleep(600 * time.Millisecond)
		next := c.leader()
		if next == old {
			t.Fatal("the replica with the full disk still leads")
		}
		c.proposeAll(next, 5, 10)
		if err := c.propose(old, "refused"); !errors.Is(err, raft.ErrNotLeader) {
			t.Errorf("proposal at a replica that waits for space: %v", err)
		}
		time.Sleep(time.Minute)
		storages[old].setFull(false)
		c.expectEqual(1, 2, 3)
		if first, second := <-events, <-events; first != "no space" || second != "space returned" {
			t.Errorf("reported %q, %q", first, second)
		}
	})
}

// TestFollowerWithAFullDiskAcknowledgesNothing needs the follower for the quorum: nothing may be committed
// until it has space.
func TestFollowerWithAFullDiskAcknowledgesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, storages := newFullableCluster(t, 3, frequentSnapshots)
		leader := c.leader()
		full, other := leader%3+1, (leader+1)%3+1
		c.proposeAll(leader, 0, 5)
		storages[full].setFull(true)
		c.proposeAll(leader, 5, 100)
		c.setIsolated(other, true)
		pending := c.proposeLater(leader, "needs the full replica")
		time.Sleep(300 * time.Millisecond)
		select {
		case err := <-pending:
			t.Fatalf("proposal without a quorum that has space: %v", err)
		default:
		}
		c.setIsolated(other, false)
		storages[full].setFull(false)
		<-pending
		c.expectEqual(1, 2, 3)
	})
}

// TestReplicaWithoutSpaceKnowsTheLeader expects that a replica that waits for space tells callers of a new leader, and
// of none once the leader is silent: calls that it passed on to a lost leader would end without an answer.
func TestReplicaWithoutSpaceKnowsTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, storages := newFullableCluster(t, 5, nil)
		old := c.leader()
		full := old%5 + 1
		storages[full].setFull(true)
		c.proposeAll(old, 0, 5)
		c.setIsolated(old, true)
		time.Sleep(3 * time.Second)
		next := c.leader()
		c.proposeAll(next, 5, 6)
		if known := c.replicas[full].owner.leader.Load(); known != uint64(next) {
			t.Errorf("replica %d leads, the replica without space knows %d", next, known)
		}
		c.setIsolated(full, true)
		time.Sleep(time.Second)
		if known := c.replicas[full].owner.leader.Load(); known != uint64(raft.None) {
			t.Errorf("the replica without space knows %d, which it has not heard for a second", known)
		}
		c.setIsolated(full, false)
		c.setIsolated(old, false)
		storages[full].setFull(false)
		c.expectEqual(1, 2, 3, 4, 5)
	})
}

// TestLoneReplicaWaitsForSpace expects that the only voter keeps its leadership, as no other one can
// take it, and that callers get their results.
func TestLoneReplicaWaitsForSpace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, storages := newFullableCluster(t, 1, nil)
		c.proposeAll(c.leader(), 0, 5)
		storages[1].setFull(true)
		pending := c.proposeLater(1, "waits")
		time.Sleep(time.Minute)
		if len(pending) > 0 {
			t.Error("a proposal ended without space")
		}
		storages[1].setFull(false)
		if err := <-pending; err != nil {
			t.Error(err)
		}
	})
}

// TestAllDisksFullAtOnce fills the disks of all five voters: nothing may be acknowledged, none may stop, and
// the group must continue once there is space, also on a majority only.
func TestAllDisksFullAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, storages := newFullableCluster(t, 5, nil)
		leader := c.leader()
		c.proposeAll(leader, 0, 5)
		for _, s := range storages {
			s.setFull(true)
		}
		if err := c.propose(leader, "full"); err == nil {
			t.Error("a proposal was acknowledged without space")
		}
		time.Sleep(time.Minute)
		for id := raft.ID(1); id <= 3; id++ {
			storages[id].setFull(false)
		}
		time.Sleep(5 * time.Second)
		c.proposeAll(c.leader(), 5, 10)
		for _, s := range storages {
			s.setFull(false)
		}
		c.expectEqual(1, 2, 3, 4, 5)
	})
}

// TestSpaceThatComesAndGoes fills and frees random disks of five voters while replicas are cut off: no
// acknowledged command may be lost or applied twice.
func TestSpaceThatComesAndGoes(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 6))
			c, storages := newFullableCluster(t, 5, frequentSnapshots)
			var mu sync.Mutex
			acknowledged := make(map[string]bool)
			for round := range 60 {
				for id := raft.ID(1); id <= 5; id++ {
					storages[id].setFull(rng.IntN(3) == 0)
					c.setIsolated(id, rng.IntN(12) == 0)
					data := fmt.Sprintf("round %d at %d", round, id)
					c.wg.Add(1)
					go func() {
						defer c.wg.Done()
						if c.propose(id, data) == nil {
							mu.Lock()
							acknowledged[data] = true
							mu.Unlock()
						}
					}()
				}
				time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
			}
			for id := raft.ID(1); id <= 5; id++ {
				storages[id].setFull(false)
				c.setIsolated(id, false)
			}
			time.Sleep(10 * time.Second)
			c.proposeAll(c.leader(), 0, 1)
			c.expectEqual(1, 2, 3, 4, 5)
			counts := make(map[string]int)
			for _, line := range strings.Split(c.replicas[1].machine.all(), "\n") {
				counts[line]++
			}
			mu.Lock()
			defer mu.Unlock()
			for data := range acknowledged {
				if counts[data] != 1 {
					t.Errorf("seed %d: %q was acknowledged and is there %d times", seed, data, counts[data])
				}
			}
			t.Logf("seed %d: %d of 300 commands acknowledged", seed, len(acknowledged))
		})
	}
}
