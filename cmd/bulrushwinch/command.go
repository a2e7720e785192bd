package main

import (
	"cmp"
	"context"
	"crypto/tls"
	"crypto/x509"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/bulrushwinch/bulrushwinch/client"
	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Environment variables: the first and the last give the defaults of -address and -ca, and the
// second is used without -key-file.
const (
	addressVariable = "BULRUSHWINCH_ADDRESS"
	keyVariable     = "BULRUSHWINCH_KEY"
	caVariable      = "BULRUSHWINCH_CA"
)

const (
	defaultAddress = "127.0.0.1:7400"
	defaultTimeout = 30 * time.Second
)

// terminal holds the outputs and the environment of a command.
type terminal struct {
	out, err io.Writer
	env      func(string) string
}

func (t terminal) envOr(name, fallback string) string {
	if v := t.env(name); v != "" {
		return v
	}
	return fallback
}

// command is one subcommand.
type command struct {
	name, synopsis, usage string
	// bind registers the command's own flags; run executes it.
	bind func(f *flag.FlagSet)
	run  func(ctx context.Context, s *session, args []string) error
	// mutates is set if a call without a response may have had an effect.
	mutates bool
	// ownTimeout replaces defaultTimeout; zero keeps it.
	ownTimeout time.Duration

	terminal terminal
	address  string
	keyFile  string
	caFile   string
	json     bool
	timeout  time.Duration
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string { return c.usage }

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", c.terminal.envOr(addressVariable, defaultAddress), "comma-separated `addresses` of entries")
	f.StringVar(&c.keyFile, "key-file", "", "`file` that holds the key; the default is the variable "+keyVariable)
	f.StringVar(&c.caFile, "ca", c.terminal.envOr(caVariable, ""), "PEM `file` of the CA; enables TLS")
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.DurationVar(&c.timeout, "timeout", cmp.Or(c.ownTimeout, defaultTimeout), "`time` limit for the command")
	if c.bind != nil {
		c.bind(f)
	}
}

// session is the client, the terminal and the options of a running command.
type session struct {
	*client.Client
	terminal
	json bool
	key  string
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.report(c.execute(ctx, f.Args()))
}

func (c *command) execute(ctx context.Context, args []string) error {
	cfg, err := c.clientConfig()
	if err != nil {
		return err
	}
	s := &session{client.New(cfg), c.terminal, c.json, cfg.Key}
	defer s.Close()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.run(ctx, s, args)
}

func (c *command) clientConfig() (client.Config, error) {
	cfg := client.Config{Addresses: strings.Split(c.address, ","), Key: c.terminal.env(keyVariable)}
	if c.keyFile != "" {
		data, err := os.ReadFile(c.keyFile)
		if err != nil {
			return cfg, usageError(err.Error())
		}
		cfg.Key = strings.TrimSpace(string(data))
	}
	if c.caFile == "" {
		return cfg, nil
	}
	data, err := os.ReadFile(c.caFile)
	if err != nil {
		return cfg, usageError(err.Error())
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return cfg, usageError(c.caFile + " holds no certificate")
	}
	cfg.TLS = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return cfg, nil
}

// print writes the message as JSON if -json is set, and calls table to print it for people
// otherwise.
func (s *session) print(m proto.Message, table func()) error {
	if !s.json {
		table()
		return nil
	}
	data, err := marshalJSON(m)
	if err != nil {
		return errors.Wrap(err, "encode JSON")
	}
	_, err = fmt.Fprintln(s.out, data)
	return err
}

// printf writes to the standard output.
func (s *session) printf(format string, args ...any) { fmt.Fprintf(s.out, format, args...) }

// marshalJSON encodes a message on one line. protojson varies its spacing on purpose; the result
// here is always the same.
func marshalJSON(m proto.Message) (string, error) {
	data, err := protojson.Marshal(m)
	if err != nil {
		return "", err
	}
	return compactJSON(data)
}
