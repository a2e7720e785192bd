// Package dispatch is the scheduling engine that runs on the leader. It requests permits, chooses
// an upstream for each task, sends start and stop orders to the upstreams, collects the ends of
// runs, and keeps the upstreams' leases.
//
// The engine runs on the control goroutine of its replica. Calls to upstreams run in goroutines
// of their own and pass their answers back to the control goroutine. Every decision is proposed
// to the replicated log and validated again by package pipeline when the entry is applied; no
// order is sent before its entry is committed.
package dispatch
