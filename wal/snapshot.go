package wal

import (
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/pkg/errors"
)

// A snapshot file is a sequence of frames, numbered from 1, whose body starts with a kind:
// one header, the content in chunks, and an end that holds the content's length.
const (
	snapshotPattern = "snapshot-%016d.snap"
	storedPattern   = "stored-%016d-%016d.snap"
	// temporarySuffix is that of files that are not complete yet.
	temporarySuffix = ".tmp"
	// chunkBytes is the size of the content of one frame.
	chunkBytes = 256 << 10

	snapshotHeader byte = 'H'
	snapshotChunk  byte = 'C'
	snapshotEnd    byte = 'E'
	// snapshotHeadBytes is the size of a header before the members.
	snapshotHeadBytes = 17
)

// Origin tells where a snapshot comes from.
type Origin byte

// Origins of snapshots.
const (
	// Local snapshots were taken from this replica's own state; entries behind them stay.
	Local Origin = 'L'
	// Received snapshots came from a leader and replace the whole log.
	Received Origin = 'R'
)

func formatSnapshot(index uint64) string { return fmt.Sprintf(snapshotPattern, index) }

func snapshotPath(dir string, index uint64) string {
	return filepath.Join(dir, formatSnapshot(index))
}

func storedPath(dir string, s raft.Snapshot) string {
	return filepath.Join(dir, fmt.Sprintf(storedPattern, s.Index, s.Term))
}

// StoreSnapshot writes a snapshot, whose content the given function produces, and syncs it.
// The snapshot's own Data is not written. UseSnapshot takes it into use. An error of
// content is returned as it is and leaves the log usable, as do errors of writing; a
// failed sync does not.
func (l *Log) StoreSnapshot(s raft.Snapshot, origin Origin, content func(io.Writer) error) error {
	if l.failed.Load() {
		return ErrFailed
	}
	if err := l.removeCovered(); err != nil {
		return err
	}
	tmp := fmt.Sprintf("%s-%016x%s", storedPath(l.dir, s), RandomID(), temporarySuffix)
	f, err := l.fs.Create(tmp)
	if err != nil {
		return errors.Wrap(err, "wal: create snapshot")
	}
	if err := writeSnapshot(&steadyFile{file: f}, s, origin, content); err != nil {
		_ = f.Close()
		_ = l.fs.Remove(tmp)
		return err
	}
	if err := syncAndClose(f, nil); err != nil {
		return l.fail(errors.Wrap(err, "wal: sync snapshot"))
	}
	if err := l.fs.Rename(tmp, finishedPath(l.dir, s, origin)); err != nil {
		return l.fail(errors.Wrap(err, "wal: rename snapshot"))
	}
	return l.fail(errors.Wrap(l.fs.SyncDir(l.dir), "wal: sync folder"))
}

// finishedPath is that of a snapshot which is complete. A local one is the newest from then
// on, as the entries behind it stand; a received one waits for UseSnapshot.
func finishedPath(dir string, s raft.Snapshot, origin Origin) string {
	if origin == Local {
		return snapshotPath(dir, s.Index)
	}
	return storedPath(dir, s)
}

// steadyBytes is the amount of a snapshot that is written between two syncs.
const steadyBytes = 1 << 20

// steadyFile syncs a large file as it grows, so that a sync of the log, which the file
// system may order behind it, never waits for all of it.
type steadyFile struct {
	file
	unsynced int
}

// Write implements io.Writer.
func (s *steadyFile) Write(p []byte) (int, error) {
	n, err := s.file.Write(p)
	s.unsynced += n
	if err == nil && s.unsynced >= steadyBytes {
		s.unsynced = 0
		err = s.file.Sync()
	}
	return n, err
}

// snapshotWriter frames content in chunks.
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
	if err := out.frame(head); err != nil {
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
	return out.frame(binary.LittleEndian.AppendUint64(end, out.total))
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

// flush writes the chunk that has gathered.
func (o *snapshotWriter) flush() error {
	if len(o.buf) == frameHeaderBytes+1 {
		return nil
	}
	err := o.frame(o.buf)
	o.startChunk()
	return err
}

func (o *snapshotWriter) frame(buf []byte) error {
	o.sequence++
	finishFrame(buf, o.sequence)
	_, err := o.w.Write(buf)
	return errors.Wrap(err, "wal: write snapshot")
}

// verifyNewestSnapshot returns the newest snapshot without data, or an empty one if there
// is none, after it has verified the whole file.
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
		return nil, errors.Wrapf(ErrCorrupt, "%s holds a snapshot at %d", formatSnapshot(newest), r.meta.Index)
	}
	return r, err
}

// OpenSnapshot opens the content of the newest snapshot for reading. The file stays
// readable while newer ones are stored and used. The reader returns ErrCorrupt for damage.
func (l *Log) OpenSnapshot() (raft.Snapshot, io.ReadCloser, error) {
	for {
		r, err := openNewestSnapshot(l.dir)
		if errors.Is(err, os.ErrNotExist) {
			continue // A newer one has replaced it in between.
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
