// Package upstream is the worker's side of the protocol: it announces the
// worker, polls for commands and keeps the rules of leases and start windows.
//
//	agent := upstream.New(cfg, api, runner, lease.BootClock{})
//	err := agent.Run(ctx)
//
// A Runner carries out the tasks. Each runs under a context that is cancelled
// with ErrStop or ErrCheckpoint as its cause, or with ErrLeaseEnded when the
// worker could not renew its lease.
package upstream
