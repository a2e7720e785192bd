package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// maxPlainBody bounds the body of an HTTP/1 request to an http.Server in bytes. Peers use HTTP/2, and health checks have
// no body.
const maxPlainBody = 64 << 10

// connKey is the context key of a request's connection.
type connKey struct{}

// Bound sets the limits of an http.Server that serves the listener.
func (l *Listener) Bound(s *http.Server) {
	limits := l.budget.limits
	s.MaxHeaderBytes, s.ReadHeaderTimeout, s.IdleTimeout = limits.HeadBytes, limits.HeadTime, max(s.IdleTimeout, idleTime)
	s.ConnState = l.ConnState
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, connBelow(conn))
	}
	s.Handler = l.boundBodies(s.Handler)
}

// idleTime closes a connection on which no request arrives.
const idleTime = 2 * time.Minute

// boundBodies charges the body of an HTTP/1 request to the budget while it is read, and the messages of an HTTP/2 stream.
func (l *Listener) boundBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*Conn)
		if r.ProtoMajor == 2 {
			l.serveStream(next, w, r)
			return
		}
		if r.ContentLength == 0 || c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if r.ContentLength > maxPlainBody {
			l.budget.log.refused(l.name, refusalBody.reason, r.RemoteAddr, time.Now())
			w.Header().Set("Connection", "close")
			w.WriteHeader(refusalBody.status)
			return
		}
		defer l.budget.release(&c.holder)
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(l.budget.limits.RequestTime))
		w.Header().Set("Connection", "close")
		r.Body = &chargedBody{http.MaxBytesReader(w, r.Body, maxPlainBody), c}
		next.ServeHTTP(w, r)
	})
}

// chargedBody charges what is read of a body to the budget.
type chargedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *chargedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	c := b.conn
	if n == 0 {
		if errors.Is(err, io.EOF) {
			_ = c.listener.budget.begin(&c.holder)
		}
		return n, err
	}
	c.holder.progress.Store(time.Now().UnixNano())
	// The reader's buffer doubles as it grows.
	if refused := c.listener.budget.charge(&c.holder, 2*int64(n)); refused != nil {
		c.listener.budget.log.refused(c.listener.name, refusalBudget.reason, c.RemoteAddr().String(), time.Now())
		return 0, refused
	}
	if errors.Is(err, io.EOF) {
		// The handler has the whole body, and is not aborted for another request.
		_ = c.listener.budget.begin(&c.holder)
	}
	return n, err
}
