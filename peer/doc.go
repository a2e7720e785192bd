// Package peer implements the internal protocol between the processes of a cell, with
// connect-go over HTTP/2. Every call carries the cluster secret and has a deadline. A
// call that times out closes the connections that delivered no data meanwhile, so that a
// connection whose state a device on the path has dropped is not used again.
package peer
