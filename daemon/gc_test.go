package daemon

import (
	"context"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/bulrushwinch/bulrushwinch/control"
)

// idleEngine is an engine that does nothing.
type idleEngine struct{ control.Engine }

func (idleEngine) Lead(uint64) {}
func (idleEngine) Reset()      {}

// TestGarbageCollectionFollowsTheRole expects a replica to collect garbage rarely only while it leads: standing replicas
// held 75 MB of garbage and free pages where they use 25 MB.
func TestGarbageCollectionFollowsTheRole(t *testing.T) {
	t.Setenv("GOGC", "")
	// Setenv restores the variable at the end of the test.
	if err := os.Unsetenv("GOGC"); err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		var percent atomic.Int64
		tuner := newGCTuner()
		tuner.set = func(p int) int { percent.Store(int64(p)); return 0 }
		go func() { _ = tuner.run(ctx, true) }()
		e := tunedEngine{idleEngine{}, tuner}
		expect := func(want int) {
			t.Helper()
			synctest.Wait()
			if got := percent.Load(); got != int64(want) {
				t.Errorf("%d%%, want %d%%", got, want)
			}
		}
		expect(gcPercentStandby)
		e.Reset()
		e.Lead(1)
		expect(gcPercentLeader)
		e.Reset()
		expect(gcPercentStandby)
		e.Lead(2)
		e.Reset()
		expect(gcPercentStandby)
	})
}

// TestGarbageCollectionOfTheEnvironment expects a percentage in the environment to stay in force.
func TestGarbageCollectionOfTheEnvironment(t *testing.T) {
	t.Setenv("GOGC", "75")
	tuner := newGCTuner()
	tuner.set = func(int) int { t.Error("the percentage was set"); return 0 }
	tuner.note(true)
	if err := tuner.run(t.Context(), true); err != nil {
		t.Error(err)
	}
}
