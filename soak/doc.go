// Package soak runs the real programs as separate processes on loopback, with stand-ins for
// upstreams, permit service, operator and callers, while it checks the promises from what the
// stand-ins see:
//
//	go test ./soak -run Soak -seeds 50 -first 1000
//
// Processes are killed, stopped, paused, emptied and restarted, one or all at once. Beside that
// relays between the system and the upstreams delay, reset, silence or lose answers, the
// operator changes the configuration and reads it back, and callers hand in jobs. It ends
// only processes that it started.
//
// It has tests only. A seed that failed stays in regressions as a case with a line on its cause.
package soak
