// Package control is the work of a leader: it turns calls into commands in the
// replicated log, asks the scheduler for decisions, and sends commands to upstreams
// in the answers to their polls.
//
// The leader of a group of replicas schedules one cell: all upstreams, teams and jobs
// that the group manages.
//
// A Controller belongs to the control goroutine of its replica.Node; unless a method
// says that it is safe for concurrent use, it must be called there.
package control
