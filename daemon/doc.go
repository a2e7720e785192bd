// Package daemon assembles one process of the system from its settings: an entry, which accepts
// calls, and on a VM with a data folder also a replica of the state. There are two modes: in a
// cell that a Daemon serves, upstreams poll for their work; in push mode, which a PushDaemon
// serves, the leader sends its calls to the upstreams.
package daemon
