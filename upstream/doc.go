// Package upstream is the worker's side of the protocol: it announces the
// worker, polls for commands and keeps the rules of leases and start windows.
//
//	agent := upstream.New(cfg, api, runner, lease.BootClock{})
//	err := agent.Run(ctx)
//
// A Runner carries out the tasks. Each runs under a context that is cancelled
// with ErrStop or ErrCheckpoint as its cause, or with ErrLeaseEnded when the
// worker could not renew its lease. A runner whose tasks act outside the worker
// asks Task.LeaseHeld before each such act, as a suspended VM resumes its tasks
// before the agent can stop them.
package upstream
