package faults

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// Numbers of sampled scenarios: pairs of faults, and repetitions of one fault.
const (
	sampledPairs   = 120
	sampledRepeats = 40
)

// TestPairs injects two sampled faults in one run, each at a sampled step, and also single faults
// at two occurrences of one step.
func TestPairs(t *testing.T) {
	red := knownRed(t)
	rng := rand.New(rand.NewPCG(6, 6))
	for i := range sampledPairs {
		first, second := samplePlan(rng), samplePlan(rng)
		if first.fault.losesDisk && second.fault.losesDisk {
			// Three voters survive only one lost disk at a time; the first six columns lose no disk.
			second.fault = columns[rng.IntN(6)]
		}
		runSampled(t, red, scenario{seed: uint64(100_000 + i), faults: []plannedFault{first, second}, mayMiss: true})
	}
	for i := range sampledRepeats {
		row := rng.IntN(7) // the first seven steps are taken often
		first := plannedFault{step: steps[row].step, phase: phase(rng.IntN(int(numPhases))), fault: columns[rng.IntN(len(columns))]}
		again := first
		again.skip = 6 + rng.IntN(20)
		if first.fault.losesDisk || first.fault.name == "cancellation wave" || first.fault.name == "sizes far off" || first.fault.name == "operators race" {
			// The three named faults use fixed request names, so they work only once in a run. The
			// loss of two disks has its own column. The first six columns can be repeated.
			first.fault, again.fault = columns[i%6], columns[i%6]
		}
		runSampled(t, red, scenario{seed: uint64(200_000 + i), faults: []plannedFault{first, again}, mayMiss: true})
	}
}

// samplePlan returns a random fault at a random step, phase and occurrence.
func samplePlan(rng *rand.Rand) plannedFault {
	row := rng.IntN(len(steps))
	return plannedFault{step: steps[row].step, phase: phase(rng.IntN(int(numPhases))), skip: rng.IntN(2*steps[row].stride + 1),
		fault: columns[rng.IntN(len(columns))]}
}

// runSampled runs one scenario as a subtest named by its seed and faults. One fault may prevent the
// step of the other, so such scenarios set mayMiss.
func runSampled(t *testing.T, red map[string]bool, s scenario) {
	name := fmt.Sprint(s.seed)
	for _, f := range s.faults {
		name += "_" + testName(string(f.step)+"-"+f.fault.name)
	}
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		report(t, red, s.run(t))
	})
}
