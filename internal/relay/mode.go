package relay

import (
	"net"
	"time"
)

// Mode is what a relay does to the bytes that pass it.
type Mode int32

// Modes.
const (
	// Pass lets everything through.
	Pass Mode = iota
	// Delay holds each piece back by delayTime.
	Delay
	// LoseAnswers lets requests through and nothing back.
	LoseAnswers
	// Drop lets nothing through.
	Drop
)

// delayTime is far above the round trips on loopback and below the bounds of calls.
const delayTime = 40 * time.Millisecond

// SetMode changes the mode. Connections that have lost bytes stay silent afterwards, as on a
// real network.
func (r *Relay) SetMode(m Mode) {
	if old := Mode(r.mode.Swap(int32(m))); old == LoseAnswers || old == Drop {
		r.Silence()
	}
}

// lets applies the mode to one piece and reports whether it passes.
func (r *Relay) lets(answers bool) bool {
	switch Mode(r.mode.Load()) {
	case Drop:
		return false
	case LoseAnswers:
		return !answers
	case Delay:
		time.Sleep(delayTime)
	}
	return true
}

// Reset ends all open connections with a reset; new ones work.
func (r *Relay) Reset() {
	r.mu.Lock()
	conns := r.conns
	r.conns = nil
	r.mu.Unlock()
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// Without lingering, Close resets the connection; an error means that it has ended.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}
