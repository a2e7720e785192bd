package state

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/pkg/errors"
)

// TestCaptureWhileApplying guards against captures that contain later changes. A capture is
// encoded in another goroutine while jobs end, are submitted and are removed by Sweep. A second
// capture is made before the first is finished.
func TestCaptureWhileApplying(t *testing.T) {
	h := newHarness(t)
	for i := range 3 * jobsPerPage {
		h.batch(fmt.Sprint("job-", i))
	}
	want := h.s.Snapshot()
	write := h.s.Capture()
	pr, pw := io.Pipe()
	go func() { pw.CloseWithError(write(pw)) }()
	var got bytes.Buffer
	for i := range 3 * jobsPerPage {
		h.cancel(fmt.Sprint("job-", i))
		h.submitAs("caller-a", request(fmt.Sprint("later-", i), batchPolicy, 1, true))
		if i == jobsPerPage {
			h.now = h.now.Add(h.s.settings.Retention)
			h.sweep()
			second, state := h.s.Capture(), h.s.Snapshot()
			var b bytes.Buffer
			if err := second(&b); err != nil || !bytes.Equal(b.Bytes(), state) {
				t.Errorf("the second capture differs from the snapshot, or failed: %v", err)
			}
		}
		if _, err := io.CopyN(&got, pr, 64); err != nil && !errors.Is(err, io.EOF) {
			t.Fatal(err)
		}
	}
	if _, err := io.Copy(&got, pr); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Bytes(), want) {
		t.Error("the capture contains later changes")
	}
	h.checkCounters()
}

// TestDamagedSnapshot truncates a snapshot at every length and alters each of its bytes. Restore
// must leave the state empty if it returns an error, and must never panic.
func TestDamagedSnapshot(t *testing.T) {
	h := newHarness(t)
	h.report(h.run(h.batch("done")), succeeded)
	h.run(h.batch("live"))
	data := h.s.Snapshot()
	for i := range data {
		s := New(Settings{})
		if err := s.Restore(bytes.NewReader(data[:i])); err != nil && len(s.teams)+s.jobs.count != 0 {
			t.Fatalf("snapshot truncated to %d bytes: Restore failed but left state behind", i)
		}
		altered := bytes.Clone(data)
		altered[i] ^= 0x15
		_ = s.Restore(bytes.NewReader(altered))
	}
}

// TestFailedCaptureDoesNotBlockTheNext guards against a failed write that leaves its capture
// unfinished, which would affect the captures after it.
func TestFailedCaptureDoesNotBlockTheNext(t *testing.T) {
	h := newHarness(t)
	h.batch("job")
	if err := h.s.Capture()(failingWriter{}); err == nil {
		t.Fatal("the error of the writer was not returned")
	}
	h.cancel("job")
	h.now = h.now.Add(time.Second)
	want := h.s.Snapshot()
	var b bytes.Buffer
	if err := h.s.Capture()(&b); err != nil || !bytes.Equal(b.Bytes(), want) {
		t.Errorf("the capture after a failed one differs from the snapshot, or failed: %v", err)
	}
	if h.s.Job(1).Outcome.GetKind() != apiv1.OutcomeKind_OUTCOME_KIND_CANCELLED {
		t.Error("the job was not cancelled")
	}
}

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("disk full") }
