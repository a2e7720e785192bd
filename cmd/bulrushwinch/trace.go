package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// maxLogLine bounds one line of a log file.
const maxLogLine = 1 << 20

// logLine is one structured line of a process's log.
type logLine struct {
	// at is the time of the line in Unix milliseconds.
	at      int64
	node    string
	message string
	fields  map[string]any
}

func traceCommand() *command {
	return &command{name: "trace", synopsis: "show the log lines of one request",
		usage: "trace REQUEST_ID FILE...\n  Prints the lines of all processes that name the request, in order of time. FILE holds\n" +
			"  the standard output of a daemon; text before the JSON of a line is skipped.\n" +
			"  Example: bulrushwinch trace 5c0e7a21d94b36f8 /var/log/bulrushwinch/*.log\n",
		run: func(_ context.Context, s *session, args []string) error {
			if len(args) < 2 {
				return usageError("trace needs a REQUEST_ID and log files")
			}
			var lines []logLine
			for _, path := range args[1:] {
				found, err := traceFile(path, args[0])
				if err != nil {
					return err
				}
				lines = append(lines, found...)
			}
			s.printTrace(args[0], lines)
			return nil
		}}
}

func traceFile(path, request string) ([]logLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, usageError(err.Error())
	}
	defer func() { _ = f.Close() }()
	lines, err := traceLines(f, request)
	return lines, errors.Wrap(err, path)
}

// traceLines returns the lines about a request: those that name it as their own, and those of
// other requests that name it as the request which caused a decision. Lines that are not JSON are
// skipped, because other programs may write to the same file.
func traceLines(r io.Reader, request string) ([]logLine, error) {
	var out []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		at := strings.IndexByte(text, '{')
		if at < 0 || !strings.Contains(text, request) {
			continue
		}
		fields := make(map[string]any)
		if json.Unmarshal([]byte(text[at:]), &fields) != nil {
			continue
		}
		if fields["request"] == request || fields["for_request"] == request {
			out = append(out, newLogLine(fields))
		}
	}
	return out, scanner.Err()
}

func newLogLine(fields map[string]any) logLine {
	l := logLine{fields: fields}
	if ms, ok := fields["time"].(float64); ok {
		l.at = int64(ms)
	}
	l.node, _ = fields["node"].(string)
	l.message, _ = fields["message"].(string)
	for _, shown := range []string{"time", "node", "message", "level", "request"} {
		delete(fields, shown)
	}
	return l
}

// printTrace prints the lines in order of time, with the time since the first one.
func (s *session) printTrace(request string, lines []logLine) {
	if len(lines) == 0 {
		s.printf("no line names request %s\n", request)
		return
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.at, b.at) })
	for _, l := range lines {
		s.printf("%8d ms  %-20s %s", l.at-lines[0].at, l.node, l.message)
		for _, name := range slices.Sorted(maps.Keys(l.fields)) {
			s.printf("  %s=%s", name, fieldText(l.fields[name]))
		}
		s.printf("\n")
	}
}

// fieldText formats numbers without an exponent and all other values as JSON.
func fieldText(v any) string {
	if n, ok := v.(float64); ok {
		return fmt.Sprintf("%.10g", n)
	}
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}
