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
	// pingInterval is the time without data after which a connection is pinged; it is closed
	// if there is no response within pingTimeout.
	pingInterval = 5 * time.Second
	pingTimeout  = 3 * time.Second
	// idleTimeout is how long a connection without calls is kept.
	idleTimeout = time.Minute
	// endedConnTime is the time within which a call fails if its connection had ended unnoticed. It is
	// below the time-outs that find a process silent.
	endedConnTime = 100 * time.Millisecond
	// MaxMessageBytes is the maximum size of a message that a client takes. Servers, some of which have no cluster secret
	// to check, take less.
	MaxMessageBytes = 256 << 20
	// batchBytes is the size of the contents at which a batch of calls or of raft messages is closed, so that only its
	// last element can take it beyond that.
	batchBytes = 4 << 20
)

// Pool keeps one client per address. It is safe for concurrent use.
type Pool struct {
	secret string
	tls    *tls.Config
	// dialTimeout bounds the opening of a connection. The first packet to a machine that is
	// powered off is retransmitted only after a second, so a new dial is faster.
	dialTimeout time.Duration
	// probeTimeout is how long a process may take to answer a probe.
	probeTimeout time.Duration
	mu           sync.Mutex
	conns        map[string]*Conn
}

// Conn is a client of one process; it may use several connections. It is safe for concurrent use.
type Conn struct {
	// PeerServiceClient calls the service of the process.
	peerv1connect.PeerServiceClient
	transport    *http.Transport
	tracker      *retry.ConnTracker
	probes       probeHistory
	probeTimeout time.Duration
	mu           sync.Mutex
	stream       *callStream
}

// NewPool returns a pool whose clients send the cluster secret; a nil tlsConfig means plain TCP.
func NewPool(secret string, tlsConfig *tls.Config) *Pool {
	return &Pool{secret: secret, tls: tlsConfig, dialTimeout: defaultDialTimeout, probeTimeout: probeTimeout, conns: make(map[string]*Conn)}
}

// SetDialTimeout sets the timeout of dials and TLS handshakes; the default is 1 s. It must be
// called before the first Get.
func (p *Pool) SetDialTimeout(d time.Duration) { p.dialTimeout = d }

// Get returns the client of an address, given as "host:port". It opens no connection.
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
	tracker := retry.NewConnTracker()
	t := &http.Transport{
		DialContext:         tracker.Wrap((&net.Dialer{Timeout: p.dialTimeout}).DialContext),
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
	return &Conn{PeerServiceClient: client, transport: t, tracker: tracker, probeTimeout: p.probeTimeout}
}

// Close closes the streams of calls and all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.closeStream()
		c.transport.CloseIdleConnections()
	}
}

func (c *Conn) closeStream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stream.close()
}

// CloseSilentSince must be called after a call that began at began has timed out. It closes the
// connections from which no data was read since then, so that the next call uses a new one. A
// connection that still delivers data to other calls stays open.
func (c *Conn) CloseSilentSince(began time.Time) {
	if c.tracker.CloseSilent(began) > 0 {
		c.closeStream()
	}
}

// IsDialError reports whether a call failed because no connection could be opened, so that
// nothing was sent.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Forward sends a call to an address and waits for its response until ctx ends; sent is false
// if the call certainly did not arrive.
func (p *Pool) Forward(ctx context.Context, address string, req *peerv1.ForwardRequest) (resp *peerv1.ForwardResponse, sent bool, err error) {
	c, began := p.Get(address), time.Now()
	resp, sent, err = c.calls().call(ctx, req)
	if err != nil && !sent && ctx.Err() == nil && !IsDialError(err) && time.Since(began) < endedConnTime {
		// The stream was that of a connection that has ended in the meantime, which says nothing about the process.
		resp, sent, err = c.calls().call(ctx, req)
	}
	if err != nil && (ctx.Err() != nil || errors.Is(err, errNoProbeReply) || connect.CodeOf(err) == connect.CodeDeadlineExceeded) {
		c.CloseSilentSince(began)
	}
	return resp, sent, err
}
