// Package daemon assembles one process of the system from its settings: an
// entry, and on a VM with a data folder also a replica.
package daemon
