// Package replica runs one raft replica on durable storage and a transport.
//
// A Node has a single control goroutine, which owns the raft core, the replicated
// state machine and the Owner. Other goroutines submit functions to it with Post.
// Network traffic and the encoding of snapshots run in other goroutines, and
// bounded queues connect them with the control goroutine:
//
//	node, err := replica.New(cfg, machine, owner, storage, transport, restored)
//	go node.Run(ctx)
//	node.Post(ctx, func() { node.Propose(data, done) })
package replica
