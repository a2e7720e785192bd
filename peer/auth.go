package peer

import (
	"context"
	"crypto/subtle"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// secretHeader carries the cluster secret.
const secretHeader = "Bulrushwinch-Cluster-Secret"

// secretInterceptor adds the cluster secret to calls and demands it of callers.
func secretInterceptor(secret string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if req.Spec().IsClient {
				req.Header().Set(secretHeader, secret)
				return next(ctx, req)
			}
			got := req.Header().Get(secretHeader)
			if subtle.ConstantTimeCompare([]byte(got), []byte(secret)) != 1 {
				return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("wrong cluster secret"))
			}
			return next(ctx, req)
		}
	}
}
