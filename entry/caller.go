package entry

import "context"

// callerKey is the context key of a function that reports whether a request's caller has left.
type callerKey struct{}

// WithCaller returns a context for the requests of one connection. left reports whether the caller has closed
// the connection, so that nobody waits for an answer any more.
func WithCaller(ctx context.Context, left func() bool) context.Context {
	return context.WithValue(ctx, callerKey{}, left)
}

// CallerLeft reports whether the caller of the request with this context has closed its connection. It is false
// for contexts that do not come from WithCaller.
func CallerLeft(ctx context.Context) bool {
	left, ok := ctx.Value(callerKey{}).(func() bool)
	return ok && left()
}
