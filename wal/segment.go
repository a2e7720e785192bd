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

// segment is a file of the log.
type segment struct {
	number uint64
	// last is the highest index of an entry in it, or zero.
	last uint64
}

func segmentPath(dir string, number uint64) string {
	return filepath.Join(dir, fmt.Sprintf(segmentPattern, number))
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

// replay gathers the durable state from the segments, oldest first.
type replay struct {
	fs       fileSystem
	dir      string
	restored raft.Restored
	segments []segment
	// sequence is that of the last frame; zero before the first.
	sequence uint64
	// resetAt is the index of the received snapshot that the log follows; zero if there is none.
	resetAt uint64
}

// run reads all segments.
func (p *replay) run() error {
	numbers, err := listNumbered(p.dir, segmentPattern)
	if err != nil {
		return err
	}
	for i, n := range numbers {
		if i > 0 && n != numbers[i-1]+1 {
			if err := p.gap(numbers[i-1] + 1); err != nil {
				return err
			}
		}
		p.segments = append(p.segments, segment{number: n})
		if err := p.readSegment(n, i == len(numbers)-1); err != nil {
			return err
		}
	}
	return nil
}

// gap takes missing segments as removed if the snapshot covers all segments before them.
// If they held more, the segment after them tells of entries that are missing.
func (p *replay) gap(number uint64) error {
	for _, s := range p.segments {
		if s.last > p.restored.Snapshot.Index {
			return errors.Wrapf(ErrCorrupt, "segment %d is missing", number)
		}
	}
	p.sequence = 0
	return nil
}

// readSegment applies the frames of one segment; a torn tail is cut off the last one.
func (p *replay) readSegment(number uint64, last bool) error {
	path := segmentPath(p.dir, number)
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "wal: read segment")
	}
	good, torn, err := p.frames(data)
	switch {
	case err == nil:
		return nil
	case torn && last:
		return errors.Wrap(p.fs.Truncate(path, int64(good)), "wal: cut torn tail")
	}
	return errors.Wrapf(ErrCorrupt, "%s at byte %d: %v", filepath.Base(path), good, err)
}

// frames applies the frames in data. An error comes with the number of good bytes before it,
// and whether it can be a torn tail.
func (p *replay) frames(data []byte) (good int, torn bool, err error) {
	for rest := data; len(rest) > 0; {
		good = len(data) - len(rest)
		sequence, body, next, err := nextFrame(rest)
		if err != nil {
			return good, isTornTail(rest, good, err), err
		}
		if err := p.frame(sequence, body); err != nil {
			return good, false, err
		}
		rest = next
	}
	return len(data), false, nil
}

func (p *replay) frame(sequence uint64, body []byte) error {
	if p.sequence != 0 && sequence != p.sequence+1 {
		return errors.Errorf("frame %d follows frame %d", sequence, p.sequence)
	}
	p.sequence = sequence
	for len(body) > 0 {
		kind, payload, rest, err := nextRecord(body)
		if err != nil {
			return err
		}
		if err := p.record(kind, payload); err != nil {
			return err
		}
		body = rest
	}
	return nil
}

func (p *replay) record(kind recordType, payload []byte) error {
	switch kind {
	case recordHardState:
		hard, err := decodeHardState(payload)
		p.restored.HardState = hard
		return err
	case recordEntry:
		e, err := decodeEntry(payload)
		if err != nil {
			return err
		}
		return p.entry(e)
	case recordReset:
		index, err := decodeIndex(payload)
		p.resetAt = index
		p.restored.Entries = nil
		return err
	case recordBase:
		index, err := decodeIndex(payload)
		p.resetAt = index
		return err
	case recordLast:
		index, err := decodeIndex(payload)
		if err == nil && index > p.last() {
			err = errors.Errorf("entries from %d to %d are missing", p.last()+1, index)
		}
		return err
	}
	return errors.Errorf("unknown record type %d", kind)
}

// last returns the index of the last entry so far.
func (p *replay) last() uint64 {
	return p.restored.Snapshot.Index + uint64(len(p.restored.Entries))
}

// entry adds an entry, replacing a suffix that it conflicts with.
func (p *replay) entry(e raft.Entry) error {
	current := &p.segments[len(p.segments)-1]
	current.last = max(current.last, e.Index)
	if e.Index <= p.restored.Snapshot.Index {
		// Writing an entry replaced all that stood behind it.
		p.restored.Entries = nil
		return nil
	}
	keep := e.Index - p.restored.Snapshot.Index - 1
	if keep > uint64(len(p.restored.Entries)) {
		return errors.Errorf("entry %d leaves a gap", e.Index)
	}
	p.restored.Entries = append(p.restored.Entries[:keep], e)
	return nil
}

// finish drops the entries that a received snapshot replaced, if a crash came before the
// reset, and verifies that the log covers everything that was committed.
func (p *replay) finish(received bool) error {
	r := &p.restored
	if received && p.resetAt != r.Snapshot.Index {
		r.Entries = nil
		r.HardState.Commit = r.Snapshot.Index
	}
	if r.HardState.Commit > p.last() {
		return errors.Wrapf(ErrCorrupt, "committed up to %d but the log ends at %d", r.HardState.Commit, p.last())
	}
	r.HardState.Commit = max(r.HardState.Commit, r.Snapshot.Index)
	return nil
}
