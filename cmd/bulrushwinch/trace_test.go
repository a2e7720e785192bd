package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const traceLog = `process output that is not JSON
  12.1 core-1 {"level":"info","node":"core-1","request":"aa","queue":"q","verdict":"VERDICT_OK","time":2000,"message":"job submitted"}
{"level":"info","node":"core-1","request":"bb","time":2001,"message":"job submitted"}
{"level":"info","node":"core-1","request":"bb","for_request":"aa","run":1,"time":2040,"message":"run is preempted; it resumes from its checkpoint"}
{"broken aa
`

func TestTrace(t *testing.T) {
	dir := t.TempDir()
	first, second := filepath.Join(dir, "core"), filepath.Join(dir, "front")
	front := `{"level":"info","node":"front-1","request":"aa","why":"none","time":1990,"message":"call refused"}`
	for path, text := range map[string]string{first: traceLog, second: front} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var out, errs bytes.Buffer
	term := terminal{&out, &errs, func(string) string { return "" }}
	if got := run(context.Background(), []string{"trace", "aa", first, second}, term); got != 0 {
		t.Fatalf("exit %d: %s", got, errs.String())
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	want := []string{"0 ms  front-1", "10 ms  core-1", "50 ms  core-1"}
	if len(lines) != len(want) {
		t.Fatalf("%d lines:\n%s", len(lines), out.String())
	}
	for i := range want {
		if !strings.Contains(lines[i], want[i]) {
			t.Errorf("line %d is %q, wanted %q in it", i, lines[i], want[i])
		}
	}
	if got := run(context.Background(), []string{"trace", "aa", filepath.Join(dir, "missing")}, term); got == 0 {
		t.Error("a missing file was accepted")
	}
}
