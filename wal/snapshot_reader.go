package wal

import (
	"bufio"
	"encoding/binary"
	"io"
	"os"
	"path/filepath"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/pkg/errors"
)

// snapshotMeta is a snapshot without its content.
type snapshotMeta struct {
	raft.Snapshot
	origin Origin
}

// snapshotReader reads the content of a snapshot file and verifies its checksums as it reads.
type snapshotReader struct {
	file     io.ReadCloser
	r        *bufio.Reader
	name     string
	meta     snapshotMeta
	sequence uint64
	total    uint64
	buf      []byte
	chunk    []byte
	ended    bool
}

func openSnapshotFile(path string) (*snapshotReader, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "wal: open snapshot")
	}
	r, err := newSnapshotReader(f, filepath.Base(path))
	if err != nil {
		_ = f.Close()
		return nil, err
	}
	return r, nil
}

func newSnapshotReader(f io.ReadCloser, name string) (*snapshotReader, error) {
	r := &snapshotReader{file: f, r: bufio.NewReaderSize(f, chunkBytes), name: name}
	kind, body, err := r.next()
	if err != nil {
		return nil, err
	}
	if kind != snapshotHeader || len(body) < snapshotHeaderFixedBytes {
		return nil, r.corrupt(errors.New("snapshot header is missing"))
	}
	r.meta.origin = Origin(body[0])
	r.meta.Index = binary.LittleEndian.Uint64(body[1:])
	r.meta.Term = binary.LittleEndian.Uint64(body[9:])
	if r.meta.Members, err = raft.DecodeMembers(body[snapshotHeaderFixedBytes:]); err != nil {
		return nil, r.corrupt(err)
	}
	return r, nil
}

// next reads one frame and returns its kind and the rest of its body.
func (r *snapshotReader) next() (kind byte, body []byte, err error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r.r, header[:]); err != nil {
		return 0, nil, r.corrupt(err)
	}
	// Chunks have a maximum size, so a much larger length is damage.
	n := binary.LittleEndian.Uint32(header[4:])
	if n == 0 || n > 2*chunkBytes {
		return 0, nil, r.corrupt(errChecksum)
	}
	r.buf = append(r.buf[:0], header[:]...)
	r.buf = append(r.buf, make([]byte, n)...)
	if _, err := io.ReadFull(r.r, r.buf[frameHeaderBytes:]); err != nil {
		return 0, nil, r.corrupt(err)
	}
	sequence, body, _, err := nextFrame(r.buf)
	if err != nil {
		return 0, nil, r.corrupt(err)
	}
	r.sequence++
	if sequence != r.sequence {
		return 0, nil, r.corrupt(errors.Errorf("found frame %d, expected frame %d", sequence, r.sequence))
	}
	return body[0], body[1:], nil
}

func (r *snapshotReader) corrupt(cause error) error {
	return errors.Wrapf(ErrCorrupt, "%s: %v", r.name, cause)
}

// Read implements io.Reader.
func (r *snapshotReader) Read(p []byte) (int, error) {
	for len(r.chunk) == 0 {
		if r.ended {
			return 0, io.EOF
		}
		if err := r.advance(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.chunk)
	r.chunk = r.chunk[n:]
	return n, nil
}

// advance reads the next chunk or the end frame.
func (r *snapshotReader) advance() error {
	kind, body, err := r.next()
	if err != nil {
		return err
	}
	switch {
	case kind == snapshotChunk:
		r.chunk = body
		r.total += uint64(len(body))
		return nil
	case kind != snapshotEnd || len(body) != 8:
		return r.corrupt(errors.New("unexpected frame kind"))
	case binary.LittleEndian.Uint64(body) != r.total:
		return r.corrupt(errors.Errorf("content has %d bytes, expected %d", r.total, binary.LittleEndian.Uint64(body)))
	}
	if _, err := r.r.ReadByte(); err != io.EOF {
		return r.corrupt(errors.New("data after the end frame"))
	}
	r.ended = true
	return nil
}

// Close implements io.Closer.
func (r *snapshotReader) Close() error { return errors.Wrap(r.file.Close(), "wal: close snapshot") }
