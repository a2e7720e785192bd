package dispatch

import (
	"testing"
	"time"
)

// An upstream that comes back under its identity after its VM's maintenance gets work while the wave goes on.
func TestUpstreamThatIsBackGetsWork(t *testing.T) {
	h, f := newWaveHarness(t, 2)
	f.keepsIdentity = true
	st := spreadStep(2, 1)
	h.submit(jobID(1), st)
	h.run(2 * time.Second)
	h.putWave(1, "m1", "m2")
	for range 20 {
		h.run(time.Second)
		f.advance()
		for id, x := range h.upstreams {
			if x.runTime = time.Hour; !x.partitioned {
				h.sendHeartbeat(id)
			}
		}
	}
	if running := len(h.upstreams["w1"].running) + len(h.upstreams["w2"].running); !h.waveCompleted() || running != 2 {
		t.Errorf("completed: %t, %d tasks run", h.waveCompleted(), running)
	}
}
