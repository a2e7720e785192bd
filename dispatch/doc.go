// Package dispatch is the leader's work on jobs of steps: it asks for permits, decides where
// tasks run, orders them on upstreams, looks for their ends and keeps the upstreams' leases.
//
// It runs on the control goroutine of its replica. Calls to upstreams run in goroutines of
// their own and hand their answers back. Whatever it decides goes through the log and is
// checked again in package pipeline; nothing is ordered before its commit.
package dispatch
