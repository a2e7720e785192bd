package wal

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/pkg/errors"
)

var testMembers = []raft.Member{{ID: 1, Voter: true, Address: "10.0.0.1:7401", Domain: "cordon"}}

// faultyFiles succeeds at operationsLeft operations and fails at all later ones, as after a
// crash. The first failed write leaves half of its data in the file.
type faultyFiles struct {
	osFiles
	operationsLeft int
	// failure is the error of the operations that fail.
	failure error
}

// nextOperation counts an operation and returns the error with which it fails, if any.
func (f *faultyFiles) nextOperation() error {
	if f.operationsLeft--; f.operationsLeft < 0 {
		return f.failure
	}
	return nil
}

type faultyFile struct {
	file
	fs *faultyFiles
}

func (f *faultyFiles) Create(path string) (file, error) {
	if err := f.nextOperation(); err != nil {
		return nil, err
	}
	inner, err := f.osFiles.Create(path)
	return &faultyFile{inner, f}, err
}

func (f *faultyFile) Write(p []byte) (int, error) {
	if err := f.fs.nextOperation(); err != nil {
		if f.fs.operationsLeft == -1 {
			_, _ = f.file.Write(p[:len(p)/2])
		}
		return 0, err
	}
	return f.file.Write(p)
}

func (f *faultyFile) Sync() error {
	if err := f.fs.nextOperation(); err != nil {
		return err
	}
	return f.file.Sync()
}

func (f *faultyFiles) Rename(from, to string) error {
	if err := f.nextOperation(); err != nil {
		return err
	}
	return f.osFiles.Rename(from, to)
}

func (f *faultyFiles) Remove(path string) error {
	if err := f.nextOperation(); err != nil {
		return err
	}
	return f.osFiles.Remove(path)
}

func (f *faultyFiles) SyncDir(dir string) error {
	if err := f.nextOperation(); err != nil {
		return err
	}
	return f.osFiles.SyncDir(dir)
}

// model drives a Log as a replica does and records what must be durable.
type model struct {
	log       *Log
	hardState raft.HardState
	snapshot  raft.Snapshot
	content   string
	entries   []raft.Entry
	// padding is a number of bytes by which entries are extended, and snapshots by paddingFactor as many.
	padding int
	// unacknowledged is the state that the folder may hold instead after a failed call.
	unacknowledged *model
	// freeSpace is called after a call without space, which is then made again; nil ends the life.
	freeSpace func()
}

// paddingFactor makes a padded snapshot take several chunks.
const paddingFactor = 200

func (m *model) last() uint64 { return m.snapshot.Index + uint64(len(m.entries)) }

func (m *model) clone() *model {
	c := *m
	c.unacknowledged, c.entries = nil, slices.Clone(m.entries)
	return &c
}

// update makes a call that changes the model. If it fails, the folder may hold the state
// before or after the change.
func (m *model) update(change func(*model), call func(next *model) error) error {
	next := m.clone()
	change(next)
	if err := call(next); err != nil {
		m.unacknowledged = next
		return err
	}
	*m = *next
	return nil
}

// untilSpace makes a call again until it finds space, if freeSpace is set.
func (m *model) untilSpace(call func() error) error {
	err := call()
	for errors.Is(err, ErrNoSpace) && m.freeSpace != nil {
		m.freeSpace()
		err = call()
	}
	return err
}

// append appends count entries starting at index from, which replace those there.
func (m *model) append(term, from uint64, count int) error {
	var entries []raft.Entry
	for i := range uint64(count) {
		data := fmt.Appendf(nil, "%d in term %d%s", from+i, term, strings.Repeat("x", m.padding))
		entries = append(entries, raft.Entry{Index: from + i, Term: term, Data: data})
	}
	return m.update(func(n *model) {
		n.entries = append(n.entries[:from-n.snapshot.Index-1], entries...)
		n.hardState = raft.HardState{Term: term, Vote: 1, Commit: max(n.hardState.Commit, n.snapshot.Index)}
	}, func(n *model) error {
		return m.untilSpace(func() error { return m.log.Append(n.hardState, entries) })
	})
}

// storeSnapshot stores and installs a snapshot.
func (m *model) storeSnapshot(index, term uint64, origin Origin) error {
	s := raft.Snapshot{Index: index, Term: term, Members: testMembers}
	content := fmt.Sprintf("state at %d", index) + strings.Repeat("y", paddingFactor*m.padding)
	return m.update(func(n *model) {
		if origin == Received {
			n.entries = nil
		} else {
			n.entries = n.entries[index-n.snapshot.Index:]
		}
		n.snapshot, n.content = s, content
		n.hardState.Commit = max(n.hardState.Commit, index)
	}, func(*model) error {
		err := m.untilSpace(func() error {
			return m.log.StoreSnapshot(s, origin, func(w io.Writer) error {
				_, err := io.WriteString(w, content)
				return err
			})
		})
		if err != nil {
			return err
		}
		return m.untilSpace(func() error { return m.log.UseSnapshot(s, origin) })
	})
}

// matches compares the restored state with the model. The commit index is not compared.
func (m *model) matches(dir string, r raft.DurableState) error {
	_, content, err := (&Log{dir: dir}).OpenSnapshot()
	if err != nil {
		return err
	}
	defer func() { _ = content.Close() }()
	data, err := io.ReadAll(content)
	if err != nil {
		return err
	}
	same := func(a, b raft.Entry) bool {
		return a.Index == b.Index && a.Term == b.Term && bytes.Equal(a.Data, b.Data)
	}
	switch {
	case r.Snapshot.Index != m.snapshot.Index || string(data) != m.content:
		return errors.Errorf("restored snapshot %d %q, expected %d %q", r.Snapshot.Index, data, m.snapshot.Index, m.content)
	case !slices.EqualFunc(r.Entries, m.entries, same):
		return errors.Errorf("restored entries %v, expected %v", r.Entries, m.entries)
	case r.HardState.Term != m.hardState.Term || r.HardState.Vote != m.hardState.Vote:
		return errors.Errorf("restored hard state %v, expected %v", r.HardState, m.hardState)
	}
	return nil
}

// check opens the folder again and fails unless it holds everything that was acknowledged.
func (m *model) check(t *testing.T, dir string) {
	t.Helper()
	log, restored, err := Open(dir)
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	err = m.matches(dir, restored)
	if err != nil && m.unacknowledged != nil {
		err = errors.Wrap(m.unacknowledged.matches(dir, restored), err.Error())
	}
	if err != nil {
		t.Fatal(err)
	}
	_ = log.Close()
}

// runScript does a fixed series of calls with overwritten entries and both kinds of snapshots.
func (m *model) runScript() error {
	steps := []func() error{
		func() error { return m.append(1, 1, 3) },
		func() error { return m.append(2, 4, 2) },
		func() error { return m.append(3, 3, 1) },
		func() error { return m.storeSnapshot(2, 1, Local) },
		func() error { return m.append(3, 4, 3) },
		func() error { return m.storeSnapshot(20, 4, Received) },
		func() error { return m.append(4, 21, 2) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// TestFailureAtEveryOperation lets each file operation of runScript and all later ones fail,
// as on a broken disk, a failed sync or a crash there, and expects that no acknowledged write is
// lost and that nothing is written after the failure.
func TestFailureAtEveryOperation(t *testing.T) {
	for operation := 0; ; operation++ {
		dir := t.TempDir()
		fs := &faultyFiles{operationsLeft: operation, failure: syscall.EIO}
		log, _, err := open(dir, fs)
		if err != nil {
			continue
		}
		m := &model{log: log}
		err = m.runScript()
		if err != nil && !errors.Is(m.log.Append(m.hardState, nil), ErrFailed) {
			t.Fatalf("operation %d: the log is still usable after %v", operation, err)
		}
		_ = log.file.(*faultyFile).file.Close()
		m.check(t, dir)
		if err == nil {
			return
		}
	}
}

// TestStoreSnapshotOnFullDisk expects that the log stays usable when a snapshot can't be
// written, and that no temporary files remain.
func TestStoreSnapshotOnFullDisk(t *testing.T) {
	dir := t.TempDir()
	fs := &faultyFiles{operationsLeft: 1 << 30, failure: syscall.ENOSPC}
	log, _, err := open(dir, fs)
	if err != nil {
		t.Fatal(err)
	}
	m := &model{log: log}
	if err := m.append(1, 1, 3); err != nil {
		t.Fatal(err)
	}
	fs.operationsLeft = 1
	if err := m.storeSnapshot(2, 1, Local); !errors.Is(err, ErrNoSpace) || errors.Is(err, ErrFailed) {
		t.Fatalf("snapshot on a full disk: %v", err)
	}
	fs.operationsLeft = 1 << 30
	if err := m.append(1, 4, 1); err != nil {
		t.Fatal(err)
	}
	if err := m.storeSnapshot(2, 1, Local); err != nil {
		t.Fatal(err)
	}
	_ = log.Close()
	m.check(t, dir)
	if files, _ := filepath.Glob(filepath.Join(dir, "*.tmp")); len(files) > 0 {
		t.Errorf("temporary files remain: %v", files)
	}
}

// newWrittenFolder returns a folder with acknowledged entries, and the path and byte range of
// its last frame.
func newWrittenFolder(t *testing.T) (m *model, dir, path string, from, to int) {
	t.Helper()
	dir = t.TempDir()
	log, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	m = &model{log: log}
	for i := range uint64(3) {
		from = int(log.size)
		if err := m.append(1, 5*i+1, 5); err != nil {
			t.Fatal(err)
		}
	}
	_ = log.Close()
	return m, dir, segmentPath(dir, log.segments[len(log.segments)-1].number), from, int(log.size)
}

// TestTornTail truncates the last write at each byte, and zeroes each of its sectors. All
// earlier writes must be restored.
func TestTornTail(t *testing.T) {
	m, _, path, from, to := newWrittenFolder(t)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	before := m.clone()
	before.entries = before.entries[:10]
	expectRecovery := func(data []byte) {
		t.Helper()
		target := t.TempDir()
		if err := os.WriteFile(filepath.Join(target, filepath.Base(path)), data, filePermissions); err != nil {
			t.Fatal(err)
		}
		before.check(t, target)
		before.check(t, target)
	}
	for size := from; size < to; size++ {
		expectRecovery(whole[:size])
	}
	for sector := from - from%sectorBytes; sector < to; sector += sectorBytes {
		torn := slices.Clone(whole)
		clear(torn[max(sector, from):min(sector+sectorBytes, to)])
		expectRecovery(torn)
	}
}

// TestDamageIsNeverSkipped flips a bit in each byte of a log and of a snapshot, and expects
// ErrCorrupt.
func TestDamageIsNeverSkipped(t *testing.T) {
	m, dir, path, _, _ := newWrittenFolder(t)
	damageEachByte(t, dir, path)
	log, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	m.log = log
	if err := m.storeSnapshot(12, 1, Local); err != nil {
		t.Fatal(err)
	}
	_ = log.Close()
	damageEachByte(t, dir, snapshotPath(dir, 12))
}

// TestLostFiles removes each file of a folder in turn and expects ErrCorrupt. It leaves the
// snapshot and the newest segment, whose content no other file records.
func TestLostFiles(t *testing.T) {
	m, dir, _, _, _ := newWrittenFolder(t)
	log, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	m.log = log
	if err := m.storeSnapshot(12, 1, Local); err != nil {
		t.Fatal(err)
	}
	if err := m.append(1, 16, 2); err != nil {
		t.Fatal(err)
	}
	_ = log.Close()
	m.check(t, dir)
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files[:len(files)-2] {
		path := filepath.Join(dir, f.Name())
		if err := os.Rename(path, path+".away"); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Open(dir); !errors.Is(err, ErrCorrupt) {
			t.Errorf("open without %s: %v", f.Name(), err)
		}
		if err := os.Rename(path+".away", path); err != nil {
			t.Fatal(err)
		}
	}
}

// damageEachByte flips a bit in each byte of a file in turn and expects that Open returns
// ErrCorrupt.
func damageEachByte(t *testing.T, dir, path string) {
	t.Helper()
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range whole {
		damaged := slices.Clone(whole)
		damaged[i] ^= 0x10
		if err := os.WriteFile(path, damaged, filePermissions); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Open(dir); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("open with byte %d of %s damaged: %v", i, filepath.Base(path), err)
		}
	}
	if err := os.WriteFile(path, whole, filePermissions); err != nil {
		t.Fatal(err)
	}
}

// TestRandomLives compares a log with a model over random calls and restarts.
func TestRandomLives(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 3))
		dir := t.TempDir()
		m := &model{}
		for term := uint64(1); term < 12; term++ {
			log, _, err := Open(dir)
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			m.log = log
			if err := m.randomCalls(rng, term); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			_ = log.Close()
			m.check(t, dir)
		}
	}
}

// randomCalls makes a few random calls in one term.
func (m *model) randomCalls(rng *rand.Rand, term uint64) error {
	for range rng.IntN(6) {
		span := int(m.last() - m.snapshot.Index)
		var err error
		switch p := rng.IntN(10); {
		case p < 6:
			err = m.append(term, m.snapshot.Index+1+uint64(rng.IntN(span+1)), 1+rng.IntN(4))
		case p < 8 && span > 0:
			index := m.snapshot.Index + 1 + uint64(rng.IntN(span))
			err = m.storeSnapshot(index, m.entries[index-m.snapshot.Index-1].Term, Local)
		case p == 8:
			err = m.storeSnapshot(m.last()+uint64(rng.IntN(5))+1, term, Received)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// TestLargeSnapshot stores a snapshot of many chunks while entries are appended.
func TestLargeSnapshot(t *testing.T) {
	dir := t.TempDir()
	log, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	m := &model{log: log}
	if err := m.append(1, 1, 3); err != nil {
		t.Fatal(err)
	}
	s := raft.Snapshot{Index: 3, Term: 1, Members: testMembers}
	line := strings.Repeat("label", 100) + "\n"
	err = log.StoreSnapshot(s, Local, func(w io.Writer) error {
		for i := range 3 * chunkBytes / len(line) {
			if _, err := io.WriteString(w, line); err != nil {
				return err
			}
			if i == 100 {
				if err := m.append(1, 4, 2); err != nil {
					return err
				}
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := log.UseSnapshot(s, Local); err != nil {
		t.Fatal(err)
	}
	_ = log.Close()
	m.snapshot, m.entries = s, m.entries[3:]
	m.content = strings.Repeat(line, 3*chunkBytes/len(line))
	m.check(t, dir)
}
