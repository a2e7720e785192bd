// Package ingress bounds what clients outside the limits can take from a process: connections, memory and time.
//
// A Listener holds back each HTTP/1 request until it is complete, so that the server behind it reads only whole
// requests of known length. What unfinished requests hold is charged to the Budget of the process; when that is used
// up, the request that has made no progress for the longest time, then the largest, is refused.
//
// An http.Server, which reads ahead, gets requests as they arrive: there, bodies of HTTP/1 and messages of HTTP/2 are
// charged while the handler reads them.
package ingress
