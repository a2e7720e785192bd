package wal

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/bulrushwinch/bulrushwinch/raft"
)

// inode is a file of a volatileFiles, whatever its name.
type inode struct {
	// synced is the content that the last sync covered.
	synced []byte
}

// volatileFiles keeps track of what a loss of power may take: the content of files and the names
// in the folder that were not synced. After operationsLeft operations, all others fail, as if
// the process was killed there; what it wrote stays in the page cache.
type volatileFiles struct {
	osFiles
	dir            string
	operationsLeft int
	names          map[string]*inode
	syncedNames    map[string]*inode
}

const unlimited = 1 << 30

func newVolatileFiles(dir string, operations int) *volatileFiles {
	return &volatileFiles{dir: dir, operationsLeft: operations, names: map[string]*inode{}, syncedNames: map[string]*inode{}}
}

func (v *volatileFiles) nextOperation() error {
	if v.operationsLeft--; v.operationsLeft < 0 {
		return syscall.EINTR
	}
	return nil
}

type volatileFile struct {
	file
	fs    *volatileFiles
	path  string
	inode *inode
}

func (v *volatileFiles) Create(path string) (file, error) {
	if err := v.nextOperation(); err != nil {
		return nil, err
	}
	f, err := v.osFiles.Create(path)
	node := &inode{}
	v.names[filepath.Base(path)] = node
	return &volatileFile{f, v, path, node}, err
}

func (f *volatileFile) Write(p []byte) (int, error) {
	if err := f.fs.nextOperation(); err != nil {
		return 0, err
	}
	return f.file.Write(p)
}

func (f *volatileFile) Sync() error {
	if err := f.fs.nextOperation(); err != nil {
		return err
	}
	data, err := os.ReadFile(f.path)
	f.inode.synced = data
	return err
}

func (v *volatileFiles) Truncate(path string, size int64) error {
	if err := v.nextOperation(); err != nil {
		return err
	}
	if err := v.osFiles.Truncate(path, size); err != nil {
		return err
	}
	data, err := os.ReadFile(path)
	v.names[filepath.Base(path)].synced = data
	return err
}

func (v *volatileFiles) Rename(from, to string) error {
	if err := v.nextOperation(); err != nil {
		return err
	}
	v.names[filepath.Base(to)] = v.names[filepath.Base(from)]
	delete(v.names, filepath.Base(from))
	return v.osFiles.Rename(from, to)
}

func (v *volatileFiles) Remove(path string) error {
	if err := v.nextOperation(); err != nil {
		return err
	}
	delete(v.names, filepath.Base(path))
	return v.osFiles.Remove(path)
}

func (v *volatileFiles) SyncDir(string) error {
	if err := v.nextOperation(); err != nil {
		return err
	}
	v.syncedNames = maps.Clone(v.names)
	return nil
}

// losePower replaces the folder's files by what a loss of power leaves: of each name and each
// write that was not synced, keep decides whether it is kept, and the last write kept may be torn.
func (v *volatileFiles) losePower(t *testing.T, keep func() bool, rng *rand.Rand) {
	t.Helper()
	cached := map[*inode][]byte{}
	for name, node := range v.names {
		cached[node] = readFile(t, filepath.Join(v.dir, name))
	}
	left := map[string]*inode{}
	for _, names := range []map[string]*inode{v.syncedNames, v.names} {
		for name, node := range names {
			if v.syncedNames[name] == v.names[name] || keep() {
				left[name] = node
			}
		}
	}
	for name := range v.names {
		removeFile(t, filepath.Join(v.dir, name))
	}
	for name, node := range left {
		data := node.synced
		if all := cached[node]; len(all) > len(data) && keep() {
			data = all[:len(data)+1+rng.IntN(len(all)-len(data))]
		}
		writeFile(t, filepath.Join(v.dir, name), data)
	}
	v.names, v.syncedNames = left, maps.Clone(left)
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func removeFile(t *testing.T, path string) {
	t.Helper()
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
}

func writeFile(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, filePermissions); err != nil {
		t.Fatal(err)
	}
}

// TestWhatARestartReadOutlivesALossOfPower kills a process at every file operation, starts it
// again on what is in the page cache, and then takes the power away. What the restart has
// restored is acknowledged to other replicas, so that it must not be lost.
func TestWhatARestartReadOutlivesALossOfPower(t *testing.T) {
	losses := map[string]func(*rand.Rand) bool{
		"none is kept":        func(*rand.Rand) bool { return false },
		"all is kept or torn": func(*rand.Rand) bool { return true },
		"some is kept":        func(rng *rand.Rand) bool { return rng.IntN(2) == 0 },
	}
	for name, keep := range losses {
		t.Run(name, func(t *testing.T) {
			for operation := 0; !killAndLosePower(t, operation, unlimited, keep); operation++ {
				for restart := range restartOperations {
					killAndLosePower(t, operation, restart, keep)
				}
			}
		})
	}
}

// restartOperations is the number of file operations of a restart at which the process is killed again.
const restartOperations = 6

// killAndLosePower kills a process at an operation of runScript, and the restarted one at an operation
// of its restart. It reports whether runScript ended before.
func killAndLosePower(t *testing.T, operation, restart int, keep func(*rand.Rand) bool) (ended bool) {
	t.Helper()
	rng := rand.New(rand.NewPCG(uint64(operation), uint64(restart)))
	dir := t.TempDir()
	fs := newVolatileFiles(dir, operation)
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
	fs.losePower(t, func() bool { return keep(rng) }, rng)
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
