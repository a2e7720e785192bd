package wal

import (
	"bytes"
	"io"
	"testing"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/pkg/errors"
)

// sampleFrame returns a frame with an entry and a hard state.
func sampleFrame(sequence uint64) []byte {
	buf := appendEntry(startFrame(nil), raft.Entry{Index: 1, Term: 2, Data: []byte("label")})
	buf = appendHardState(buf, raft.HardState{Term: 2, Vote: 1, Commit: 1})
	finishFrame(buf, sequence)
	return buf
}

// FuzzSegment replays a segment with arbitrary content. Its valid part, which is what stays
// after a torn tail is cut off, must replay again to the same entries.
func FuzzSegment(f *testing.F) {
	two := append(sampleFrame(1), sampleFrame(2)...)
	f.Add(two)
	f.Add(two[:len(two)-3])
	f.Add(append(sampleFrame(1), sampleFrame(3)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		first := &replay{segments: []segment{{number: 1}}}
		good, torn, err := first.applyFrames(data)
		if err != nil && !torn {
			return
		}
		second := &replay{segments: []segment{{number: 1}}}
		if _, _, err := second.applyFrames(data[:good]); err != nil {
			t.Fatal(err)
		}
		if first.last() != second.last() || first.restored.HardState != second.restored.HardState {
			t.Errorf("replay gave %v, replay of the valid part gave %v", first.restored, second.restored)
		}
	})
}

// FuzzRecords decodes a frame whose body has arbitrary content.
func FuzzRecords(f *testing.F) {
	f.Add(sampleFrame(1)[frameHeaderBytes:])
	f.Add(appendIndex(appendIndex(nil, recordReset, 9), recordLast, 9))
	f.Fuzz(func(t *testing.T, body []byte) {
		p := &replay{segments: []segment{{number: 1}}}
		if p.applyFrame(1, body) == nil && p.last() < uint64(len(p.restored.Entries)) {
			t.Error("the last index is below the number of replayed entries")
		}
	})
}

// FuzzSnapshot reads an arbitrary snapshot file.
func FuzzSnapshot(f *testing.F) {
	var b bytes.Buffer
	s := raft.Snapshot{Index: 7, Term: 2, Members: testMembers}
	err := writeSnapshot(&b, s, Received, func(w io.Writer) error {
		_, err := io.WriteString(w, "state")
		return err
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Add(b.Bytes()[:b.Len()-2])
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := newSnapshotReader(io.NopCloser(bytes.NewReader(data)), "fuzzed")
		if err == nil {
			_, err = io.Copy(io.Discard, r)
		}
		if err != nil && !errors.Is(err, ErrCorrupt) {
			t.Error(err)
		}
	})
}
