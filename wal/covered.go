package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// covered is what a snapshot has made superfluous. Removing large files takes tens of
// milliseconds, so that it is left to whoever stores the next snapshot.
type covered struct {
	mu sync.Mutex
	// segments are the numbers of those to remove, oldest first.
	segments []uint64
	// keep is the index of the snapshot in use.
	keep uint64
	// removing is held by the one goroutine that removes.
	removing sync.Mutex
}

// cover notes the oldest segments whose entries a snapshot covers.
func (l *Log) cover(index uint64) {
	l.covered.mu.Lock()
	defer l.covered.mu.Unlock()
	l.covered.keep = index
	for len(l.segments) > 1 && l.segments[0].last <= index {
		l.covered.segments = append(l.covered.segments, l.segments[0].number)
		l.segments = l.segments[1:]
	}
}

// removeCovered deletes what was noted, and older snapshots.
func (l *Log) removeCovered() error {
	l.covered.removing.Lock()
	defer l.covered.removing.Unlock()
	l.covered.mu.Lock()
	segments, keep := l.covered.segments, l.covered.keep
	l.covered.segments = nil
	l.covered.mu.Unlock()
	for _, n := range segments {
		if err := l.fs.Remove(segmentPath(l.dir, n)); err != nil {
			return l.fail(errors.Wrap(err, "wal: remove segment"))
		}
	}
	return l.fail(l.removeFiles(func(name string) bool { return isOldSnapshot(name, keep) }))
}

// removeUnfinished deletes what a crash left of snapshots that were being stored.
func (l *Log) removeUnfinished() error {
	return l.removeFiles(func(name string) bool {
		return strings.HasSuffix(name, temporarySuffix) || isStored(name)
	})
}

// removeFiles deletes the files whose name the given function picks.
func (l *Log) removeFiles(picks func(name string) bool) error {
	files, err := os.ReadDir(l.dir)
	if err != nil {
		return errors.Wrap(err, "wal: list folder")
	}
	for _, f := range files {
		if !picks(f.Name()) {
			continue
		}
		if err := l.fs.Remove(filepath.Join(l.dir, f.Name())); err != nil && !os.IsNotExist(err) {
			return errors.Wrap(err, "wal: remove file")
		}
	}
	return nil
}

func isStored(name string) bool {
	var index, term uint64
	_, err := fmt.Sscanf(name, storedPattern, &index, &term)
	return err == nil
}

// isOldSnapshot reports whether a file is a finished snapshot that serves no more beside
// the one at keep.
func isOldSnapshot(name string, keep uint64) bool {
	var index, term uint64
	if strings.HasSuffix(name, temporarySuffix) {
		return false
	}
	if _, err := fmt.Sscanf(name, snapshotPattern, &index); err == nil {
		return index < keep
	}
	_, err := fmt.Sscanf(name, storedPattern, &index, &term)
	return err == nil && index <= keep
}
