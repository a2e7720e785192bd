package pipeline

import (
	"bufio"
	"compress/gzip"
	"os"
	"testing"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// olderSubmit and olderCancel are entries of the release before, which name a queue.
func olderSubmit(queue, id string) *pipelinev1.Command {
	spec := &pipelinev1.JobSpec{Id: id, Queue: queue, Steps: []*pipelinev1.Step{step(1, 1)}}
	return &pipelinev1.Command{Command: &pipelinev1.Command_Submit{Submit: &pipelinev1.Submit{KeySha256: hashOf(testKey), Spec: spec, Digest: []byte(id)}}}
}

func olderCancel(queue, id string) *pipelinev1.Command {
	return &pipelinev1.Command{Command: &pipelinev1.Command_Cancel{Cancel: &pipelinev1.Cancel{Job: id, Queue: queue, KeySha256: hashOf(testKey)}}}
}

// olderConfig is a configuration of the release before, in which testQueue has some name.
func (h *harness) olderConfig(version uint64, name string) *pipelinev1.Command {
	c := h.config(version)
	c.StableIdentities = false
	c.Queues[0].Name = name
	return &pipelinev1.Command{Command: &pipelinev1.Command_PutConfig{PutConfig: c}}
}

// Entries of the release before keep their meaning: they select the queue that has the name when they are applied, and
// know jobs by the name under which these were accepted.
func TestEntriesOfTheReleaseBefore(t *testing.T) {
	h := newHarness(t)
	h.apply(olderSubmit(testQueue, "a"))
	h.apply(h.olderConfig(2, "renamed"))
	for name, c := range map[string]struct {
		entry *pipelinev1.Command
		want  pipelinev1.Verdict
	}{
		"submission to the old name":  {olderSubmit(testQueue, "b"), pipelinev1.Verdict_VERDICT_NO_QUEUE},
		"submission to the new name":  {olderSubmit("renamed", "c"), pipelinev1.Verdict_VERDICT_OK},
		"cancellation by the new one": {olderCancel("renamed", "a"), pipelinev1.Verdict_VERDICT_NO_JOB},
	} {
		if r := h.apply(c.entry).Reply; r.GetVerdict() != c.want {
			t.Errorf("%s: %v, want %v", name, r, c.want)
		}
	}
	if h.Job("a").Ended() || h.Job("b") != nil || h.Job("c") == nil {
		t.Errorf("jobs %v", h.Jobs())
	}
}

// The same where a queue asks for keys that did not before: to the release before, a job without a key was nobody's then, and a
// cancellation without one barred nothing.
func TestEntriesOfTheReleaseBeforeOnAClosedQueue(t *testing.T) {
	h := newHarness(t)
	open := h.olderConfig(2, testQueue)
	open.GetPutConfig().Queues[0].Open = true
	h.apply(open)
	keyless := olderSubmit(testQueue, "a")
	keyless.GetSubmit().KeySha256 = nil
	h.apply(keyless)
	h.apply(olderCancel(testQueue, "b"))
	h.apply(h.olderConfig(3, testQueue))
	if r := h.apply(olderCancel(testQueue, "a")).Reply; r.GetVerdict() != pipelinev1.Verdict_VERDICT_NO_JOB || h.Job("a").Ended() {
		t.Errorf("cancellation of a job without a key: %v", r)
	}
	if r := h.apply(olderSubmit(testQueue, "b")).Reply; r.GetJobState() != string(Queued) {
		t.Errorf("submission after a cancellation on the open queue: %v", r)
	}
}

// releaseBefore is a log that the release before (d2d13c4) applied, with the snapshot that it would have written after each
// entry: random configurations that rename and move queues and teams, submissions, cancellations, placements and ends.
// Each entry is its time, as the number of a Wave, the Command, the number of records and the records; -1 ends a log.
const releaseBefore = "testdata/release-before.binpb.gz"

// loggedEntry is an entry of releaseBefore.
type loggedEntry struct {
	nowNS   int64
	command *pipelinev1.Command
	after   []*pipelinev1.Record
}

func readReleaseBefore(t *testing.T) (logs [][]loggedEntry) {
	t.Helper()
	f, err := os.Open(releaseBefore)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	unzipped, err := gzip.NewReader(f)
	if err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(unzipped)
	read := func(m proto.Message) {
		if err := protodelim.UnmarshalFrom(in, m); err != nil {
			t.Fatal(err)
		}
	}
	for entries := []loggedEntry(nil); ; {
		if _, err := in.Peek(1); err != nil {
			return logs
		}
		now, count := &pipelinev1.Wave{}, &pipelinev1.Wave{}
		if read(now); now.GetNumber() < 0 {
			logs, entries = append(logs, entries), nil
			continue
		}
		e := loggedEntry{nowNS: now.GetNumber(), command: &pipelinev1.Command{}}
		read(e.command)
		read(count)
		for range count.GetNumber() {
			r := &pipelinev1.Record{}
			read(r)
			e.after = append(e.after, r)
		}
		entries = append(entries, e)
	}
}

// restoredFrom returns a state from the snapshot after an entry.
func (e loggedEntry) restoredFrom(t *testing.T) *State {
	t.Helper()
	s := New()
	for _, r := range e.after {
		if err := s.Restore(proto.CloneOf(r)); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// Replicas that are restarted with this release have snapshots of the one before of different entries, and apply the rest of
// its log. Whichever they start from, they must end in the state that the release before has, and go on alike with the first
// configuration of this release.
func TestLogOfTheReleaseBefore(t *testing.T) {
	for n, log := range readReleaseBefore(t) {
		last := log[len(log)-1]
		next := (&harness{}).config(1000)
		next.Queues[0].Name, next.Teams[0].Name = "another name", "another team's name"
		var want []*pipelinev1.Record
		for from := len(log) - 1; from >= 0; from-- {
			s := log[from].restoredFrom(t)
			for _, e := range log[from+1:] {
				s.Apply(e.nowNS, proto.CloneOf(e.command))
			}
			compareRecords(t, n, from, last.after, s.Records())
			s.Apply(last.nowNS, &pipelinev1.Command{Command: &pipelinev1.Command_PutConfig{PutConfig: proto.CloneOf(next)}})
			if want == nil {
				want = s.Records()
			}
			compareRecords(t, n, from, want, s.Records())
		}
	}
}

// compareRecords compares the snapshot of a replica that started from the one after an entry.
func compareRecords(t *testing.T, log, from int, want, got []*pipelinev1.Record) {
	t.Helper()
	if len(want) != len(got) {
		t.Fatalf("log %d from entry %d: %d records, want %d", log, from, len(got), len(want))
	}
	for i := range want {
		if !proto.Equal(want[i], got[i]) {
			t.Fatalf("log %d from entry %d, record %d: %v, want %v", log, from, i, got[i], want[i])
		}
	}
}
