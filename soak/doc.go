// Package soak runs the real programs as separate processes on loopback, with stand-ins for
// upstreams, permit service and callers, and kills, pauses and restarts them while it checks the
// promises from what the stand-ins see:
//
//	go test ./soak -run Soak -seeds 50 -first 1000
//
// It has tests only. A seed that failed stays in regressions as a case with a line on its cause.
package soak
