// Package pipeline is the replicated state machine for multi-step jobs whose tasks run on
// upstreams that the leader calls.
//
// A job is a directed acyclic graph of steps, and a step consists of tasks. Each start of a task
// is a run: it has its own number and is bound to one incarnation (process lifetime) of an
// upstream. A job with a repeat count has several occurrences, each with all of its steps.
//
// State.Apply is the only writer. It validates every invariant when a log entry is applied: keys,
// team limits, free capacity, failure domains, the order of steps, the number of attempts, and
// that a task has one run at a time unless its step allows copies. The scheduler in package
// dispatch only proposes.
//
// The state machine is deterministic: time comes from the log entry, and no result depends on
// map iteration order.
package pipeline
