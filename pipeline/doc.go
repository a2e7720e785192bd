// Package pipeline is the replicated state of jobs of steps on upstreams that are called.
//
// A job is a graph of steps; each step has tasks, and each start of a task is a run with a
// number of its own on one incarnation of an upstream. Apply is the only writer. It checks every
// promise again when an entry is applied: keys, team limits, room, failure domains, the order
// of steps, attempts, and that a task has one run at a time. The scheduler in package dispatch
// only proposes.
//
// It is deterministic: time comes from the log entry, and no result depends on the order of
// a map.
package pipeline
