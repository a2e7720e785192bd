package wal

import (
	"os"
	"sync/atomic"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/pkg/errors"
)

const (
	// segmentBytes is the size at which a new segment is started.
	segmentBytes = 16 << 20
	// rotateRetryBytes is the growth of a segment after which a rotation that found no space is tried
	// again.
	rotateRetryBytes = 1 << 20
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
	dir  string
	fs   fileSystem
	file file
	position
	segments []segment
	failed   atomic.Bool
	// short is set while a write waits for space; no snapshots are written then.
	short   atomic.Bool
	syncs   atomic.Uint64
	scratch []byte
	// base is the index of the received snapshot that the log follows; zero if there is none.
	base uint64
	// pendingReset is the index of a received snapshot whose file is in place, while the segment
	// that follows it could not be started; zero if there is none.
	pendingReset uint64
	// rotateAt is the size of the current segment, in bytes, at which the next one is started.
	rotateAt int64
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
// with the file and position, for damage other than a torn tail, and ErrNoSpace if there is no space
// for the next segment.
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
	l := &Log{dir: dir, fs: fs, segments: p.segments, base: p.base,
		position: position{sequence: p.sequence, hardState: p.restored.HardState, last: p.last()},
		recovery: Recovery{Segments: len(p.segments), LastFrame: p.sequence, TornBytes: p.tornBytes}}
	if err := l.prepare(snap); err != nil {
		return nil, raft.DurableState{}, err
	}
	return l, p.restored, nil
}

// prepare removes the files that are not needed and starts a new segment.
func (l *Log) prepare(snap snapshotMeta) error {
	if err := l.removeIncomplete(); err != nil {
		return err
	}
	var reset uint64
	if snap.origin == Received && l.base != snap.Index {
		reset = snap.Index
	}
	l.markObsolete(snap.Index)
	if err := l.retryWithFreedSpace(func() error { return l.rotate(reset) }); err != nil {
		return err
	}
	l.markObsolete(snap.Index)
	_, err := l.removeObsolete()
	if err != nil {
		_ = l.file.Close()
	}
	return err
}

// Recovery returns what Open found.
func (l *Log) Recovery() Recovery { return l.recovery }

// Syncs returns the number of syncs of log segments since Open.
func (l *Log) Syncs() uint64 { return l.syncs.Load() }

// Append writes entries and the hard state, and syncs them before it returns. An entry replaces
// an earlier one at the same index and all that follow it. Every error matches ErrFailed or
// ErrNoSpace; after ErrNoSpace the log is as it was before the call.
func (l *Log) Append(hard raft.HardState, entries []raft.Entry) error {
	if l.failed.Load() {
		return ErrFailed
	}
	if err := l.retryWithFreedSpace(func() error { return l.tryAppend(hard, entries) }); err != nil {
		return err
	}
	if l.size < l.rotateAt {
		return nil
	}
	err := l.rotate(0)
	if errors.Is(err, ErrNoSpace) {
		// The entries are durable in the current segment, which can grow further.
		l.rotateAt = l.size + rotateRetryBytes
		return nil
	}
	return err
}

// tryAppend writes entries and the hard state, or nothing of them if there is no space.
func (l *Log) tryAppend(hard raft.HardState, entries []raft.Entry) error {
	if l.pendingReset != 0 || l.size >= l.rotateAt {
		if err := l.rotate(l.pendingReset); err != nil {
			return err
		}
	}
	before, segmentLast := l.position, l.segments[len(l.segments)-1].last
	l.hardState = hard
	for {
		n := prefixOfBytes(entries, appendBytes)
		if err := l.appendFrame(entries[:n], n == len(entries)); err != nil {
			return l.undo(before, segmentLast, err)
		}
		if entries = entries[n:]; len(entries) == 0 {
			return nil
		}
	}
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

// write completes the frame in buf, writes it to the current segment and syncs it.
func (l *Log) write(buf []byte) error {
	if len(buf)-frameHeaderBytes > maxFrameBytes {
		return l.fail(errors.Errorf("wal: frame of %d bytes is too large", len(buf)))
	}
	finishFrame(buf, l.sequence+1)
	l.keepScratch(buf)
	if _, err := l.file.Write(buf); err != nil {
		return l.failUnlessNoSpace(errors.Wrap(err, "wal: write segment"))
	}
	l.syncs.Add(1)
	if err := l.file.Sync(); err != nil {
		// The next process would read the frame from the page cache and take it for durable, although
		// the kernel may have dropped it. The log has failed whether or not it can be cut off.
		_ = l.fs.Truncate(segmentPath(l.dir, l.segments[len(l.segments)-1].number), l.size)
		return l.fail(errors.Wrap(err, "wal: sync segment"))
	}
	l.sequence++
	l.size += int64(len(buf))
	return nil
}

// maxScratchBytes is the largest buffer that is reused between appends.
const maxScratchBytes = 1 << 20

// keepScratch keeps buf for the next frame unless it is too large.
func (l *Log) keepScratch(buf []byte) {
	if cap(buf) <= maxScratchBytes {
		l.scratch = buf
	}
}

// rotate starts a new segment, whose first frame repeats the hard state. A reset other than
// zero is the index of a received snapshot that replaced all earlier entries. The segment gets its name
// once its first frame is durable; without space for it, the current segment stays in use.
func (l *Log) rotate(reset uint64) error {
	number := uint64(1)
	if n := len(l.segments); n > 0 {
		number = l.segments[n-1].number + 1
	}
	base := l.base
	buf := startFrame(l.scratch)
	if reset != 0 {
		buf, base = appendIndex(buf, recordReset, reset), reset
	} else if base != 0 {
		buf = appendIndex(buf, recordBase, base)
	}
	buf = appendHardState(appendIndex(buf, recordLast, l.last), l.hardState)
	finishFrame(buf, l.sequence+1)
	l.keepScratch(buf)
	f, err := l.createSegment(segmentPath(l.dir, number), buf)
	if err != nil {
		return err
	}
	old := l.file
	l.file, l.size, l.rotateAt, l.base, l.pendingReset = f, int64(len(buf)), segmentBytes, base, 0
	l.sequence++
	l.segments = append(l.segments, segment{number: number})
	if old != nil {
		return l.fail(errors.Wrap(old.Close(), "wal: close segment"))
	}
	return nil
}

// createSegment creates a segment that starts with the given frame, and syncs it. It leaves no
// segment behind if there is no space.
func (l *Log) createSegment(path string, frame []byte) (file, error) {
	tmp := path + temporarySuffix
	if err := l.fs.Remove(tmp); err != nil && !os.IsNotExist(err) {
		return nil, l.fail(errors.Wrap(err, "wal: remove temporary segment"))
	}
	f, err := l.fs.Create(tmp)
	if err != nil {
		return nil, l.failUnlessNoSpace(errors.Wrap(err, "wal: create segment"))
	}
	discard := func(err error) (file, error) {
		_ = f.Close()
		_ = l.fs.Remove(tmp)
		return nil, err
	}
	if _, err := f.Write(frame); err != nil {
		return discard(l.failUnlessNoSpace(errors.Wrap(err, "wal: write segment")))
	}
	l.syncs.Add(1)
	if err := f.Sync(); err != nil {
		return discard(l.fail(errors.Wrap(err, "wal: sync segment")))
	}
	if err := l.fs.Rename(tmp, path); err != nil {
		return discard(l.failUnlessNoSpace(errors.Wrap(err, "wal: rename segment")))
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		_ = f.Close()
		return nil, l.fail(errors.Wrap(err, "wal: sync folder"))
	}
	return f, nil
}

// UseSnapshot installs a snapshot that StoreSnapshot has written. A received snapshot replaces
// all entries. The files that the snapshot makes obsolete are deleted by the next StoreSnapshot
// or Open, or when space is short, so as not to delay the caller. Every error matches ErrFailed or
// ErrNoSpace; after ErrNoSpace the call may be made again, also if an Append has succeeded since.
func (l *Log) UseSnapshot(s raft.Snapshot, origin Origin) error {
	if l.failed.Load() {
		return ErrFailed
	}
	if origin == Received {
		if err := l.retryWithFreedSpace(func() error { return l.installReceived(s) }); err != nil {
			return err
		}
	}
	l.hardState.Commit = max(l.hardState.Commit, s.Index)
	l.markObsolete(s.Index)
	return nil
}

// installReceived replaces the whole log by a received snapshot. It continues where an earlier call
// found no space.
func (l *Log) installReceived(s raft.Snapshot) error {
	if l.base == s.Index && l.pendingReset == 0 {
		return nil
	}
	if l.pendingReset != s.Index {
		if err := l.fs.Rename(pendingPath(l.dir, s), snapshotPath(l.dir, s.Index)); err != nil {
			return l.failUnlessNoSpace(errors.Wrap(err, "wal: rename snapshot"))
		}
		if err := l.fs.SyncDir(l.dir); err != nil {
			return l.fail(errors.Wrap(err, "wal: sync folder"))
		}
		l.last, l.pendingReset = s.Index, s.Index
		l.hardState.Commit = max(l.hardState.Commit, s.Index)
	}
	return l.rotate(s.Index)
}

// Close closes the current segment. Append, StoreSnapshot and UseSnapshot return ErrFailed
// afterwards.
func (l *Log) Close() error {
	l.failed.Store(true)
	return errors.Wrap(l.file.Close(), "wal: close segment")
}
