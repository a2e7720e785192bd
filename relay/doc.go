// Package relay carries the calls of the leader to upstreams through other replicas, which hold the
// connections to the upstreams of their failure domain. A relay is a part of the network between the
// leader and an upstream: it may lose and delay calls and answers, but never originates, changes or
// repeats a call. It decides nothing.
package relay
