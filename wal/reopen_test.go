package wal

import (
	"io"
	"path/filepath"
	"testing"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/pkg/errors"
)

// TestEntriesAfterReceivedSnapshotOutliveRestarts installs a received snapshot and then opens
// the log several times, appending an entry each time. Opening deletes segments from before the
// snapshot; the entries written after it must stay.
func TestEntriesAfterReceivedSnapshotOutliveRestarts(t *testing.T) {
	const base, restarts = 5, 4
	dir := t.TempDir()
	log, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	s := raft.Snapshot{Index: base, Term: 1, Members: testMembers}
	if err := log.StoreSnapshot(s, Received, func(io.Writer) error { return nil }); err != nil {
		t.Fatal(err)
	}
	if err := log.UseSnapshot(s, Received); err != nil {
		t.Fatal(err)
	}
	for restart := range uint64(restarts) {
		if err := log.Close(); err != nil {
			t.Fatal(err)
		}
		var restored raft.DurableState
		if log, restored, err = Open(dir); err != nil {
			t.Fatalf("restart %d: %v", restart, err)
		}
		if n := uint64(len(restored.Entries)); n != restart {
			t.Fatalf("restart %d: %d entries after the snapshot", restart, n)
		}
		next := base + restart + 1
		if err := log.Append(raft.HardState{Term: 2, Commit: next}, []raft.Entry{{Index: next, Term: 2}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestFolderIsClaimedOnce expects that a folder can be locked only once at a time.
func TestFolderIsClaimedOnce(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	first, err := LockFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := LockFolder(dir); !errors.Is(err, ErrInUse) {
		t.Fatalf("second lock of the folder: %v", err)
	}
	if err := first.Release(); err != nil {
		t.Fatal(err)
	}
	second, err := LockFolder(dir)
	if err != nil {
		t.Fatalf("lock after the release: %v", err)
	}
	if err := second.Release(); err != nil {
		t.Fatal(err)
	}
}
