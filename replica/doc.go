// Package replica drives one raft replica with durable storage and a transport.
//
// A Node runs a single control goroutine that owns the raft core, the state
// machine and the Owner. Everything else reaches it through Post; network
// traffic runs in other goroutines behind bounded queues:
//
//	node, err := replica.New(cfg, machine, owner, storage, transport, restored)
//	go node.Run(ctx)
//	node.Post(ctx, func() { node.Propose(data, done) })
package replica
