package daemon

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/bulrushwinch/bulrushwinch/config"
	"github.com/bulrushwinch/bulrushwinch/control"
)

// Garbage is collected when the heap has grown by these percentages since the last collection. A process that does not
// lead allocates little, so that frequent collections cost it little time; a leader's processor binds in bursts.
const (
	gcPercentStandby = 40
	gcPercentLeader  = 200
	gcPercentEntry   = 50
)

// gcTuner adapts the garbage collector to the role of the process. A percentage in the environment (GOGC) takes
// precedence. It is safe for concurrent use.
type gcTuner struct {
	// leading holds the latest role that was not applied yet.
	leading chan bool
	// set sets the percentage.
	set func(percent int) int
}

func newGCTuner() *gcTuner { return &gcTuner{leading: make(chan bool, 1), set: debug.SetGCPercent} }

// gcPercent returns the percentage of a process that has the replica role or not, and leads or not.
func gcPercent(replica, leading bool) int {
	switch {
	case leading:
		return gcPercentLeader
	case replica:
		return gcPercentStandby
	}
	return gcPercentEntry
}

// note records that this replica leads, or does not. It never blocks: the percentage is set elsewhere, since setting it
// waits for a collection under way.
func (t *gcTuner) note(leading bool) {
	select {
	case <-t.leading:
	default:
	}
	select {
	case t.leading <- leading:
	default:
	}
}

// run sets the percentages until ctx ends.
func (t *gcTuner) run(ctx context.Context, replica bool) error {
	if _, ok := os.LookupEnv("GOGC"); ok {
		return nil
	}
	t.set(gcPercent(replica, false))
	for applied := false; ; {
		select {
		case <-ctx.Done():
			return nil
		case leading := <-t.leading:
			if leading != applied {
				t.set(gcPercent(replica, leading))
				applied = leading
			}
		}
	}
}

// tunedEngine tells the tuner when a leadership begins and ends.
type tunedEngine struct {
	control.Engine
	tuner *gcTuner
}

// Lead implements control.Engine.
func (e tunedEngine) Lead(term uint64) {
	e.tuner.note(true)
	e.Engine.Lead(term)
}

// Reset implements control.Engine.
func (e tunedEngine) Reset() {
	e.tuner.note(false)
	e.Engine.Reset()
}

// tuneGC adapts the garbage collector until ctx ends.
func (c *PushDaemon) tuneGC(ctx context.Context) error {
	return c.gc.run(ctx, c.pushSettings.HasRole(config.RoleReplica))
}
