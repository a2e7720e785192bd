package wal

import (
	"sync/atomic"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/pkg/errors"
)

const (
	// segmentBytes is the size at which a new segment is started.
	segmentBytes = 16 << 20
	// appendBytes is the amount of entry data after which Append starts another frame.
	appendBytes = 16 << 20
)

// Errors returned for a data folder.
var (
	// ErrCorrupt reports damage other than a torn tail. The folder's replica must leave the group
	// and rejoin under a new identity.
	ErrCorrupt = errors.New("wal: damaged data folder")
	// ErrFailed reports that an earlier write, sync or rename failed; the process must stop.
	ErrFailed = errors.New("wal: unusable after a failed write")
)

// Log is the durable state of one replica. StoreSnapshot, OpenSnapshot and Syncs are safe
// for concurrent use; all other methods must be called from one goroutine at a time.
type Log struct {
	dir       string
	fs        fileSystem
	file      file
	size      int64
	segments  []segment
	sequence  uint64
	hardState raft.HardState
	// last is the index of the last entry, or that of the snapshot if no entry follows it.
	last    uint64
	failed  atomic.Bool
	syncs   atomic.Uint64
	scratch []byte
	// base is the index of the received snapshot that the log follows; zero if there is none.
	base     uint64
	obsolete obsoleteFiles
	recovery Recovery
}

// Recovery describes the log that Open found.
type Recovery struct {
	// Segments is the number of log segments.
	Segments int
	// LastFrame is the sequence number of the last valid frame.
	LastFrame uint64
	// TornBytes is the length of the torn tail that was cut off.
	TornBytes int64
}

// Open reads the folder and prepares it for appending. The restored snapshot has no data, but
// Open verifies its checksums; OpenSnapshot reads the data. Open returns ErrCorrupt, wrapped
// with the file and position, for damage other than a torn tail.
func Open(dir string) (*Log, raft.DurableState, error) {
	return open(dir, osFiles{})
}

func open(dir string, fs fileSystem) (*Log, raft.DurableState, error) {
	snap, err := verifyNewestSnapshot(dir)
	if err != nil {
		return nil, raft.DurableState{}, err
	}
	p := &replay{fs: fs, dir: dir}
	p.restored.Snapshot = snap.Snapshot
	if err := p.run(); err != nil {
		return nil, raft.DurableState{}, err
	}
	if err := p.finish(snap.origin == Received); err != nil {
		return nil, raft.DurableState{}, err
	}
	l := &Log{dir: dir, fs: fs, hardState: p.restored.HardState, segments: p.segments, sequence: p.sequence, last: p.last(), base: p.base,
		recovery: Recovery{Segments: len(p.segments), LastFrame: p.sequence, TornBytes: p.tornBytes}}
	if err := l.removeIncomplete(); err != nil {
		return nil, raft.DurableState{}, err
	}
	var reset uint64
	if snap.origin == Received && p.base != snap.Index {
		reset = snap.Index
	}
	if err := l.rotate(reset); err != nil {
		return nil, raft.DurableState{}, err
	}
	l.markObsolete(snap.Index)
	return l, p.restored, l.removeObsolete()
}

// Recovery returns what Open found.
func (l *Log) Recovery() Recovery { return l.recovery }

// Syncs returns the number of syncs of log segments since Open.
func (l *Log) Syncs() uint64 { return l.syncs.Load() }

// Append writes entries and the hard state, and syncs them before it returns. An entry replaces
// an earlier one at the same index and all that follow it. Every error matches ErrFailed.
func (l *Log) Append(hard raft.HardState, entries []raft.Entry) error {
	if l.failed.Load() {
		return ErrFailed
	}
	l.hardState = hard
	for {
		n := prefixOfBytes(entries, appendBytes)
		if err := l.appendFrame(entries[:n], n == len(entries)); err != nil {
			return err
		}
		if entries = entries[n:]; len(entries) == 0 {
			break
		}
	}
	if l.size >= segmentBytes {
		return l.rotate(0)
	}
	return nil
}

// prefixOfBytes returns how many entries from the start hold at most limit bytes of data, but
// at least one.
func prefixOfBytes(entries []raft.Entry, limit int) int {
	size := 0
	for i := range entries {
		size += len(entries[i].Data)
		if i > 0 && size > limit {
			return i
		}
	}
	return len(entries)
}

// appendFrame writes one frame. With last set, the frame also holds the hard state.
func (l *Log) appendFrame(entries []raft.Entry, last bool) error {
	buf := startFrame(l.scratch)
	current := &l.segments[len(l.segments)-1]
	for _, e := range entries {
		buf = appendEntry(buf, e)
		current.last = max(current.last, e.Index)
		l.last = e.Index
	}
	if last {
		buf = appendHardState(buf, l.hardState)
	}
	return l.write(buf)
}

// write completes the frame in buf, writes it and syncs it.
func (l *Log) write(buf []byte) error {
	if len(buf)-frameHeaderBytes > maxFrameBytes {
		return l.fail(errors.Errorf("wal: frame of %d bytes is too large", len(buf)))
	}
	l.sequence++
	finishFrame(buf, l.sequence)
	l.keepScratch(buf)
	if _, err := l.file.Write(buf); err != nil {
		return l.fail(errors.Wrap(err, "wal: write segment"))
	}
	l.size += int64(len(buf))
	l.syncs.Add(1)
	return l.fail(errors.Wrap(l.file.Sync(), "wal: sync segment"))
}

// maxScratchBytes is the largest buffer that is reused between appends.
const maxScratchBytes = 1 << 20

// keepScratch keeps buf for the next frame unless it is too large.
func (l *Log) keepScratch(buf []byte) {
	if cap(buf) <= maxScratchBytes {
		l.scratch = buf
	}
}

// fail makes the log unusable if err is not nil, and returns ErrFailed with err as the cause.
func (l *Log) fail(err error) error {
	if err == nil {
		return nil
	}
	l.failed.Store(true)
	return &failedError{err}
}

// failedError is ErrFailed with its cause.
type failedError struct{ cause error }

// Error implements error.
func (f *failedError) Error() string { return ErrFailed.Error() + ": " + f.cause.Error() }

// Is reports whether the target is ErrFailed.
func (f *failedError) Is(target error) bool { return target == ErrFailed }

// Unwrap returns the cause.
func (f *failedError) Unwrap() error { return f.cause }

// rotate starts a new segment, whose first frame repeats the hard state. A reset other than
// zero is the index of a received snapshot that replaced all earlier entries.
func (l *Log) rotate(reset uint64) error {
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return l.fail(errors.Wrap(err, "wal: close segment"))
		}
	}
	number := uint64(1)
	if n := len(l.segments); n > 0 {
		number = l.segments[n-1].number + 1
	}
	f, err := l.fs.Create(segmentPath(l.dir, number))
	if err != nil {
		return l.fail(errors.Wrap(err, "wal: create segment"))
	}
	l.file, l.size = f, 0
	l.segments = append(l.segments, segment{number: number})
	if err := l.fs.SyncDir(l.dir); err != nil {
		return l.fail(errors.Wrap(err, "wal: sync folder"))
	}
	buf := startFrame(l.scratch)
	if reset != 0 {
		buf = appendIndex(buf, recordReset, reset)
		l.base = reset
	} else if l.base != 0 {
		buf = appendIndex(buf, recordBase, l.base)
	}
	buf = appendIndex(buf, recordLast, l.last)
	return l.write(appendHardState(buf, l.hardState))
}

// UseSnapshot installs a snapshot that StoreSnapshot has written. A received snapshot replaces
// all entries. The files that the snapshot makes obsolete are deleted by the next StoreSnapshot
// or Open, so as not to delay the caller. Every error matches ErrFailed.
func (l *Log) UseSnapshot(s raft.Snapshot, origin Origin) error {
	if l.failed.Load() {
		return ErrFailed
	}
	l.hardState.Commit = max(l.hardState.Commit, s.Index)
	if origin == Received {
		if err := l.installReceived(s); err != nil {
			return err
		}
	}
	l.markObsolete(s.Index)
	return nil
}

// installReceived replaces the whole log by a received snapshot.
func (l *Log) installReceived(s raft.Snapshot) error {
	if err := l.fs.Rename(pendingPath(l.dir, s), snapshotPath(l.dir, s.Index)); err != nil {
		return l.fail(errors.Wrap(err, "wal: rename snapshot"))
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return l.fail(errors.Wrap(err, "wal: sync folder"))
	}
	l.last = s.Index
	return l.rotate(s.Index)
}

// Close closes the current segment. Append, StoreSnapshot and UseSnapshot return ErrFailed
// afterwards.
func (l *Log) Close() error {
	l.failed.Store(true)
	return errors.Wrap(l.file.Close(), "wal: close segment")
}
