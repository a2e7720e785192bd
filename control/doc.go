// Package control is the work of a leader: it turns calls into commands in the
// log, asks the scheduler for decisions, and hands work out to upstreams.
//
// A Controller belongs to the control goroutine of its replica.Node; Handle may
// be called from any goroutine and waits for the answer.
package control
