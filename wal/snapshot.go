package wal

import (
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/pkg/errors"
)

// A snapshot file is a sequence of frames, numbered from 1. The first byte of each body is the
// kind of the frame: one header, then the content in chunks, then an end frame with the length
// of the content in bytes.
const (
	snapshotPattern = "snapshot-%016d.snap"
	pendingPattern  = "stored-%016d-%016d.snap"
	// temporarySuffix marks a file that is not complete yet.
	temporarySuffix = ".tmp"
	// chunkBytes is the largest size of the content in one frame.
	chunkBytes = 256 << 10

	snapshotHeader byte = 'H'
	snapshotChunk  byte = 'C'
	snapshotEnd    byte = 'E'
	// snapshotHeaderFixedBytes is the size of the header fields before the members.
	snapshotHeaderFixedBytes = 17
)

// Origin is the source of a snapshot. Its values are part of the file format.
type Origin byte

// Origins of snapshots.
const (
	// Local marks a snapshot of this replica's own state; the entries after it stay.
	Local Origin = 'L'
	// Received marks a snapshot from the leader, which replaces the whole log.
	Received Origin = 'R'
)

func formatSnapshot(index uint64) string { return fmt.Sprintf(snapshotPattern, index) }

func snapshotPath(dir string, index uint64) string {
	return filepath.Join(dir, formatSnapshot(index))
}

func pendingPath(dir string, s raft.Snapshot) string {
	return filepath.Join(dir, fmt.Sprintf(pendingPattern, s.Index, s.Term))
}

// StoreSnapshot writes a snapshot, whose content the given function produces, and syncs it.
// The Data field of the snapshot is not written. UseSnapshot then installs the snapshot. An
// error of content is returned unchanged and leaves the log usable, as does an error of creating
// or writing the file. It matches ErrNoSpace if there is no space, also for the rename, or if a write of
// the log waits for space, which takes precedence. Any other failure of the final sync, of the rename or
// of deleting obsolete files makes the log unusable and matches ErrFailed. StoreSnapshot is safe for
// concurrent use.
func (l *Log) StoreSnapshot(s raft.Snapshot, origin Origin, content func(io.Writer) error) error {
	if l.failed.Load() {
		return ErrFailed
	}
	if _, err := l.removeObsolete(); err != nil {
		return err
	}
	if l.short.Load() {
		return errors.Wrap(ErrNoSpace, "wal: create snapshot")
	}
	tmp := fmt.Sprintf("%s-%016x%s", pendingPath(l.dir, s), RandomID(), temporarySuffix)
	f, err := l.fs.Create(tmp)
	if err != nil {
		return asNoSpace(errors.Wrap(err, "wal: create snapshot"))
	}
	if err := writeSnapshot(&periodicSyncFile{file: f, short: &l.short}, s, origin, content); err != nil {
		_ = f.Close()
		_ = l.fs.Remove(tmp)
		return asNoSpace(err)
	}
	if err := syncAndClose(f, nil); err != nil {
		return l.fail(errors.Wrap(err, "wal: sync snapshot"))
	}
	if err := l.fs.Rename(tmp, finishedPath(l.dir, s, origin)); err != nil {
		_ = l.fs.Remove(tmp)
		return l.failUnlessNoSpace(errors.Wrap(err, "wal: rename snapshot"))
	}
	return l.fail(errors.Wrap(l.fs.SyncDir(l.dir), "wal: sync folder"))
}

// finishedPath returns the path of a complete snapshot. A local snapshot counts as the newest
// from then on, even before UseSnapshot, as the entries after it stay in the log; a received
// one gets its final name in UseSnapshot.
func finishedPath(dir string, s raft.Snapshot, origin Origin) string {
	if origin == Local {
		return snapshotPath(dir, s.Index)
	}
	return pendingPath(dir, s)
}

// syncIntervalBytes is the amount of a snapshot that is written between two syncs.
const syncIntervalBytes = 1 << 20

// periodicSyncFile syncs a large file while it grows. Otherwise a sync of the log, which the
// file system may order behind the data of the snapshot, would wait for all of it.
type periodicSyncFile struct {
	file
	unsynced int
	// short is set while the log waits for space, which the file must not take.
	short *atomic.Bool
}

// Write implements io.Writer.
func (s *periodicSyncFile) Write(p []byte) (int, error) {
	if s.short.Load() {
		return 0, ErrNoSpace
	}
	n, err := s.file.Write(p)
	s.unsynced += n
	if err == nil && s.unsynced >= syncIntervalBytes {
		s.unsynced = 0
		err = s.file.Sync()
	}
	return n, err
}

// snapshotWriter splits content into chunks and writes each as a frame.
type snapshotWriter struct {
	w        io.Writer
	sequence uint64
	total    uint64
	buf      []byte
}

func writeSnapshot(w io.Writer, s raft.Snapshot, origin Origin, content func(io.Writer) error) error {
	out := &snapshotWriter{w: w}
	head := append(startFrame(nil), snapshotHeader, byte(origin))
	head = binary.LittleEndian.AppendUint64(head, s.Index)
	head = binary.LittleEndian.AppendUint64(head, s.Term)
	head = append(head, raft.EncodeMembers(s.Members)...)
	if err := out.writeFrame(head); err != nil {
		return err
	}
	out.startChunk()
	if err := content(out); err != nil {
		return err
	}
	if err := out.flush(); err != nil {
		return err
	}
	end := append(startFrame(nil), snapshotEnd)
	return out.writeFrame(binary.LittleEndian.AppendUint64(end, out.total))
}

func (o *snapshotWriter) startChunk() {
	o.buf = append(startFrame(o.buf), snapshotChunk)
}

// Write implements io.Writer.
func (o *snapshotWriter) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		n := min(len(p), frameHeaderBytes+1+chunkBytes-len(o.buf))
		o.buf = append(o.buf, p[:n]...)
		p = p[n:]
		written += n
		o.total += uint64(n)
		if len(o.buf) == frameHeaderBytes+1+chunkBytes {
			if err := o.flush(); err != nil {
				return written, err
			}
		}
	}
	return written, nil
}

// flush writes the current chunk if it has any content.
func (o *snapshotWriter) flush() error {
	if len(o.buf) == frameHeaderBytes+1 {
		return nil
	}
	err := o.writeFrame(o.buf)
	o.startChunk()
	return err
}

func (o *snapshotWriter) writeFrame(buf []byte) error {
	o.sequence++
	finishFrame(buf, o.sequence)
	_, err := o.w.Write(buf)
	return errors.Wrap(err, "wal: write snapshot")
}

// verifyNewestSnapshot reads the whole file of the newest snapshot, verifies it, and returns
// the snapshot without its data, or an empty one if there is none.
func verifyNewestSnapshot(dir string) (snapshotMeta, error) {
	r, err := openNewestSnapshot(dir)
	if err != nil || r == nil {
		return snapshotMeta{}, err
	}
	defer func() { _ = r.Close() }()
	_, err = io.Copy(io.Discard, r)
	return r.meta, err
}

// openNewestSnapshot opens the newest snapshot; the reader is nil if there is none.
func openNewestSnapshot(dir string) (*snapshotReader, error) {
	numbers, err := listNumbered(dir, snapshotPattern)
	if err != nil || len(numbers) == 0 {
		return nil, err
	}
	newest := slices.Max(numbers)
	r, err := openSnapshotFile(snapshotPath(dir, newest))
	if err == nil && r.meta.Index != newest {
		_ = r.Close()
		return nil, errors.Wrapf(ErrCorrupt, "%s holds a snapshot at index %d", formatSnapshot(newest), r.meta.Index)
	}
	return r, err
}

// OpenSnapshot opens the newest snapshot and returns it without its data, which the reader
// returns. Without a snapshot, the index is zero and the reader is empty. The file stays
// readable while newer snapshots are stored and installed. OpenSnapshot and the reader return
// ErrCorrupt, wrapped, for damage. The caller must close the reader. OpenSnapshot is safe for
// concurrent use.
func (l *Log) OpenSnapshot() (raft.Snapshot, io.ReadCloser, error) {
	for {
		r, err := openNewestSnapshot(l.dir)
		if errors.Is(err, os.ErrNotExist) {
			continue // A newer snapshot has replaced it since the folder was listed.
		}
		if err != nil {
			return raft.Snapshot{}, nil, err
		}
		if r == nil {
			return raft.Snapshot{}, io.NopCloser(strings.NewReader("")), nil
		}
		return r.meta.Snapshot, r, nil
	}
}
