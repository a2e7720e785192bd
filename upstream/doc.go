// Package upstream implements the protocol of an upstream, a worker that executes tasks
// of a cell: it announces the worker, polls for commands and enforces leases and start
// windows.
//
//	agent := upstream.New(cfg, api, runner, lease.BootClock{})
//	err := agent.Run(ctx)
//
// A Runner executes the tasks. Each task runs with a context that is cancelled
// with ErrStop or ErrCheckpoint as its cause, or with ErrLeaseEnded if the
// worker could not renew its lease. A runner whose tasks have effects outside the
// worker calls Task.LeaseHeld before each of them, because a suspended VM resumes
// its tasks before the agent can stop them.
package upstream
