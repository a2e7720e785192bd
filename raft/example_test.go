package raft_test

import (
	"fmt"

	"github.com/bulrushwinch/bulrushwinch/raft"
)

// Example runs a group of three replicas in one process. An owner in production makes Entries and
// HardState durable before it sends Messages; package wal provides the storage for them.
func Example() {
	var members []raft.Member
	for id := raft.ID(1); id <= 3; id++ {
		members = append(members, raft.Member{ID: id, Voter: true})
	}
	group := make(map[raft.ID]*raft.Raft)
	for _, m := range members {
		cfg := raft.Config{ID: m.ID, ElectionTicks: 10, HeartbeatTicks: 1, MaxInflight: 16, MaxAppendBytes: 1 << 20}
		start := raft.Restored{HardState: raft.HardState{Term: 1, Commit: 1},
			Snapshot: raft.Snapshot{Index: 1, Term: 1, Members: members}}
		r, err := raft.New(cfg, start)
		if err != nil {
			fmt.Println(err)
			return
		}
		group[m.ID] = r
	}
	for group[1].Role() != raft.Leader {
		group[1].Tick()
		exchange(group)
	}
	if _, err := group[1].Propose([]byte("print the label")); err != nil {
		fmt.Println(err)
	}
	exchange(group)
	// Output:
	// replica 1 applies "print the label"
	// replica 2 applies "print the label"
	// replica 3 applies "print the label"
}

// exchange processes the Ready of every replica, as an owner does, until none has work left.
func exchange(group map[raft.ID]*raft.Raft) {
	for busy := true; busy; {
		busy = false
		for id := raft.ID(1); id <= 3; id++ {
			r := group[id]
			if !r.HasReady() {
				continue
			}
			busy = true
			rd := r.Ready()
			// An owner in production makes rd.Snapshot, rd.Entries and rd.HardState durable here.
			for _, e := range rd.Committed {
				if len(e.Data) > 0 {
					fmt.Printf("replica %d applies %q\n", id, e.Data)
				}
			}
			r.Advance(rd)
			for _, m := range append(rd.Early, rd.Messages...) {
				group[m.To].Step(m)
			}
		}
	}
}
