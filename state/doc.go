// Package state is the replicated state of one group.
//
// Apply is the only writer. It is deterministic: time enters only inside log
// entries, and nothing depends on the order of a map. Each command is checked
// again when it is applied, so that a stale or wrong proposal is refused with a
// reason and changes nothing. A broken invariant panics before any outcome is
// sent.
//
//	s := state.New(state.Settings{})
//	results := s.Apply(batch) // one Result per command
package state
