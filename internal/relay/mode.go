package relay

import (
	"net"
	"time"
)

// Mode is how a relay handles the data on its connections.
type Mode int32

// Modes of a relay.
const (
	// Pass forwards all data.
	Pass Mode = iota
	// Delay forwards each chunk of data after a delay of 40 ms.
	Delay
	// DropResponses forwards data to the target and drops all data from it.
	DropResponses
	// DropAll drops all data.
	DropAll
)

// delayTime is far above the round-trip time on loopback and below the timeouts of calls.
const delayTime = 40 * time.Millisecond

// SetMode changes the mode. When it ends DropResponses or DropAll, the connections that are open
// then carry no more data, as on a real network: they may have lost some, and TCP delivers no
// stream with a gap.
func (r *Relay) SetMode(m Mode) {
	if old := Mode(r.mode.Swap(int32(m))); old == DropResponses || old == DropAll {
		r.Silence()
	}
}

// passes applies the mode to one chunk of data and reports whether it is to be forwarded.
func (r *Relay) passes(fromTarget bool) bool {
	switch Mode(r.mode.Load()) {
	case DropAll:
		return false
	case DropResponses:
		return !fromTarget
	case Delay:
		time.Sleep(delayTime)
	}
	return true
}

// Reset closes all open connections with a TCP reset; new ones work.
func (r *Relay) Reset() {
	r.mu.Lock()
	conns := r.conns
	r.conns = nil
	r.mu.Unlock()
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// With a linger time of 0, Close resets the connection; an error means that it has ended.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}
