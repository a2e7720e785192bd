package peer

import (
	"net/http"

	"connectrpc.com/connect"
	"github.com/bulrushwinch/bulrushwinch/contain"
	"github.com/bulrushwinch/bulrushwinch/ingress"
	"github.com/bulrushwinch/bulrushwinch/peer/v1/peerv1connect"
)

// NewHandler returns the HTTP handler of the internal protocol, which requires the cluster secret
// of every call and passes it to h. No process compresses its messages, so compressed ones, which could hold far more
// than they take on the way, are refused.
func NewHandler(secret string, h peerv1connect.PeerServiceHandler, r contain.Reporter) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(h,
		connect.WithInterceptors(containInterceptor{r}, secretInterceptor{secret}), connect.WithReadMaxBytes(ingress.MaxMessageBytes), connect.WithCompression("gzip", nil, nil)))
	return requireSecret(secret, mux)
}

// maxFrameBytes is the largest HTTP/2 frame that the server takes. It buffers one for each connection, before it knows
// whether the client has the cluster secret.
const maxFrameBytes = 64 << 10

// receiveBytes bounds what the server holds of one connection that its handlers have not read yet. At a round trip of a
// millisecond it lets 256 MB/s through.
const receiveBytes = 256 << 10

// NewServer returns an HTTP/2 server for the internal protocol, with or without TLS.
func NewServer(handler http.Handler) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: handler, Protocols: protocols, ReadHeaderTimeout: defaultDialTimeout,
		HTTP2: &http.HTTP2Config{MaxReadFrameSize: maxFrameBytes, MaxReceiveBufferPerConnection: receiveBytes, MaxReceiveBufferPerStream: receiveBytes,
			SendPingTimeout: pingInterval, PingTimeout: pingTimeout}}
}
