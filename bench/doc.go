// Command bench compares the decisions of package sched with first-in first-out (FIFO)
// first-fit placement of the same work, in a discrete-event simulation:
//
//	go run ./bench              # all users, loads and seeds
//	go run ./bench -user oduya -load overload -seeds 1
//
// It drives a real sched.Cell through a simulated upstream side: VMs that start tasks,
// slow down under load, write checkpoints, fail, and report use with a delay. For each
// measure it prints the value of sched, the value of the FIFO baseline and, where there
// is a bound, whether sched met it. The last line counts the missed bounds; the exit
// status does not depend on them.
//
// The simulation depends only on the user, load and seed. The processor times are
// measured on the machine and vary from run to run.
package main
