// Package peer carries the inner protocol between the processes of a cell, with
// connect-go over HTTP/2. Every call carries the cluster secret and has a deadline. A
// call that times out closes the connections that were silent meanwhile, so that one
// that something in between has lost track of is not used again.
package peer
