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

// segment is one file of the log.
type segment struct {
	number uint64
	// last is the highest index of the entries in the segment, or zero if it has none.
	last uint64
}

func segmentPath(dir string, number uint64) string {
	return filepath.Join(dir, fmt.Sprintf(segmentPattern, number))
}

// listNumbered returns the numbers of the files that match a pattern, in ascending order.
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

// replay rebuilds the durable state from the segments, oldest first.
type replay struct {
	fs       fileSystem
	dir      string
	restored raft.DurableState
	segments []segment
	// sequence is the number of the last frame; zero before the first frame.
	sequence uint64
	// base is the index of the received snapshot that the log follows; zero if there is none.
	base uint64
	// tornBytes is the length of the torn tail that was cut off.
	tornBytes int64
}

// run replays all segments.
func (p *replay) run() error {
	numbers, err := listNumbered(p.dir, segmentPattern)
	if err != nil {
		return err
	}
	for i, n := range numbers {
		if i > 0 && n != numbers[i-1]+1 {
			if err := p.checkGap(numbers[i-1] + 1); err != nil {
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

// checkGap accepts missing segments, starting at the given number, as deleted if the snapshot
// covers all segments before them. If the missing ones held entries beyond the snapshot, the
// recordLast of the next segment reveals that.
func (p *replay) checkGap(number uint64) error {
	for _, s := range p.segments {
		if s.last > p.restored.Snapshot.Index {
			return errors.Wrapf(ErrCorrupt, "segment %d is missing", number)
		}
	}
	p.sequence = 0
	return nil
}

// readSegment applies the frames of one segment. In the last segment, a torn tail is cut off.
func (p *replay) readSegment(number uint64, last bool) error {
	path := segmentPath(p.dir, number)
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "wal: read segment")
	}
	good, torn, err := p.applyFrames(data)
	if err != nil && !(torn && last) {
		return errors.Wrapf(ErrCorrupt, "%s at byte %d: %v", filepath.Base(path), good, err)
	}
	if !last {
		return nil
	}
	p.tornBytes = int64(len(data) - good)
	// A process that was killed between a write and its sync leaves frames that are only in the
	// page cache. They must be durable before anything is built on them.
	return errors.Wrap(p.fs.Truncate(path, int64(good)), "wal: truncate and sync the last segment")
}

// applyFrames applies the frames in data. On an error, good is the number of valid bytes before
// the bad frame, and torn reports whether the bad frame can be a torn tail.
func (p *replay) applyFrames(data []byte) (good int, torn bool, err error) {
	for rest := data; len(rest) > 0; {
		good = len(data) - len(rest)
		sequence, body, next, err := nextFrame(rest)
		if err != nil {
			return good, isTornTail(rest, good, err), err
		}
		if err := p.applyFrame(sequence, body); err != nil {
			return good, false, err
		}
		rest = next
	}
	return len(data), false, nil
}

func (p *replay) applyFrame(sequence uint64, body []byte) error {
	if p.sequence != 0 && sequence != p.sequence+1 {
		return errors.Errorf("frame %d follows frame %d", sequence, p.sequence)
	}
	p.sequence = sequence
	for len(body) > 0 {
		kind, payload, rest, err := nextRecord(body)
		if err != nil {
			return err
		}
		if err := p.applyRecord(kind, payload); err != nil {
			return err
		}
		body = rest
	}
	return nil
}

func (p *replay) applyRecord(kind recordType, payload []byte) error {
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
		return p.addEntry(e)
	case recordReset:
		index, err := decodeIndex(payload)
		p.base = index
		p.restored.Entries = nil
		return err
	case recordBase:
		index, err := decodeIndex(payload)
		p.base = index
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

// last returns the index of the last entry replayed so far.
func (p *replay) last() uint64 {
	return p.restored.Snapshot.Index + uint64(len(p.restored.Entries))
}

// addEntry appends an entry after removing the entries at and after its index.
func (p *replay) addEntry(e raft.Entry) error {
	current := &p.segments[len(p.segments)-1]
	current.last = max(current.last, e.Index)
	if e.Index <= p.restored.Snapshot.Index {
		// Writing this entry replaced all entries after it.
		p.restored.Entries = nil
		return nil
	}
	keep := e.Index - p.restored.Snapshot.Index - 1
	if keep > uint64(len(p.restored.Entries)) {
		return errors.Errorf("entry %d leaves a gap in the log", e.Index)
	}
	p.restored.Entries = append(p.restored.Entries[:keep], e)
	return nil
}

// finish drops the entries that a received snapshot replaced, if a crash came before the
// recordReset was written, and verifies that the log covers everything that was committed.
func (p *replay) finish(received bool) error {
	r := &p.restored
	if received && p.base != r.Snapshot.Index {
		r.Entries = nil
		r.HardState.Commit = r.Snapshot.Index
	}
	if r.HardState.Commit > p.last() {
		return errors.Wrapf(ErrCorrupt, "committed up to %d but the log ends at %d", r.HardState.Commit, p.last())
	}
	r.HardState.Commit = max(r.HardState.Commit, r.Snapshot.Index)
	return nil
}
