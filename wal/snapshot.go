package wal

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/pkg/errors"
)

const snapshotPattern = "snapshot-%016d.snap"

const recordSnapshot recordType = 16

func writeSnapshot(dir string, s raft.Snapshot) error {
	members := raft.EncodeMembers(s.Members)
	head := binary.LittleEndian.AppendUint64(nil, s.Index)
	head = binary.LittleEndian.AppendUint64(head, s.Term)
	head = binary.LittleEndian.AppendUint32(head, uint32(len(members)))
	buf := appendRecord(nil, recordSnapshot, head, members)
	buf = appendRecord(buf, recordSnapshot, s.Data)
	return writeAtomic(filepath.Join(dir, fmt.Sprintf(snapshotPattern, s.Index)), buf)
}

// readNewestSnapshot returns the newest snapshot, or an empty one if there is none.
func readNewestSnapshot(dir string) (raft.Snapshot, error) {
	numbers, err := listNumbered(dir, snapshotPattern)
	if err != nil || len(numbers) == 0 {
		return raft.Snapshot{}, err
	}
	name := fmt.Sprintf(snapshotPattern, slices.Max(numbers))
	data, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		return raft.Snapshot{}, errors.Wrap(err, "wal: read snapshot")
	}
	s, err := decodeSnapshot(data)
	if err != nil {
		return s, errors.Wrapf(ErrCorrupt, "%s: %v", name, err)
	}
	return s, nil
}

func decodeSnapshot(data []byte) (s raft.Snapshot, err error) {
	_, head, rest, err := nextRecord(data)
	if err != nil {
		return s, err
	}
	if len(head) < 20 {
		return s, errors.New("snapshot header is too short")
	}
	s.Index = binary.LittleEndian.Uint64(head)
	s.Term = binary.LittleEndian.Uint64(head[8:])
	if s.Members, err = raft.DecodeMembers(head[20:]); err != nil {
		return s, err
	}
	_, s.Data, _, err = nextRecord(rest)
	return s, err
}

func removeOldSnapshots(dir string, keep uint64) error {
	numbers, err := listNumbered(dir, snapshotPattern)
	if err != nil {
		return err
	}
	for _, n := range numbers {
		if n >= keep {
			continue
		}
		if err := os.Remove(filepath.Join(dir, fmt.Sprintf(snapshotPattern, n))); err != nil {
			return errors.Wrap(err, "wal: remove snapshot")
		}
	}
	return nil
}
