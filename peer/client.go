package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/peer/v1/peerv1connect"
	"github.com/bulrushwinch/bulrushwinch/retry"
	"github.com/pkg/errors"
)

const (
	// defaultDialTimeout bounds the opening of a connection.
	defaultDialTimeout = time.Second
	pingInterval       = 5 * time.Second
	pingTimeout        = 3 * time.Second
	idleTimeout        = time.Minute
	// MaxMessageBytes bounds one message of the inner protocol.
	MaxMessageBytes = 256 << 20
)

// Pool keeps one client per address. It is safe for concurrent use.
type Pool struct {
	secret string
	tls    *tls.Config
	// dialTimeout bounds the opening of a connection. A first packet to a machine without
	// power is sent again only after a second, so that trying anew is faster.
	dialTimeout time.Duration
	mu          sync.Mutex
	conns       map[string]*Conn
}

// Conn is a client of one process.
type Conn struct {
	peerv1connect.PeerServiceClient
	transport *http.Transport
	guard     *retry.Guard
	mu        sync.Mutex
	stream    *callStream
}

// NewPool returns a pool; a nil tls.Config means plain TCP.
func NewPool(secret string, tlsConfig *tls.Config) *Pool {
	return &Pool{secret: secret, tls: tlsConfig, dialTimeout: defaultDialTimeout, conns: make(map[string]*Conn)}
}

// SetDialTimeout must be called before the first Get.
func (p *Pool) SetDialTimeout(d time.Duration) { p.dialTimeout = d }

// Get returns the client of an address, given as "host:port".
func (p *Pool) Get(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[address]
	if c == nil {
		c = p.dial(address)
		p.conns[address] = c
	}
	return c
}

func (p *Pool) dial(address string) *Conn {
	protocols := &http.Protocols{}
	protocols.SetHTTP2(p.tls != nil)
	protocols.SetUnencryptedHTTP2(p.tls == nil)
	guard := retry.NewGuard()
	t := &http.Transport{
		DialContext:         guard.Wrap((&net.Dialer{Timeout: p.dialTimeout}).DialContext),
		TLSClientConfig:     p.tls,
		TLSHandshakeTimeout: p.dialTimeout,
		IdleConnTimeout:     idleTimeout,
		Protocols:           protocols,
		HTTP2:               &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}
	scheme := "http://"
	if p.tls != nil {
		scheme = "https://"
	}
	client := peerv1connect.NewPeerServiceClient(&http.Client{Transport: t}, scheme+address,
		connect.WithInterceptors(secretInterceptor{p.secret}), connect.WithReadMaxBytes(MaxMessageBytes), connect.WithAcceptCompression("gzip", nil, nil))
	return &Conn{PeerServiceClient: client, transport: t, guard: guard}
}

// Close ends the streams of calls and closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.endStream()
		c.transport.CloseIdleConnections()
	}
}

func (c *Conn) endStream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stream.close()
}

// TimedOut is called after a call that began at began has timed out. Connections that
// have been silent since then are closed, so that the next call uses a new one; one
// that still brings data to other calls is kept.
func (c *Conn) TimedOut(began time.Time) {
	if c.guard.CloseSilent(began) > 0 {
		c.endStream()
	}
}

// IsDialError reports whether a call failed before anything was sent.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Forward carries a call to an address; sent is false if it surely did not arrive.
func (p *Pool) Forward(ctx context.Context, address string, req *peerv1.ForwardRequest) (resp *peerv1.ForwardResponse, sent bool, err error) {
	c, began := p.Get(address), time.Now()
	resp, sent, err = c.calls().call(ctx, req)
	if err != nil && (ctx.Err() != nil || connect.CodeOf(err) == connect.CodeDeadlineExceeded) {
		c.TimedOut(began)
	}
	return resp, sent, err
}
