package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"
)

// linkMode is what a proxy does to the bytes that pass it.
type linkMode int

const (
	passes linkMode = iota
	// delays holds each piece back for a while.
	delays
	// losesAnswers lets requests through and nothing back.
	losesAnswers
	// silent lets nothing through, without an end.
	silent
)

// linkDelay is far above the round trips on loopback and below the bounds of calls.
const linkDelay = 40 * time.Millisecond

// proxy stands between the system and one upstream.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     linkMode
	links    map[*link]bool
}

// link is one connection through a proxy.
type link struct {
	from, to net.Conn
	// hushed is set when the connection stays silent for good, whatever the proxy's mode.
	hushed bool
}

func newProxy(t *testing.T, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: target, links: make(map[*link]bool)}
	t.Cleanup(func() {
		_ = l.Close()
		p.reset()
	})
	go p.serve()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) serve() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		l := &link{from: from, to: to}
		p.mu.Lock()
		p.links[l] = true
		p.mu.Unlock()
		go p.carry(l, from, to, false)
		go p.carry(l, to, from, true)
	}
}

// carry moves bytes one way until the connection ends.
func (p *proxy) carry(l *link, from, to net.Conn, answers bool) {
	defer p.end(l)
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && p.lets(l, answers) {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// lets applies the mode to one piece and reports whether it passes.
func (p *proxy) lets(l *link, answers bool) bool {
	p.mu.Lock()
	mode, hushed := p.mode, l.hushed
	p.mu.Unlock()
	switch {
	case hushed, mode == silent, mode == losesAnswers && answers:
		return false
	case mode == delays:
		time.Sleep(linkDelay)
	}
	return true
}

func (p *proxy) end(l *link) {
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
	_ = l.from.Close()
	_ = l.to.Close()
}

// set changes the mode. A connection that lost bytes is broken for good, as on a real network.
func (p *proxy) set(mode linkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == silent || p.mode == losesAnswers {
		for l := range p.links {
			l.hushed = true
		}
	}
	p.mode = mode
}

// hush makes the open connections silent for good, while new ones work.
func (p *proxy) hush() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.hushed = true
	}
}

// reset ends the open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	links := p.links
	p.links = make(map[*link]bool)
	p.mu.Unlock()
	for l := range links {
		if c, ok := l.from.(*net.TCPConn); ok {
			_ = c.SetLinger(0)
		}
		_ = l.from.Close()
		_ = l.to.Close()
	}
}

// disturbLink applies one fault to the way to an upstream.
func disturbLink(p *proxy, rng *rand.Rand) {
	switch kind := rng.IntN(5); kind {
	case 0:
		p.reset()
	case 1:
		p.hush()
	default:
		p.set([]linkMode{delays, losesAnswers, silent}[kind-2])
		time.Sleep(time.Duration(200+rng.IntN(2500)) * time.Millisecond)
		p.set(passes)
	}
}
