package wal_test

import (
	"fmt"
	"io"
	"os"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/wal"
)

// Example writes entries, covers one of them by a snapshot and opens the folder again.
func Example() {
	dir, err := os.MkdirTemp("", "wal-example-")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = os.RemoveAll(dir) }()
	log, _, err := wal.Open(dir)
	if err != nil {
		fmt.Println(err)
		return
	}
	err = log.Append(raft.HardState{Term: 1, Vote: 1}, []raft.Entry{
		{Index: 1, Term: 1, Data: []byte("first")}, {Index: 2, Term: 1, Data: []byte("second")}})
	if err != nil {
		fmt.Println(err) // The process has to stop: see ErrFailed.
		return
	}
	covered := raft.Snapshot{Index: 1, Term: 1, Members: []raft.Member{{ID: 1, Voter: true}}}
	err = log.StoreSnapshot(covered, wal.Local, func(w io.Writer) error {
		_, err := io.WriteString(w, "the state after the first entry")
		return err
	})
	if err == nil {
		err = log.UseSnapshot(covered, wal.Local)
	}
	if err != nil {
		fmt.Println(err)
		return
	}
	_ = log.Close()

	log, restored, err := wal.Open(dir)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = log.Close() }()
	_, content, err := log.OpenSnapshot()
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = content.Close() }()
	state, err := io.ReadAll(content)
	fmt.Printf("snapshot at %d: %s %v\n", restored.Snapshot.Index, state, err)
	fmt.Printf("entry %d: %s\n", restored.Entries[0].Index, restored.Entries[0].Data)
	// Output:
	// snapshot at 1: the state after the first entry <nil>
	// entry 2: second
}
