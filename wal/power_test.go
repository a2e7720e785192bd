package wal

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/pkg/errors"
)

// TestWhatARestartReadOutlivesALossOfPower kills a process at every file operation, starts it
// again on what is in the page cache, and then takes the power away. What the restart has
// restored is acknowledged to other replicas, so that it must not be lost.
func TestWhatARestartReadOutlivesALossOfPower(t *testing.T) {
	for name, l := range losses {
		t.Run(name, func(t *testing.T) {
			for operation := 0; !killAndLosePower(t, operation, unlimited, l); operation++ {
				for restart := range restartOperations {
					killAndLosePower(t, operation, restart, l)
				}
			}
		})
	}
}

// restartOperations is the number of file operations of a restart at which the process is killed again.
const restartOperations = 8

// killAndLosePower kills a process at an operation of runScript, and the restarted one at an operation
// of its restart. It reports whether runScript ended before.
func killAndLosePower(t *testing.T, operation, restart int, l loss) (ended bool) {
	t.Helper()
	rng := rand.New(rand.NewPCG(uint64(operation), uint64(restart)))
	dir := t.TempDir()
	fs := newVolatileFiles(rng, operation)
	if log, _, err := open(dir, fs); err == nil {
		ended = (&model{log: log}).runScript() == nil
		_ = log.file.(*volatileFile).Close()
	}
	fs.operationsLeft = restart
	if log, _, err := open(dir, fs); err == nil {
		_ = log.Close()
	}
	fs.operationsLeft = unlimited
	log, restarted, err := open(dir, fs)
	if err != nil {
		t.Fatalf("killed at operation %d, and at %d of the restart: %v", operation, restart, err)
	}
	next := raft.Entry{Index: log.last + 1, Term: 9, Data: []byte("after the restart")}
	if err := log.Append(raft.HardState{Term: 9, Vote: 1, Commit: restarted.HardState.Commit}, []raft.Entry{next}); err != nil {
		t.Fatalf("killed at operation %d, and at %d of the restart: %v", operation, restart, err)
	}
	_ = log.Close()
	fs.losePower(t, l)
	log, restored, err := open(dir, fs)
	if err != nil {
		t.Fatalf("killed at operation %d, and at %d of the restart, then lost power: %v", operation, restart, err)
	}
	_ = log.Close()
	if !sameEntries(restored.Entries, append(restarted.Entries, next)) || restored.Snapshot.Index != restarted.Snapshot.Index {
		t.Fatalf("killed at operation %d, and at %d of the restart, then lost power: restored %v after snapshot %d, the restart had read %v after snapshot %d",
			operation, restart, restored.Entries, restored.Snapshot.Index, restarted.Entries, restarted.Snapshot.Index)
	}
	return ended
}

func sameEntries(a, b []raft.Entry) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Index != b[i].Index || a[i].Term != b[i].Term || !bytes.Equal(a[i].Data, b[i].Data) {
			return false
		}
	}
	return true
}

// TestRandomLivesWithLossesOfPower compares a data folder with a model over lives that a kill, a full
// disk or a loss of power ends at any operation, also of a start. In some lives the disk is full for a
// while, and calls are made again until there is space. What was acknowledged, and what a start has
// restored, must still be there at each later start.
func TestRandomLivesWithLossesOfPower(t *testing.T) {
	for seed := range uint64(120) {
		rng := rand.New(rand.NewPCG(seed, 4))
		f := &folderModel{dir: filepath.Join(t.TempDir(), "data"), fs: newVolatileFiles(rng, 0), rng: rng, state: &model{}}
		f.fs.syncKeepsName, f.fs.newFolder = coin(rng), f.dir
		for life := range uint64(10) {
			if err := f.live(life); err != nil {
				t.Fatalf("seed %d, life %d: %v", seed, life, err)
			}
			f.crash(t)
		}
	}
}

// folderModel drives a data folder through several lives and records what must be durable.
type folderModel struct {
	dir   string
	fs    *volatileFiles
	rng   *rand.Rand
	state *model
	// identity is what the last complete start has read or saved; unacknowledged is what the folder
	// may hold instead after a call that was interrupted.
	identity, unacknowledged Identity
}

// live starts on the folder and makes random calls until they end or the process is killed.
func (f *folderModel) live(life uint64) error {
	f.fs.operationsLeft, f.fs.writesLeft = unlimited, unlimited
	f.state.freeSpace = nil
	if coin(f.rng) {
		f.state.freeSpace = func() { f.fs.writesLeft = []int{0, 1, 5, unlimited}[f.rng.IntN(4)] }
	}
	switch f.rng.IntN(8) {
	case 0:
	case 1, 2:
		f.fs.writesLeft = f.rng.IntN(12)
	case 3:
		f.fs.writesLeft, f.fs.operationsLeft = f.rng.IntN(12), f.rng.IntN(40)
	default:
		f.fs.operationsLeft = f.rng.IntN(40)
	}
	err := f.start(life)
	if err == nil {
		err = f.state.randomCalls(f.rng, life+1)
		_ = f.state.log.Close()
	}
	if errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ENOSPC) {
		return nil
	}
	return err
}

func (f *folderModel) start(life uint64) error {
	id, created, err := loadIdentity(f.dir, f.fs)
	if err != nil {
		return err
	}
	if created && f.identity.Replica != raft.None {
		return errors.New("the identity is lost")
	}
	log, restored, err := open(f.dir, f.fs)
	if err != nil {
		return err
	}
	if err := f.adopt(id, restored); err != nil {
		return err
	}
	f.state.log, f.state.padding = log, f.rng.IntN(3)*800
	if id.Group == 0 && coin(f.rng) {
		return f.join(life + 1)
	}
	return nil
}

// join saves a group in the identity.
func (f *folderModel) join(group uint64) error {
	id := f.identity
	id.Group = group
	if err := saveIdentity(f.dir, f.fs, id); err != nil {
		_ = f.state.log.Close()
		f.unacknowledged = id
		return err
	}
	f.identity = id
	return nil
}

// adopt compares what a start has read with the model. What it has read counts from then on.
func (f *folderModel) adopt(id Identity, restored raft.DurableState) error {
	if f.identity.Replica != raft.None && id != f.identity && id != f.unacknowledged {
		return errors.Errorf("read identity %v, expected %v or %v", id, f.identity, f.unacknowledged)
	}
	f.identity, f.unacknowledged = id, id
	err := f.state.matches(f.dir, restored)
	if err == nil {
		f.state.unacknowledged = nil
		return nil
	}
	if next := f.state.unacknowledged; next != nil && next.matches(f.dir, restored) == nil {
		f.state = next
		return nil
	}
	return err
}

// crash loses power, or leaves everything as it is after a kill.
func (f *folderModel) crash(t *testing.T) {
	t.Helper()
	if coin(f.rng) {
		return
	}
	names := slices.Sorted(maps.Keys(losses))
	f.fs.losePower(t, losses[names[f.rng.IntN(len(names))]])
}

// TestSetAsideOutlivesKillsAndLossesOfPower interrupts the move of a damaged log at every operation. The
// damaged log must never come back, neither under its old identity nor under the new one.
func TestSetAsideOutlivesKillsAndLossesOfPower(t *testing.T) {
	for name, l := range losses {
		t.Run(name, func(t *testing.T) {
			for operation := 0; !interruptSetAside(t, operation, l); operation++ {
			}
		})
	}
}

// interruptSetAside kills a process at an operation of the repair of a damaged folder, and then loses
// power. It reports whether the repair ended before.
func interruptSetAside(t *testing.T, operation int, l loss) (ended bool) {
	t.Helper()
	dir, fs, old := newDamagedFolder(t, rand.New(rand.NewPCG(uint64(operation), 5)))
	for _, powerLost := range []bool{false, true, true} {
		fs.operationsLeft = operation
		if _, err := repair(dir, fs); err == nil {
			ended = true
		}
		if powerLost {
			fs.losePower(t, l)
		}
	}
	fs.operationsLeft = unlimited
	id, err := repair(dir, fs)
	if err != nil || id.Replica == old.Replica {
		t.Fatalf("killed at operation %d: identity %v after %v: %v", operation, id, old, err)
	}
	fs.losePower(t, losses["none is kept"])
	if again, err := repair(dir, fs); err != nil || again != id {
		t.Fatalf("killed at operation %d: identity %v after %v: %v", operation, again, id, err)
	}
	return ended
}

// newDamagedFolder returns a folder of a group's member with a damaged frame in its log.
func newDamagedFolder(t *testing.T, rng *rand.Rand) (string, *volatileFiles, Identity) {
	t.Helper()
	dir, fs := t.TempDir(), newVolatileFiles(rng, unlimited)
	id, _, err := loadIdentity(dir, fs)
	if err != nil {
		t.Fatal(err)
	}
	log, _, err := open(dir, fs)
	if err != nil {
		t.Fatal(err)
	}
	id.Group = 1
	if err := saveIdentity(dir, fs, id); err != nil {
		t.Fatal(err)
	}
	if err := (&model{log: log}).runScript(); err != nil {
		t.Fatal(err)
	}
	_ = log.Close()
	path := segmentPath(dir, log.segments[len(log.segments)-1].number)
	fs.names[path].synced[frameHeaderBytes] ^= 1
	removeFile(t, path)
	writeFile(t, path, fs.names[path].synced)
	return dir, fs, id
}

// repair opens a folder as a replica does: a damaged one is set aside and gets a new identity.
func repair(dir string, fs fileSystem) (Identity, error) {
	for {
		id, _, err := loadIdentity(dir, fs)
		if err == nil {
			err = openNew(dir, fs, id)
		}
		if !errors.Is(err, ErrCorrupt) {
			return id, err
		}
		if _, err := setAside(dir, fs); err != nil {
			return id, err
		}
	}
}

// openNew opens the log of an identity, which is damaged if it is not empty but belongs to no group.
func openNew(dir string, fs fileSystem, id Identity) error {
	log, restored, err := open(dir, fs)
	if err != nil {
		return err
	}
	if id.Group == 0 && (restored.Snapshot.Index > 0 || len(restored.Entries) > 0) {
		err = ErrCorrupt
	}
	_ = log.Close()
	return err
}
