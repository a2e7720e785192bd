// Package soak is a randomized fault-injection test. It runs the real daemon as separate processes
// on loopback, with stand-ins for the upstreams, the operator and the callers, and checks the
// invariants of the system from what these stand-ins observe:
//
//	go test ./soak -run Soak -seeds 50 -first 1000
//
// It kills, terminates, pauses and restarts processes, one or all at once, sends them SIGHUP, and
// deletes data folders of replicas. At the same time relays between the system and the upstreams
// delay, reset or silence connections, drop traffic or lose answers; the operator changes the
// configuration and reads it back; and callers submit jobs. Other seeds overlap pauses with lost answers, or
// exchange replicas for empty ones at new addresses. The test ends only processes that it started.
//
// The package has tests only. A seed that failed once stays in the map regressions, with its cause.
package soak
