package wal

import (
	"os"
	"path/filepath"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/pkg/errors"
)

// segmentBytes is the size at which a new segment is started.
const segmentBytes = 16 << 20

// Errors of a Log.
var (
	// ErrCorrupt tells of damage that is not a torn tail. The folder's replica must
	// leave the group and rejoin under a new identity.
	ErrCorrupt = errors.New("wal: damaged data folder")
	// ErrFailed tells that an earlier write or sync failed; the process must stop.
	ErrFailed = errors.New("wal: unusable after a failed write")
)

// Log is the durable state of one replica. It is not safe for concurrent use.
type Log struct {
	dir     string
	file    *os.File
	number  uint64
	size    int64
	hard    raft.HardState
	failed  bool
	syncs   uint64
	scratch []byte
}

// Open reads the folder and prepares it for appending.
// It returns ErrCorrupt, wrapped with the place, for damage other than a torn tail.
func Open(dir string) (*Log, raft.Restored, error) {
	var restored raft.Restored
	snap, err := readNewestSnapshot(dir)
	if err != nil {
		return nil, restored, err
	}
	restored.Snapshot = snap
	numbers, err := listSegments(dir)
	if err != nil {
		return nil, restored, err
	}
	for i, n := range numbers {
		last := i == len(numbers)-1
		if err := replaySegment(segmentPath(dir, n), last, &restored); err != nil {
			return nil, restored, err
		}
	}
	if err := checkContinuity(&restored); err != nil {
		return nil, restored, err
	}
	l := &Log{dir: dir, hard: restored.HardState}
	if len(numbers) > 0 {
		l.number = numbers[len(numbers)-1]
	}
	return l, restored, l.rotate()
}

// Syncs returns the number of syncs since Open.
func (l *Log) Syncs() uint64 { return l.syncs }

// Append writes entries and the hard state, and syncs them before it returns.
func (l *Log) Append(hard raft.HardState, entries []raft.Entry) error {
	if l.failed {
		return ErrFailed
	}
	buf := l.scratch[:0]
	for _, e := range entries {
		buf = appendRecord(buf, recordEntry, encodeEntryHeader(e), e.Data)
	}
	buf = appendRecord(buf, recordHardState, encodeHardState(hard))
	l.scratch = buf
	l.hard = hard
	if err := l.write(buf); err != nil {
		return err
	}
	if l.size >= segmentBytes {
		return l.fail(l.rotate())
	}
	return nil
}

func (l *Log) write(buf []byte) error {
	if _, err := l.file.Write(buf); err != nil {
		return l.fail(errors.Wrap(err, "wal: write"))
	}
	l.size += int64(len(buf))
	l.syncs++
	return l.fail(errors.Wrap(l.file.Sync(), "wal: sync"))
}

// fail makes the log unusable if err is not nil, and returns err.
func (l *Log) fail(err error) error {
	if err != nil {
		l.failed = true
	}
	return err
}

// rotate starts a new segment that opens with the hard state.
func (l *Log) rotate() error {
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return errors.Wrap(err, "wal: close segment")
		}
	}
	l.number++
	f, err := os.OpenFile(segmentPath(l.dir, l.number), os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return errors.Wrap(err, "wal: create segment")
	}
	l.file, l.size = f, 0
	if err := syncDir(l.dir); err != nil {
		return err
	}
	return l.write(appendRecord(nil, recordHardState, encodeHardState(l.hard)))
}

// SaveSnapshot makes a snapshot durable and removes segments that it covers.
// Set received for a snapshot from the leader, which replaces all entries.
func (l *Log) SaveSnapshot(s raft.Snapshot, received bool) error {
	if l.failed {
		return ErrFailed
	}
	if err := writeSnapshot(l.dir, s); err != nil {
		return l.fail(err)
	}
	if received {
		if err := l.write(appendRecord(nil, recordReset)); err != nil {
			return err
		}
	}
	if err := l.rotate(); err != nil {
		return l.fail(err)
	}
	return l.fail(l.removeCovered(s.Index))
}

// removeCovered deletes old snapshots and the segments whose entries the snapshot covers.
func (l *Log) removeCovered(index uint64) error {
	numbers, err := listSegments(l.dir)
	if err != nil {
		return err
	}
	for _, n := range numbers {
		if n == l.number {
			break
		}
		covered, err := segmentCovered(segmentPath(l.dir, n), index)
		if err != nil {
			return err
		}
		if !covered {
			break
		}
		if err := os.Remove(segmentPath(l.dir, n)); err != nil {
			return errors.Wrap(err, "wal: remove segment")
		}
	}
	return removeOldSnapshots(l.dir, index)
}

// ReadSnapshot returns the newest snapshot with its data.
func (l *Log) ReadSnapshot() (raft.Snapshot, error) {
	return readNewestSnapshot(l.dir)
}

// Close closes the current segment.
func (l *Log) Close() error {
	l.failed = true
	return errors.Wrap(l.file.Close(), "wal: close")
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "wal: open folder")
	}
	err = d.Sync()
	if closeErr := d.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "wal: sync folder")
}

// writeAtomic writes a file so that it is either absent, old or complete after a crash.
func writeAtomic(path string, data []byte) error {
	tmp := path + ".tmp"
	f, err := os.OpenFile(tmp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "wal: create file")
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Wrap(err, "wal: write file")
	}
	if err := os.Rename(tmp, path); err != nil {
		return errors.Wrap(err, "wal: rename file")
	}
	return syncDir(filepath.Dir(path))
}
