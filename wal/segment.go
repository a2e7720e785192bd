package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/pkg/errors"
)

const segmentPattern = "segment-%016d.log"

func segmentPath(dir string, number uint64) string {
	return filepath.Join(dir, fmt.Sprintf(segmentPattern, number))
}

// listSegments returns the numbers of all segments in rising order.
func listSegments(dir string) ([]uint64, error) {
	return listNumbered(dir, segmentPattern)
}

// listNumbered returns the numbers of the files that match a pattern, in rising order.
func listNumbered(dir, pattern string) ([]uint64, error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "wal: list folder")
	}
	var numbers []uint64
	for _, f := range files {
		var n uint64
		if _, err := fmt.Sscanf(f.Name(), pattern, &n); err == nil && fmt.Sprintf(pattern, n) == f.Name() {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

// replaySegment applies the records of one segment; a torn tail is cut off in the last one.
func replaySegment(path string, last bool, restored *raft.Restored) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "wal: read segment")
	}
	rest := data
	for len(rest) > 0 {
		kind, body, next, err := nextRecord(rest)
		if err != nil {
			offset := len(data) - len(rest)
			if last && isTornTail(rest, err) {
				return errors.Wrap(os.Truncate(path, int64(offset)), "wal: cut torn tail")
			}
			return errors.Wrapf(ErrCorrupt, "%s at byte %d: %v", filepath.Base(path), offset, err)
		}
		if err := replayRecord(kind, body, restored); err != nil {
			return errors.Wrapf(ErrCorrupt, "%s: %v", filepath.Base(path), err)
		}
		rest = next
	}
	return nil
}

// isTornTail reports whether a bad record can be the rest of an unfinished write.
// No complete record may follow it, as that would show that the damage came later.
func isTornTail(rest []byte, cause error) bool {
	if errors.Is(cause, errShort) && len(rest) < headerBytes {
		return true
	}
	for i := 1; i+headerBytes < len(rest); i++ {
		if _, _, _, err := nextRecord(rest[i:]); err == nil {
			return false
		}
	}
	return true
}

func replayRecord(kind recordType, body []byte, restored *raft.Restored) error {
	switch kind {
	case recordHardState:
		hard, err := decodeHardState(body)
		if err == nil {
			restored.HardState = hard
		}
		return err
	case recordEntry:
		e, err := decodeEntry(body)
		if err == nil {
			err = replayEntry(e, restored)
		}
		return err
	case recordReset:
		restored.Entries = nil
		return nil
	}
	return errors.Errorf("unknown record type %d", kind)
}

// replayEntry adds an entry, replacing a suffix that it conflicts with.
func replayEntry(e raft.Entry, restored *raft.Restored) error {
	if e.Index <= restored.Snapshot.Index {
		return nil
	}
	keep := e.Index - restored.Snapshot.Index - 1
	if keep > uint64(len(restored.Entries)) {
		return errors.Errorf("entry %d leaves a gap", e.Index)
	}
	restored.Entries = append(restored.Entries[:keep], e)
	return nil
}

// checkContinuity verifies that the log covers everything that was committed.
func checkContinuity(restored *raft.Restored) error {
	last := restored.Snapshot.Index + uint64(len(restored.Entries))
	if restored.HardState.Commit > last {
		return errors.Wrapf(ErrCorrupt, "committed up to %d but the log ends at %d", restored.HardState.Commit, last)
	}
	restored.HardState.Commit = max(restored.HardState.Commit, restored.Snapshot.Index)
	return nil
}

// segmentCovered reports whether every entry in a segment is at most index.
func segmentCovered(path string, index uint64) (bool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return false, errors.Wrap(err, "wal: read segment")
	}
	for len(data) > 0 {
		kind, body, next, err := nextRecord(data)
		if err != nil {
			return false, errors.Wrap(ErrCorrupt, filepath.Base(path))
		}
		if kind == recordEntry {
			e, err := decodeEntry(body)
			if err != nil || e.Index > index {
				return false, err
			}
		}
		data = next
	}
	return true, nil
}
