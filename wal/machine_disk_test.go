package wal

import (
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/raft"
)

const (
	// shortestSync bounds the time of a sync on the fastest disk, and longestChange that of any other operation.
	shortestSync  = time.Millisecond
	longestChange = 200 * time.Microsecond
	// syncTimeDoublings is the number of times by which the sync time of the slowest disk is doubled.
	syncTimeDoublings = 5
)

// MachineDisk is the disk of one machine with its page cache. It outlives the processes that use it,
// and is safe for concurrent use.
type MachineDisk struct {
	dir   string
	mu    sync.Mutex
	rng   *rand.Rand
	files *volatileFiles
	// longestSync bounds the time of a sync.
	longestSync time.Duration
}

// NewMachineDisk returns the empty disk of a machine, whose data folder is dir.
func NewMachineDisk(dir string, rng *rand.Rand) *MachineDisk {
	d := &MachineDisk{dir: dir, rng: rng, longestSync: shortestSync << rng.IntN(syncTimeDoublings+1)}
	d.files = d.newFiles()
	return d
}

func (d *MachineDisk) newFiles() *volatileFiles {
	files := newVolatileFiles(d.rng, unlimited)
	files.syncKeepsName = coin(d.rng)
	return files
}

// LossNames returns the names of the kinds of losses of power.
func LossNames() []string { return slices.Sorted(maps.Keys(losses)) }

// LosePower replaces the content of the disk by what a loss of power of the named kind leaves. No
// process may be using the disk.
func (d *MachineDisk) LosePower(t *testing.T, kind string) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files.losePower(t, losses[kind])
}

// SetFull fills the disk, or frees space on it.
func (d *MachineDisk) SetFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files.writesLeft = unlimited
	if full {
		d.files.writesLeft = -1
	}
}

// Empty removes all that is on the disk. No process may be using it.
func (d *MachineDisk) Empty(t *testing.T) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := os.RemoveAll(d.dir); err != nil {
		t.Fatal(err)
	}
	d.files = d.newFiles()
}

// Start returns the files for a process that starts on the machine.
func (d *MachineDisk) Start() *ProcessFiles { return &ProcessFiles{disk: d} }

// ProcessFiles are the files of a MachineDisk as one process uses them. Operations take virtual time.
type ProcessFiles struct {
	disk   *MachineDisk
	killed atomic.Bool
}

// Kill ends the process: operations that have begun may have had their effect, and all later ones fail.
func (p *ProcessFiles) Kill() { p.killed.Store(true) }

// Killed reports whether the process was killed.
func (p *ProcessFiles) Killed() bool { return p.killed.Load() }

// LoadIdentity is the function LoadIdentity on these files.
func (p *ProcessFiles) LoadIdentity() (Identity, error) {
	id, _, err := loadIdentity(p.disk.dir, p)
	return id, err
}

// SaveIdentity is the function SaveIdentity on these files.
func (p *ProcessFiles) SaveIdentity(id Identity) error { return saveIdentity(p.disk.dir, p, id) }

// HasLog is the function HasLog on these files.
func (p *ProcessFiles) HasLog() (bool, error) { return HasLog(p.disk.dir) }

// Open is the function Open on these files.
func (p *ProcessFiles) Open() (*Log, raft.DurableState, error) { return open(p.disk.dir, p) }

// SetAside is the function SetAside on these files.
func (p *ProcessFiles) SetAside() (string, error) { return setAside(p.disk.dir, p) }

// run runs an operation of up to two steps after the time that it takes. If the process was killed
// meanwhile, mostly none but sometimes some of the steps take place, and the process does not learn of it.
func (p *ProcessFiles) run(longest time.Duration, operation func(*volatileFiles) error) error {
	if p.killed.Load() {
		return syscall.EINTR
	}
	p.disk.mu.Lock()
	takes := time.Duration(p.disk.rng.Int64N(int64(longest)))
	p.disk.mu.Unlock()
	time.Sleep(takes)
	p.disk.mu.Lock()
	defer p.disk.mu.Unlock()
	files := p.disk.files
	files.operationsLeft = unlimited
	if !p.killed.Load() {
		return operation(files)
	}
	files.operationsLeft = max(0, p.disk.rng.IntN(8)-5)
	_ = operation(files)
	return syscall.EINTR
}

// processFile is an open file of a process.
type processFile struct {
	process *ProcessFiles
	open    file
}

// Create implements fileSystem.
func (p *ProcessFiles) Create(path string) (file, error) {
	f := &processFile{process: p}
	err := p.run(longestChange, func(v *volatileFiles) (err error) {
		f.open, err = v.Create(path)
		return err
	})
	if err != nil {
		if f.open != nil {
			_ = f.open.Close()
		}
		return nil, err
	}
	return f, nil
}

// Truncate implements fileSystem.
func (p *ProcessFiles) Truncate(path string, size int64) error {
	return p.run(p.disk.longestSync, func(v *volatileFiles) error { return v.Truncate(path, size) })
}

// Rename implements fileSystem.
func (p *ProcessFiles) Rename(from, to string) error {
	return p.run(longestChange, func(v *volatileFiles) error { return v.Rename(from, to) })
}

// Remove implements fileSystem.
func (p *ProcessFiles) Remove(path string) error {
	return p.run(longestChange, func(v *volatileFiles) error { return v.Remove(path) })
}

// Mkdir implements fileSystem.
func (p *ProcessFiles) Mkdir(path string) error {
	return p.run(longestChange, func(v *volatileFiles) error { return v.Mkdir(path) })
}

// SyncDir implements fileSystem.
func (p *ProcessFiles) SyncDir(dir string) error {
	return p.run(p.disk.longestSync, func(v *volatileFiles) error { return v.SyncDir(dir) })
}

// Write implements file.
func (f *processFile) Write(data []byte) (n int, err error) {
	err = f.process.run(longestChange, func(*volatileFiles) (err error) {
		n, err = f.open.Write(data)
		return err
	})
	return n, err
}

// Sync implements file.
func (f *processFile) Sync() error {
	return f.process.run(f.process.disk.longestSync, func(*volatileFiles) error { return f.open.Sync() })
}

// Close implements file.
func (f *processFile) Close() error { return f.open.Close() }
