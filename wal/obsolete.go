package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// obsoleteFiles tracks the files that a snapshot has made obsolete. Deleting large files takes
// tens of milliseconds, so StoreSnapshot does it before it writes the next snapshot, away from
// the goroutine that appends.
type obsoleteFiles struct {
	mu sync.Mutex
	// segments holds the numbers of the segments to delete, oldest first.
	segments []uint64
	// snapshotIndex is the index of the snapshot in use; files of older ones are obsolete.
	snapshotIndex uint64
	// removing is held during deletion, so that only one goroutine deletes at a time.
	removing sync.Mutex
}

// markObsolete marks the oldest segments for deletion whose entries are all covered by the
// snapshot at index. The newest segment always stays.
func (l *Log) markObsolete(index uint64) {
	l.obsolete.mu.Lock()
	defer l.obsolete.mu.Unlock()
	l.obsolete.snapshotIndex = index
	for len(l.segments) > 1 && l.segments[0].last <= index {
		l.obsolete.segments = append(l.obsolete.segments, l.segments[0].number)
		l.segments = l.segments[1:]
	}
}

// removeObsolete deletes the marked segments and the snapshots that the one in use replaces. It
// returns the number of deleted files.
func (l *Log) removeObsolete() (int, error) {
	l.obsolete.removing.Lock()
	defer l.obsolete.removing.Unlock()
	l.obsolete.mu.Lock()
	segments, keep := l.obsolete.segments, l.obsolete.snapshotIndex
	l.obsolete.segments = nil
	l.obsolete.mu.Unlock()
	for _, n := range segments {
		if err := l.fs.Remove(segmentPath(l.dir, n)); err != nil {
			return 0, l.fail(errors.Wrap(err, "wal: remove segment"))
		}
	}
	snapshots, err := l.removeFiles(func(name string) bool { return isObsoleteSnapshot(name, keep) })
	return len(segments) + snapshots, l.fail(err)
}

// removeIncomplete deletes incomplete and uninstalled snapshots that a crash has left behind.
func (l *Log) removeIncomplete() error {
	_, err := l.removeFiles(func(name string) bool {
		return strings.HasSuffix(name, temporarySuffix) || isPendingSnapshot(name)
	})
	return err
}

// removeFiles deletes the files whose name satisfies matches, and returns their number.
func (l *Log) removeFiles(matches func(name string) bool) (removed int, err error) {
	files, err := os.ReadDir(l.dir)
	if err != nil {
		return 0, errors.Wrap(err, "wal: list folder")
	}
	for _, f := range files {
		if !matches(f.Name()) {
			continue
		}
		if err := l.fs.Remove(filepath.Join(l.dir, f.Name())); err != nil && !os.IsNotExist(err) {
			return removed, errors.Wrap(err, "wal: remove file")
		}
		removed++
	}
	return removed, nil
}

// isPendingSnapshot reports whether a file is a received snapshot that is not installed yet.
func isPendingSnapshot(name string) bool {
	var index, term uint64
	_, err := fmt.Sscanf(name, pendingPattern, &index, &term)
	return err == nil
}

// isObsoleteSnapshot reports whether a file is a complete snapshot that is no longer needed
// when the snapshot at index keep is in use.
func isObsoleteSnapshot(name string, keep uint64) bool {
	var index, term uint64
	if strings.HasSuffix(name, temporarySuffix) {
		return false
	}
	if _, err := fmt.Sscanf(name, snapshotPattern, &index); err == nil {
		return index < keep
	}
	_, err := fmt.Sscanf(name, pendingPattern, &index, &term)
	return err == nil && index <= keep
}
