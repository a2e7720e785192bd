package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/client"
	"github.com/google/subcommands"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Exit codes beside those of subcommands (0 success, 1 failure, 2 bad usage).
const (
	exitRefused      subcommands.ExitStatus = 3
	exitUndetermined subcommands.ExitStatus = 4
)

// Environment variables that replace flags.
const (
	addressVariable = "BULRUSHWINCH_ADDRESS"
	keyVariable     = "BULRUSHWINCH_KEY"
)

const callTimeout = 30 * time.Second

// command is one subcommand.
type command struct {
	name, synopsis, usage string
	// bind registers the command's own flags; run carries it out.
	bind func(f *flag.FlagSet)
	run  func(ctx context.Context, s *session, args []string) error

	address, keyFile string
	json             bool
	timeout          time.Duration
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string { return c.usage }

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", envOr(addressVariable, "127.0.0.1:7400"), "`addresses` of entries, with commas")
	f.StringVar(&c.keyFile, "key-file", "", "`file` that holds the key; the default is the variable "+keyVariable)
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.DurationVar(&c.timeout, "timeout", callTimeout, "`time` after which the command gives up")
	if c.bind != nil {
		c.bind(f)
	}
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

// session is what a running command works with.
type session struct {
	*client.Client
	json bool
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	key, err := c.key()
	if err != nil {
		return fail(err)
	}
	s := &session{client.New(client.Config{Addresses: strings.Split(c.address, ","), Key: key}), c.json}
	defer s.Close()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return fail(c.run(ctx, s, f.Args()))
}

func (c *command) key() (string, error) {
	if c.keyFile == "" {
		return os.Getenv(keyVariable), nil
	}
	data, err := os.ReadFile(c.keyFile)
	return strings.TrimSpace(string(data)), err
}

// usageError tells of bad arguments.
type usageError string

// Error implements error.
func (e usageError) Error() string { return string(e) }

// outcomeError tells of a request that was not taken or did not succeed.
type outcomeError struct {
	outcome *apiv1.Outcome
}

// Error implements error.
func (e outcomeError) Error() string { return outcomeText(e.outcome) }

func fail(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, err)
	switch e := err.(type) {
	case usageError:
		return subcommands.ExitUsageError
	case outcomeError:
		if e.outcome.GetKind() == apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED {
			return exitUndetermined
		}
		return exitRefused
	}
	return subcommands.ExitFailure
}

// print writes JSON, or calls table for people.
func (s *session) print(m proto.Message, table func()) error {
	if !s.json {
		table()
		return nil
	}
	data, err := protojson.MarshalOptions{Multiline: true}.Marshal(m)
	if err != nil {
		return err
	}
	_, err = fmt.Printf("%s\n", data)
	return err
}

// outcomeText renders an outcome, like "not run: never fits (a task needs 99 cores)".
func outcomeText(o *apiv1.Outcome) string {
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
