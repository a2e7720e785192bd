package peer

import (
	"context"

	"connectrpc.com/connect"
	"github.com/bulrushwinch/bulrushwinch/contain"
	"github.com/pkg/errors"
)

// errUnexpected ends a request whose handler met an unexpected error.
var errUnexpected = connect.NewError(connect.CodeInternal, errors.New("peer: unexpected error"))

// containInterceptor ends requests whose handlers meet an unexpected error.
type containInterceptor struct{ reporter contain.Reporter }

// WrapUnary implements connect.Interceptor.
func (i containInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (resp connect.AnyResponse, err error) {
		defer i.reporter.Recover(req.Spec().Procedure, func() { resp, err = nil, errUnexpected })
		return next(ctx, req)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (containInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (i containInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) (err error) {
		defer i.reporter.Recover(conn.Spec().Procedure, func() { err = errUnexpected })
		return next(ctx, conn)
	}
}
