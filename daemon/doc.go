// Package daemon assembles one process of the system from its settings: an entry, which accepts
// calls, a replica of the state, or both. There are two modes. In a cell of Daemons the upstreams
// poll for their work, and every process serves its public address. In push mode, in a cell of
// PushDaemons, the leader sends its calls to the upstreams.
package daemon
