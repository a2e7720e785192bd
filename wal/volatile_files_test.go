package wal

import (
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
)

// unlimited is a number of operations that is never reached.
const unlimited = 1 << 30

// write is a change of a file's content: data at an offset, or a new length if data is nil.
type write struct {
	offset int
	data   []byte
	// torn is set for a part that a torn write has left, which is not torn again: a disk writes a sector
	// as a whole.
	torn bool
}

// apply returns the content after the write. A gap before it reads as zeros.
func (w write) apply(content []byte) []byte {
	end := w.offset + len(w.data)
	if grow := end - len(content); grow > 0 {
		content = append(content, make([]byte, grow)...)
	}
	if w.data == nil {
		return content[:w.offset]
	}
	copy(content[w.offset:], w.data)
	return content
}

// inode is a file of a volatileFiles, whatever its name.
type inode struct {
	// synced is the content that the last sync covered; unsynced holds the later writes.
	synced   []byte
	unsynced []write
	// size is the length of the file, at which the next write begins.
	size int
	// path is the name of the file.
	path string
}

func (n *inode) content() []byte {
	content := slices.Clone(n.synced)
	for _, w := range n.unsynced {
		content = w.apply(content)
	}
	return content
}

func (n *inode) sync() {
	for _, w := range n.unsynced {
		n.synced = w.apply(n.synced)
	}
	n.unsynced = nil
}

// volatileFiles keeps track of what a loss of power may take: the content of files and the names
// in folders that were not synced. After operationsLeft operations, all others fail, as if the
// process was killed there; what it wrote stays in the page cache.
type volatileFiles struct {
	osFiles
	operationsLeft int
	// writesLeft is the number of writes after which the disk is full. Some new files and names find no
	// space then either.
	writesLeft int
	rng        *rand.Rand
	// syncKeepsName makes the name of a new file durable with the sync of its content.
	syncKeepsName bool
	// newFolder is a folder whose own name is lost with all that is in it unless the folder above it
	// is synced; empty if there is none.
	newFolder string
	// names and syncedNames hold the files by their path.
	names, syncedNames map[string]*inode
}

func newVolatileFiles(rng *rand.Rand, operations int) *volatileFiles {
	return &volatileFiles{rng: rng, operationsLeft: operations, writesLeft: unlimited, names: map[string]*inode{}, syncedNames: map[string]*inode{}}
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
	inode *inode
}

func (v *volatileFiles) nextName() error {
	err := v.nextOperation()
	if err == nil && v.writesLeft < 0 && coin(v.rng) {
		err = syscall.ENOSPC
	}
	return err
}

func (v *volatileFiles) Create(path string) (file, error) {
	if err := v.nextName(); err != nil {
		return nil, err
	}
	f, err := v.osFiles.Create(path)
	if err != nil {
		return nil, err
	}
	node := &inode{path: path}
	v.names[path] = node
	return &volatileFile{file: f, fs: v, inode: node}, nil
}

// Write implements file. The write during which the process is killed, and one on a full disk, leave
// a part of their data.
func (f *volatileFile) Write(p []byte) (int, error) {
	err := f.fs.nextOperation()
	if err != nil && f.fs.operationsLeft != -1 {
		return 0, err
	}
	if f.fs.writesLeft--; err == nil && f.fs.writesLeft < 0 {
		err = syscall.ENOSPC
	}
	if err != nil {
		p = p[:f.fs.rng.IntN(len(p)+1)]
	}
	if len(p) > 0 {
		f.inode.unsynced = append(f.inode.unsynced, write{offset: f.inode.size, data: slices.Clone(p)})
		f.inode.size += len(p)
	}
	n, writeErr := f.file.Write(p)
	if err == nil {
		err = writeErr
	}
	return n, err
}

func (f *volatileFile) Sync() error {
	if err := f.fs.nextOperation(); err != nil {
		return err
	}
	f.fs.sync(f.inode.path, f.inode)
	return nil
}

func (v *volatileFiles) sync(path string, node *inode) {
	node.sync()
	if _, exists := v.syncedNames[path]; v.syncKeepsName && !exists {
		v.syncedNames[path] = node
		v.newFolder = ""
	}
}

func (v *volatileFiles) Truncate(path string, size int64) error {
	if err := v.nextOperation(); err != nil {
		return err
	}
	if err := os.Truncate(path, size); err != nil {
		return err
	}
	node := v.names[path]
	node.size = int(size)
	node.unsynced = append(node.unsynced, write{offset: int(size)})
	if err := v.nextOperation(); err != nil {
		return err
	}
	v.sync(path, node)
	return nil
}

func (v *volatileFiles) Rename(from, to string) error {
	if err := v.nextName(); err != nil {
		return err
	}
	if err := v.osFiles.Rename(from, to); err != nil {
		return err
	}
	v.names[to] = v.names[from]
	v.names[to].path = to
	delete(v.names, from)
	return nil
}

func (v *volatileFiles) Remove(path string) error {
	if err := v.nextOperation(); err != nil {
		return err
	}
	delete(v.names, path)
	return v.osFiles.Remove(path)
}

func (v *volatileFiles) Mkdir(path string) error {
	if err := v.nextName(); err != nil {
		return err
	}
	return v.osFiles.Mkdir(path)
}

func (v *volatileFiles) SyncDir(dir string) error {
	if err := v.nextOperation(); err != nil {
		return err
	}
	if v.newFolder != "" && dir == filepath.Dir(v.newFolder) {
		v.newFolder = ""
	}
	inDir := func(path string, _ *inode) bool { return filepath.Dir(path) == dir }
	maps.DeleteFunc(v.syncedNames, inDir)
	for path, node := range v.names {
		if inDir(path, node) {
			v.syncedNames[path] = node
		}
	}
	return nil
}

// loss decides what a loss of power keeps of what was not synced.
type loss struct {
	// keep decides for each name and for each write.
	keep func(*rand.Rand) bool
	// tear lets a write that is not kept leave some of its sectors.
	tear bool
	// settle makes all durable that the loss has kept. Otherwise the next one may still take it.
	settle bool
}

var losses = map[string]loss{
	"none is kept":         {keep: func(*rand.Rand) bool { return false }},
	"all is kept":          {keep: func(*rand.Rand) bool { return true }},
	"some is kept":         {keep: coin},
	"all is torn":          {keep: func(*rand.Rand) bool { return false }, tear: true, settle: true},
	"some is kept or torn": {keep: coin, tear: true},
}

func coin(rng *rand.Rand) bool { return rng.IntN(2) == 0 }

// losePower replaces the files by what a loss of power leaves.
func (v *volatileFiles) losePower(t *testing.T, l loss) {
	t.Helper()
	left := v.namesLeft(l)
	if v.newFolder != "" && !l.keep(v.rng) {
		left = map[string]*inode{}
		v.syncedNames = left
	}
	nodes := map[*inode]bool{}
	for _, path := range slices.Sorted(maps.Keys(left)) {
		if node := left[path]; !nodes[node] {
			nodes[node] = true
			v.loseWrites(node, l)
		}
	}
	for path := range v.names {
		removeFile(t, path)
	}
	for path, node := range left {
		writeFile(t, path, node.content())
	}
	v.names = maps.Clone(left)
	if l.settle {
		v.syncedNames, v.newFolder = maps.Clone(left), ""
	}
}

// namesLeft decides for each name that was created, renamed or removed without a sync whether
// that is kept.
func (v *volatileFiles) namesLeft(l loss) map[string]*inode {
	all := maps.Clone(v.syncedNames)
	maps.Copy(all, v.names)
	left := map[string]*inode{}
	for _, path := range slices.Sorted(maps.Keys(all)) {
		node := v.syncedNames[path]
		if node != v.names[path] && l.keep(v.rng) {
			node = v.names[path]
		}
		if node != nil {
			left[path] = node
		}
	}
	return left
}

func (v *volatileFiles) loseWrites(node *inode, l loss) {
	var kept []write
	for _, w := range node.unsynced {
		switch {
		case l.keep(v.rng):
			kept = append(kept, w)
		case l.tear && !w.torn:
			kept = append(kept, v.tear(w)...)
		}
	}
	node.unsynced = kept
	if l.settle {
		node.sync()
	}
}

// tear returns what a torn write leaves: some of its sectors, or only the new length of the file,
// or its beginning.
func (v *volatileFiles) tear(w write) []write {
	switch v.rng.IntN(3) {
	case 0:
		return []write{{w.offset, w.data[:v.rng.IntN(len(w.data)+1)], true}}
	case 1:
		return v.sectorsOf(w)
	}
	return append([]write{{w.offset, make([]byte, len(w.data)), true}}, v.sectorsOf(w)...)
}

func (v *volatileFiles) sectorsOf(w write) []write {
	var out []write
	for from := 0; from < len(w.data); {
		to := min(len(w.data), from+sectorBytes-(w.offset+from)%sectorBytes)
		if coin(v.rng) {
			out = append(out, write{w.offset + from, w.data[from:to], true})
		}
		from = to
	}
	return out
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
