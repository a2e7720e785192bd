package wal

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/pkg/errors"
)

// fullFiles is a file system without space for some operations. A write without space leaves half of
// its data in the file.
type fullFiles struct {
	osFiles
	// from is the number of the first operation that finds no space, of those that need space, and
	// failures the number of operations that find none.
	from, failures int
	failure        error
	failed         bool
}

func (f *fullFiles) takeSpace() error {
	if f.from--; f.from < 0 && f.from >= -f.failures {
		f.failed = true
		return f.failure
	}
	return nil
}

type fullFile struct {
	file
	fs *fullFiles
}

func (f *fullFiles) Create(path string) (file, error) {
	if err := f.takeSpace(); err != nil {
		return nil, err
	}
	inner, err := f.osFiles.Create(path)
	return &fullFile{inner, f}, err
}

func (f *fullFile) Write(p []byte) (int, error) {
	if err := f.fs.takeSpace(); err != nil {
		n, _ := f.file.Write(p[:len(p)/2])
		return n, err
	}
	return f.file.Write(p)
}

func (f *fullFiles) Rename(from, to string) error {
	if err := f.takeSpace(); err != nil {
		return err
	}
	return f.osFiles.Rename(from, to)
}

// TestFullDiskAtEveryOperation lets each operation of runScript that needs space, and some after it,
// find none, and makes the calls again. No call may be lost or made twice, also for a process
// that ends between the attempts and starts again on the folder.
func TestFullDiskAtEveryOperation(t *testing.T) {
	for failures, failure := range map[int]error{1: syscall.ENOSPC, 2: syscall.EDQUOT, 3: syscall.EFBIG, 7: syscall.ENOSPC} {
		for from := 0; runWithFullDisk(t, &fullFiles{from: from, failures: failures, failure: failure}); from++ {
		}
	}
}

// runWithFullDisk runs the script and reports whether an operation found no space.
func runWithFullDisk(t *testing.T, fs *fullFiles) bool {
	t.Helper()
	dir, from := t.TempDir(), fs.from
	log, _, err := open(dir, fs)
	for errors.Is(err, ErrNoSpace) {
		log, _, err = open(dir, fs)
	}
	if err != nil {
		t.Fatalf("open, no space from operation %d: %v", from, err)
	}
	m := &model{log: log}
	m.freeSpace = func() {
		between := &model{snapshot: m.snapshot, content: m.content, entries: m.entries, hardState: m.hardState}
		between.checkCopy(t, dir, m.log)
	}
	if err := m.runScript(); err != nil {
		t.Fatalf("no space from operation %d: %v", from, err)
	}
	_ = log.Close()
	m.check(t, dir)
	return fs.failed
}

// checkCopy starts on a copy of the folder, as a process does that was killed. It must find what was
// acknowledged, but may find a received snapshot already whose installation was not acknowledged.
func (m *model) checkCopy(t *testing.T, dir string, log *Log) {
	t.Helper()
	copied := t.TempDir()
	if err := os.CopyFS(copied, os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	if log.pendingReset != 0 || m.newestSnapshot(t, copied) != m.snapshot.Index {
		if reopened, _, err := Open(copied); err != nil {
			t.Fatal(err)
		} else {
			_ = reopened.Close()
		}
		return
	}
	m.check(t, copied)
}

func (m *model) newestSnapshot(t *testing.T, dir string) uint64 {
	t.Helper()
	s, content, err := (&Log{dir: dir}).OpenSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	_ = content.Close()
	return s.Index
}

// TestAppendOfSeveralFramesWithoutSpace lets the second frame of an append find no space. The first one,
// which was synced, must not stay before the frames that follow.
func TestAppendOfSeveralFramesWithoutSpace(t *testing.T) {
	dir, fs := t.TempDir(), &fullFiles{from: unlimited, failures: 1, failure: syscall.ENOSPC}
	log, _, err := open(dir, fs)
	if err != nil {
		t.Fatal(err)
	}
	m := &model{log: log}
	if err := m.append(1, 1, 2); err != nil {
		t.Fatal(err)
	}
	before := segmentContent(t, dir, log)
	data := bytes.Repeat([]byte{'x'}, appendBytes)
	entries := []raft.Entry{{Index: 3, Term: 2, Data: data}, {Index: 4, Term: 2, Data: data}}
	fs.from = 1
	if err := log.Append(raft.HardState{Term: 2}, entries); !errors.Is(err, ErrNoSpace) {
		t.Fatalf("append: %v", err)
	}
	if !bytes.Equal(segmentContent(t, dir, log), before) {
		t.Error("the segment differs from that before the append")
	}
	if err := m.append(2, 3, 1); err != nil {
		t.Fatal(err)
	}
	_ = log.Close()
	m.check(t, dir)
}

func segmentContent(t *testing.T, dir string, log *Log) []byte {
	t.Helper()
	data, err := os.ReadFile(segmentPath(dir, log.segments[len(log.segments)-1].number))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestSegmentGrowsWhenTheNextOneFindsNoSpace expects that entries which are durable are reported as such
// although the rotation after them fails, and that the rotation is made up for.
func TestSegmentGrowsWhenTheNextOneFindsNoSpace(t *testing.T) {
	dir, fs := t.TempDir(), &fullFiles{from: unlimited, failures: 1, failure: syscall.ENOSPC}
	log, _, err := open(dir, fs)
	if err != nil {
		t.Fatal(err)
	}
	m := &model{log: log, padding: segmentBytes}
	fs.from = 1
	if err := m.append(1, 1, 1); err != nil {
		t.Fatal(err)
	}
	if len(log.segments) != 1 {
		t.Fatalf("%d segments after a rotation without space", len(log.segments))
	}
	m.padding = rotateRetryBytes
	if err := m.append(1, 2, 1); err != nil {
		t.Fatal(err)
	}
	if len(log.segments) != 2 {
		t.Errorf("%d segments once there is space", len(log.segments))
	}
	_ = log.Close()
	m.check(t, dir)
}

// TestAppendWithoutSpaceEndsSnapshots expects that a snapshot which is being written gives up its space to
// an append, and that files which a snapshot covers are removed at once.
func TestAppendWithoutSpaceEndsSnapshots(t *testing.T) {
	dir, fs := t.TempDir(), &fullFiles{from: unlimited, failures: 1, failure: syscall.ENOSPC}
	log, _, err := open(dir, fs)
	if err != nil {
		t.Fatal(err)
	}
	m := &model{log: log, padding: segmentBytes}
	if err := m.append(1, 1, 2); err != nil {
		t.Fatal(err)
	}
	m.padding = 0
	if err := m.append(1, 3, 1); err != nil {
		t.Fatal(err)
	}
	if err := m.storeSnapshot(2, 1, Local); err != nil {
		t.Fatal(err)
	}
	fs.from = 0
	if err := m.append(1, 4, 1); err != nil {
		t.Fatalf("append while a segment can be removed: %v", err)
	}
	err = log.StoreSnapshot(raft.Snapshot{Index: 3, Term: 1, Members: testMembers}, Local, func(w io.Writer) error {
		fs.from = 0
		if err := log.Append(m.hardState, nil); !errors.Is(err, ErrNoSpace) {
			t.Errorf("append without space: %v", err)
		}
		_, err := io.WriteString(w, strings.Repeat("z", 2*chunkBytes))
		return err
	})
	if !errors.Is(err, ErrNoSpace) || errors.Is(err, ErrFailed) {
		t.Errorf("snapshot while an append waits for space: %v", err)
	}
	if files, _ := filepath.Glob(filepath.Join(dir, "*"+temporarySuffix)); len(files) > 0 {
		t.Errorf("temporary files remain: %v", files)
	}
	if segments, _ := listNumbered(dir, segmentPattern); len(segments) != 1 {
		t.Errorf("segments %v remain", segments)
	}
	if err := m.append(1, 5, 1); err != nil {
		t.Fatal(err)
	}
	if err := m.storeSnapshot(4, 1, Local); err != nil {
		t.Errorf("snapshot once there is space: %v", err)
	}
	_ = log.Close()
	m.check(t, dir)
}

// TestFailedCutEndsTheLog expects that nothing is written after the remains of a write without space, which
// would be read as damage.
func TestFailedCutEndsTheLog(t *testing.T) {
	dir, fs := t.TempDir(), &fullFiles{from: unlimited, failures: 1, failure: syscall.ENOSPC}
	log, _, err := open(dir, fs)
	if err != nil {
		t.Fatal(err)
	}
	path := segmentPath(dir, log.segments[0].number)
	if err := os.Rename(path, path+".away"); err != nil {
		t.Fatal(err)
	}
	fs.from = 0
	if err := log.Append(raft.HardState{Term: 1}, nil); !errors.Is(err, ErrFailed) || errors.Is(err, ErrNoSpace) {
		t.Errorf("append: %v", err)
	}
	if err := log.Append(raft.HardState{Term: 1}, nil); !errors.Is(err, ErrFailed) {
		t.Errorf("append after the failure: %v", err)
	}
}

// TestLimitOnTheSizeOfFilesStartsASegment expects that a limit which only the current segment has reached does not
// stop the log.
func TestLimitOnTheSizeOfFilesStartsASegment(t *testing.T) {
	dir, fs := t.TempDir(), &fullFiles{from: unlimited, failures: 1, failure: syscall.EFBIG}
	log, _, err := open(dir, fs)
	if err != nil {
		t.Fatal(err)
	}
	m := &model{log: log, freeSpace: func() {}}
	fs.from = 0
	if err := m.append(1, 1, 1); err != nil {
		t.Fatal(err)
	}
	if len(log.segments) != 2 {
		t.Errorf("%d segments after a limit on the size of files, expected 2", len(log.segments))
	}
	_ = log.Close()
	m.check(t, dir)
}
