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

func storedPath(dir string, s raft.Snapshot) string {
	return filepath.Join(dir, fmt.Sprintf(storedPattern, s.Index, s.Term))
}

// StoreSnapshot writes a snapshot, whose content the given function produces, and syncs it.
// The snapshot's own Data is not written. It is not used until UseSnapshot. An error of
// content is returned as it is and leaves the log usable, as do errors of writing; a
// failed sync does not.
func (l *Log) StoreSnapshot(s raft.Snapshot, origin Origin, content func(io.Writer) error) error {
	if l.failed.Load() {
		return ErrFailed
	}
	tmp := fmt.Sprintf("%s-%016x%s", storedPath(l.dir, s), RandomID(), temporarySuffix)
	f, err := l.fs.Create(tmp)
	if err != nil {
		return errors.Wrap(err, "wal: create snapshot")
	}
	if err := writeSnapshot(f, s, origin, content); err != nil {
		_ = f.Close()
		_ = l.fs.Remove(tmp)
		return err
	}
	if err := syncAndClose(f, nil); err != nil {
		return l.fail(errors.Wrap(err, "wal: sync snapshot"))
	}
	return l.fail(errors.Wrap(l.fs.Rename(tmp, storedPath(l.dir, s)), "wal: rename snapshot"))
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

// removeLeftovers deletes snapshots that are older than the one at keep, unfinished files,
// and stored snapshots that will not be used any more.
func (l *Log) removeLeftovers(keep uint64) error {
	files, err := os.ReadDir(l.dir)
	if err != nil {
		return errors.Wrap(err, "wal: list folder")
	}
	for _, f := range files {
		if !isLeftover(f.Name(), keep, l.file == nil) {
			continue
		}
		if err := l.fs.Remove(filepath.Join(l.dir, f.Name())); err != nil && !os.IsNotExist(err) {
			return errors.Wrap(err, "wal: remove leftover")
		}
	}
	return nil
}

// isLeftover reports whether a file serves no more beside a snapshot at keep. While the
// folder is opened nothing writes to it, so that all unfinished files are leftovers.
func isLeftover(name string, keep uint64, opening bool) bool {
	var index, term uint64
	if strings.HasSuffix(name, temporarySuffix) {
		return opening
	}
	if _, err := fmt.Sscanf(name, snapshotPattern, &index); err == nil {
		return index < keep
	}
	if _, err := fmt.Sscanf(name, storedPattern, &index, &term); err == nil {
		return opening || index <= keep
	}
	return false
}
