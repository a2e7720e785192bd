// Package contain ends the request whose handler meets an unexpected error, and not the process: the
// error is logged with its stack, and the request is answered as one that may have had an effect.
//
// It is for the handlers of single requests only. Where the replicated state is applied, or the log is
// written, an unexpected error means that an invariant is broken, and the process must stop.
package contain

import (
	"expvar"
	"fmt"
	"runtime/debug"

	"github.com/rs/zerolog"
)

// maxStack bounds the stack in a log line, in bytes.
const maxStack = 4 << 10

var unexpectedErrors = expvar.NewMap("unexpected_errors")

// Reporter reports unexpected errors. The zero value reports none, and lets them pass.
type Reporter struct {
	log *zerolog.Logger
}

// NewReporter returns a reporter that writes to log.
func NewReporter(log zerolog.Logger) Reporter { return Reporter{&log} }

// Recover must be deferred by the handler of a request. If the handler panics, it reports the error for
// what was handled and calls end, which answers the request.
func (r Reporter) Recover(what string, end func()) {
	if r.log == nil {
		return
	}
	reason := recover()
	if reason == nil {
		return
	}
	stack := debug.Stack()
	unexpectedErrors.Add(what, 1)
	r.log.Error().Str("handling", what).Str("reason", fmt.Sprint(reason)).Bytes("stack", stack[:min(len(stack), maxStack)]).
		Msg("unexpected error; the request ends and the process goes on")
	end()
}
