package faults

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/bulrushwinch/bulrushwinch/control"
	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/replica"
	"github.com/bulrushwinch/bulrushwinch/state"
	"github.com/bulrushwinch/bulrushwinch/wal"
	"github.com/pkg/errors"
)

// disk is the storage of one VM; it outlives the processes that use it.
type disk interface {
	replica.Storage
	// open is called by each process that starts on the disk.
	open() (raft.DurableState, error)
	// tearNextWrite makes the next write reach the disk only by half; crash is called before it.
	tearNextWrite(crash func())
}

// memDisk is a disk in memory. It keeps all completed writes; a write that a crash interrupts is
// lost as a whole.
type memDisk struct {
	mu       sync.Mutex
	restored raft.DurableState
	// stored is the last stored snapshot, which UseSnapshot installs.
	stored raft.Snapshot
}

func (d *memDisk) open() (raft.DurableState, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.restored
	out.Entries = slices.Clone(d.restored.Entries)
	return out, nil
}

// tearNextWrite crashes at once: a write in memory is kept as a whole or not at all.
func (d *memDisk) tearNextWrite(crash func()) { crash() }

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
func (d *memDisk) StoreSnapshot(s raft.Snapshot, _ wal.Origin, content func(io.Writer) error) error {
	var b bytes.Buffer
	if err := content(&b); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s.Data = b.Bytes()
	d.stored = s
	return nil
}

// UseSnapshot implements replica.Storage.
func (d *memDisk) UseSnapshot(s raft.Snapshot, origin wal.Origin) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stored.Index != s.Index {
		return errors.Errorf("snapshot %d is not stored", s.Index)
	}
	covered := min(uint64(len(d.restored.Entries)), s.Index-d.restored.Snapshot.Index)
	d.restored.Entries = slices.Clone(d.restored.Entries[covered:])
	if origin == wal.Received {
		d.restored.Entries = nil
	}
	d.restored.Snapshot = d.stored
	return nil
}

// OpenSnapshot implements replica.Storage.
func (d *memDisk) OpenSnapshot() (raft.Snapshot, io.ReadCloser, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.restored.Snapshot, io.NopCloser(bytes.NewReader(d.restored.Snapshot.Data)), nil
}

// walDisk is a data folder with a real log.
type walDisk struct {
	dir string
	log *wal.Log
	// crashInWrite is called in the next Append, which is torn; nil for a normal write.
	crashInWrite atomic.Pointer[func()]
}

func (d *walDisk) open() (raft.DurableState, error) {
	if d.log != nil {
		_ = d.log.Close()
	}
	log, restored, err := wal.Open(d.dir)
	d.log = log
	return restored, err
}

func (d *walDisk) tearNextWrite(crash func()) { d.crashInWrite.Store(&crash) }

// Append implements replica.Storage.
func (d *walDisk) Append(hard raft.HardState, entries []raft.Entry) error {
	crash := d.crashInWrite.Swap(nil)
	if crash == nil {
		return d.log.Append(hard, entries)
	}
	return errors.Wrap(d.tear(hard, entries, *crash), "tear the log")
}

// tear crashes the process in the middle of a write: it truncates the newest segment to half of
// what the write added.
func (d *walDisk) tear(hard raft.HardState, entries []raft.Entry, crash func()) error {
	crash()
	segments, err := filepath.Glob(filepath.Join(d.dir, "segment-*"))
	if err != nil || len(segments) == 0 {
		return errors.Errorf("no log segment in %s: %v", d.dir, err)
	}
	path := slices.Max(segments)
	before, err := os.Stat(path)
	if err != nil {
		return err
	}
	if err := d.log.Append(hard, entries); err != nil {
		return err
	}
	after, err := os.Stat(path)
	if err != nil {
		return err
	}
	if err := os.Truncate(path, (before.Size()+after.Size())/2); err != nil {
		return err
	}
	return errDead
}

// StoreSnapshot implements replica.Storage.
func (d *walDisk) StoreSnapshot(s raft.Snapshot, origin wal.Origin, content func(io.Writer) error) error {
	return d.log.StoreSnapshot(s, origin, content)
}

// UseSnapshot implements replica.Storage.
func (d *walDisk) UseSnapshot(s raft.Snapshot, origin wal.Origin) error {
	return d.log.UseSnapshot(s, origin)
}

// OpenSnapshot implements replica.Storage.
func (d *walDisk) OpenSnapshot() (raft.Snapshot, io.ReadCloser, error) { return d.log.OpenSnapshot() }

// errDead is the error of storage calls of a crashed process.
var errDead = errors.New("the process is dead")

// tapStorage triggers faults at the steps that a leader writes to its log, and keeps a dead process
// from writing.
type tapStorage struct {
	disk
	cell    *cell
	replica *memReplica
	members []raft.Member
}

// Append implements replica.Storage.
func (s *tapStorage) Append(hard raft.HardState, entries []raft.Entry) error {
	found := s.steps(entries)
	s.hit(found, beforeSync)
	if s.replica.halted() {
		return errDead
	}
	if err := s.disk.Append(hard, entries); err != nil {
		return err
	}
	s.hit(found, afterSync)
	if s.replica.halted() {
		return errDead
	}
	return nil
}

// StoreSnapshot implements replica.Storage.
func (s *tapStorage) StoreSnapshot(snap raft.Snapshot, origin wal.Origin, content func(io.Writer) error) error {
	s.hit([]step{stepSnapshot}, beforeSync)
	if s.replica.halted() {
		return errDead
	}
	return s.disk.StoreSnapshot(snap, origin, content)
}

// UseSnapshot implements replica.Storage.
func (s *tapStorage) UseSnapshot(snap raft.Snapshot, origin wal.Origin) error {
	if s.replica.halted() {
		return errDead
	}
	s.members = snap.Members
	return s.disk.UseSnapshot(snap, origin)
}

// hit triggers the faults of the steps found if the replica leads.
func (s *tapStorage) hit(found []step, p phase) {
	if s.replica.leadTerm.Load() == 0 {
		return
	}
	for _, f := range found {
		s.cell.triggers.hit(f, event{phase: p, replica: s.replica.address})
	}
}

// steps returns the steps that log entries stand for and tracks the members that they set.
func (s *tapStorage) steps(entries []raft.Entry) []step {
	var out []step
	for _, e := range entries {
		if e.Type != raft.EntryMembers {
			out = append(out, commandSteps(e.Data)...)
			continue
		}
		after, err := raft.DecodeMembers(e.Data)
		if err != nil {
			continue
		}
		if found := memberStep(s.members, after); found != "" {
			out = append(out, found)
		}
		s.members = after
	}
	return out
}

// tapMachine triggers faults at the steps that a leader applies.
type tapMachine struct {
	control.Machine
	cell    *cell
	replica *memReplica
}

// Apply implements replica.Machine.
func (m *tapMachine) Apply(data []byte) []state.Result {
	results := m.Machine.Apply(data)
	if m.replica.leadTerm.Load() != 0 {
		for _, s := range commandSteps(data) {
			m.cell.triggers.hit(s, event{phase: applied, replica: m.replica.address})
		}
	}
	m.replica.halted() // blocks while the process is paused
	return results
}

// tapOwner records whether a replica leads.
type tapOwner struct {
	*control.Controller
	replica *memReplica
}

// Lead implements replica.Owner.
func (o *tapOwner) Lead(term uint64) {
	o.replica.leadTerm.Store(term)
	o.Controller.Lead(term)
}

// Follow implements replica.Owner.
func (o *tapOwner) Follow(leader raft.Member) {
	o.replica.leadTerm.Store(0)
	o.Controller.Follow(leader)
}
