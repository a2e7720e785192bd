package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"connectrpc.com/connect"
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/google/subcommands"
	"github.com/pkg/errors"
)

// Exit codes in addition to those of subcommands (0 success, 1 failure, 2 bad usage).
const (
	exitRefused      subcommands.ExitStatus = 3
	exitUndetermined subcommands.ExitStatus = 4
)

// usageError describes wrong arguments.
type usageError string

// Error implements error.
func (e usageError) Error() string { return string(e) }

// outcomeError is the outcome of a request that was refused or did not succeed.
type outcomeError struct {
	outcome *apiv1.Outcome
	// printed is set when the outcome is already on the standard output.
	printed bool
}

// Error implements error.
func (e outcomeError) Error() string { return outcomeText(e.outcome) }

// report prints an error and returns the exit code for it.
func (c *command) report(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	var usage usageError
	if errors.As(err, &usage) {
		fmt.Fprintf(c.terminal.err, "%s\nusage: bulrushwinch %s", usage, c.usage)
		return subcommands.ExitUsageError
	}
	outcome := outcomeOf(err)
	if outcome == nil {
		fmt.Fprintln(c.terminal.err, err)
		if c.mutates && mayHaveTakenEffect(err) {
			return exitUndetermined
		}
		return subcommands.ExitFailure
	}
	c.printOutcome(err, outcome)
	return c.exitCode(outcome)
}

func (c *command) printOutcome(err error, o *apiv1.Outcome) {
	var own outcomeError
	if c.json && !(errors.As(err, &own) && own.printed) {
		if data, err := marshalJSON(o); err == nil {
			fmt.Fprintln(c.terminal.out, data)
		}
	}
	fmt.Fprintln(c.terminal.err, outcomeText(o))
}

// transientReasons are those for which the same call may succeed a moment later.
var transientReasons = map[apiv1.Reason]bool{apiv1.Reason_REASON_NO_LEADER: true, apiv1.Reason_REASON_OVERLOADED: true, apiv1.Reason_REASON_DRAINING: true}

func (c *command) exitCode(o *apiv1.Outcome) subcommands.ExitStatus {
	switch o.GetKind() {
	case apiv1.OutcomeKind_OUTCOME_KIND_FAILED:
		return subcommands.ExitFailure
	case apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED:
		if c.mutates {
			return exitUndetermined
		}
		if transientReasons[o.GetReason()] {
			return subcommands.ExitFailure
		}
	}
	return exitRefused
}

// outcomeOf returns the outcome that an error carries, or nil.
func outcomeOf(err error) *apiv1.Outcome {
	var own outcomeError
	if errors.As(err, &own) {
		return own.outcome
	}
	var remote *connect.Error
	if !errors.As(err, &remote) {
		return nil
	}
	for _, d := range remote.Details() {
		if m, err := d.Value(); err == nil {
			if o, ok := m.(*apiv1.Outcome); ok {
				return o
			}
		}
	}
	return nil
}

// mayHaveTakenEffect reports whether a call that failed with err may have had an effect.
func mayHaveTakenEffect(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeUnimplemented:
		return false
	}
	return true
}

// outcomeText renders an outcome, like "not run: never fits (a task needs 99 cores)".
func outcomeText(o *apiv1.Outcome) string {
	if o.GetKind() == apiv1.OutcomeKind_OUTCOME_KIND_UNSPECIFIED {
		return "no outcome yet"
	}
	text := enumText(o.GetKind().String(), "OUTCOME_KIND_")
	if o.GetReason() != apiv1.Reason_REASON_UNSPECIFIED {
		text += ": " + enumText(o.GetReason().String(), "REASON_")
	}
	if o.GetDetail() != "" {
		text += " (" + o.GetDetail() + ")"
	}
	return text
}

func enumText(name, prefix string) string {
	return strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(name, prefix), "_", " "))
}

func compactJSON(data []byte) (string, error) {
	var out bytes.Buffer
	err := json.Compact(&out, data)
	return out.String(), err
}
