package peer

import (
	"context"
	"crypto/subtle"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// secretHeader carries the cluster secret.
const secretHeader = "Bulrushwinch-Cluster-Secret"

// secretInterceptor adds the cluster secret to outgoing calls and streams, and requires it in
// incoming ones.
type secretInterceptor struct {
	secret string
}

// WrapUnary implements connect.Interceptor.
func (i secretInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if req.Spec().IsClient {
			req.Header().Set(secretHeader, i.secret)
			return next(ctx, req)
		}
		if err := i.check(req.Header()); err != nil {
			return nil, err
		}
		return next(ctx, req)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (i secretInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		conn.RequestHeader().Set(secretHeader, i.secret)
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (i secretInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		if err := i.check(conn.RequestHeader()); err != nil {
			return err
		}
		return next(ctx, conn)
	}
}

// requireSecret refuses a request without the cluster secret before its body is read, which the interceptor of a unary
// call can't do.
func requireSecret(secret string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !hasSecret(r.Header, secret) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func hasSecret(h http.Header, secret string) bool {
	return subtle.ConstantTimeCompare([]byte(h.Get(secretHeader)), []byte(secret)) == 1
}

func (i secretInterceptor) check(h http.Header) error {
	if !hasSecret(h, i.secret) {
		return connect.NewError(connect.CodeUnauthenticated, errors.New("wrong cluster secret"))
	}
	return nil
}
