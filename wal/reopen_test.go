package wal

import (
	"io"
	"path/filepath"
	"testing"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/pkg/errors"
)

// TestEntriesAfterReceivedSnapshotOutliveRestarts opens a log again and again after it took
// a received snapshot. Segments from before the snapshot are removed on the way; the entries
// that were written since must stay.
func TestEntriesAfterReceivedSnapshotOutliveRestarts(t *testing.T) {
	const base, lives = 5, 4
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
	for life := range uint64(lives) {
		if err := log.Close(); err != nil {
			t.Fatal(err)
		}
		var restored raft.Restored
		if log, restored, err = Open(dir); err != nil {
			t.Fatalf("life %d: %v", life, err)
		}
		if n := uint64(len(restored.Entries)); n != life {
			t.Fatalf("life %d: %d entries after the snapshot", life, n)
		}
		next := base + life + 1
		if err := log.Append(raft.HardState{Term: 2, Commit: next}, []raft.Entry{{Index: next, Term: 2}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestFolderIsClaimedOnce(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	first, err := ClaimFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ClaimFolder(dir); !errors.Is(err, ErrInUse) {
		t.Fatalf("a second claim ended with %v", err)
	}
	if err := first.Release(); err != nil {
		t.Fatal(err)
	}
	second, err := ClaimFolder(dir)
	if err != nil {
		t.Fatalf("after the release: %v", err)
	}
	if err := second.Release(); err != nil {
		t.Fatal(err)
	}
}
