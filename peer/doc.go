// Package peer carries the inner protocol between the processes of a cell, with
// connect-go over HTTP/2. Every call carries the cluster secret and has a
// deadline; a call that times out closes its connections, so that one that has
// gone silent is not used again.
package peer
