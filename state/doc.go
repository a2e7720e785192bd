// Package state is the replicated state machine of one placement group, the replicas that
// share one Raft log. It holds the configuration (teams, keys, queues and failure domains),
// the upstreams, and the jobs with their tasks.
//
// Apply is the only writer; Restore replaces the whole state. Apply is deterministic: it takes
// the time only from log entries, and no result depends on the iteration order of a map. The
// time of the last entry, set by the leader that proposed it, is called leader time. Each
// command is validated again when it is applied, so that a stale or wrong proposal is refused
// with a reason and changes nothing. A violated invariant panics before any outcome is sent.
//
// A caller identifies each request by an ID that is unique within its team. The state retains
// what was decided for an ID, so that a resent request gets the first decision again.
//
//	s := state.New(state.Settings{})
//	results := s.Apply(batch) // one Result per command
package state
