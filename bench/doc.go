// Command bench measures the decisions of package sched against first-in first-out
// first-fit placement on the same work, in virtual time:
//
//	go run ./bench              # all users, loads and seeds
//	go run ./bench -user oduya -load overload -seeds 1
//
// It drives a real sched.Cell through a small stand-in for the upstream side: VMs that
// start, slow down, checkpoint, fail and report with a lag. Each measure is printed
// beside the baseline and marked against its bound.
package main
