// Package ingress bounds what clients outside the limits can take from a process: connections, memory and time.
package ingress
