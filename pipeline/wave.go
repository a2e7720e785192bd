package pipeline

import (
	"fmt"
	"maps"
	"slices"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"google.golang.org/protobuf/proto"
)

// maxWaveVMs bounds one wave; the plan's largest service has 17,000 upstreams.
const maxWaveVMs = 20_000

// Wave is an operator's order that VMs have their upkeep.
type Wave struct {
	*pipelinev1.Wave
	// BegunNS is the leader time at which the wave was accepted.
	BegunNS int64
	// Done holds the VMs that have had their upkeep or have left.
	Done map[string]bool
}

// Completed reports whether every VM has had its upkeep.
func (w *Wave) Completed() bool { return len(w.Done) >= len(w.GetVms()) }

// CheckWave returns why a wave is malformed, or an empty text.
func CheckWave(w *pipelinev1.Wave) string {
	seen := make(map[string]bool)
	for _, m := range w.GetVms() {
		if m == "" || seen[m] {
			return fmt.Sprintf("VM %q is empty or named twice", m)
		}
		seen[m] = true
	}
	switch {
	case len(seen) == 0 || len(seen) > maxWaveVMs:
		return fmt.Sprintf("a wave has 1 to %d VMs", maxWaveVMs)
	case w.GetAtOnce() < 1 || w.GetDurationMs() < 0:
		return "a wave takes at least one VM at once, in no negative time"
	}
	return ""
}

// putWave accepts a wave once; the same wave again is acknowledged.
func (s *State) putWave(w *pipelinev1.Wave) *pipelinev1.Reply {
	if problem := CheckWave(w); problem != "" {
		return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_INVALID, Detail: problem}
	}
	if known := s.waves[w.GetNumber()]; known != nil {
		if !proto.Equal(known.Wave, w) {
			return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_CONFLICT, Detail: "another wave has this number"}
		}
		return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OK}
	}
	s.waves[w.GetNumber()] = &Wave{Wave: w, BegunNS: s.nowNS, Done: make(map[string]bool)}
	return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OK}
}

func (s *State) upkeepDone(c *pipelinev1.UpkeepDone) {
	if w := s.waves[c.GetWave()]; w != nil && slices.Contains(w.GetVms(), c.GetVm()) {
		w.Done[c.GetVm()] = true
	}
}

// Wave returns a wave, or nil.
func (s *State) Wave(number int64) *Wave { return s.waves[number] }

// OpenWaves returns the waves that are not completed, oldest number first.
func (s *State) OpenWaves() []*Wave {
	var out []*Wave
	for _, n := range slices.Sorted(maps.Keys(s.waves)) {
		if !s.waves[n].Completed() {
			out = append(out, s.waves[n])
		}
	}
	return out
}

func (s *State) waveRecords() []*pipelinev1.Record {
	var out []*pipelinev1.Record
	for _, n := range slices.Sorted(maps.Keys(s.waves)) {
		w := s.waves[n]
		out = append(out, &pipelinev1.Record{Record: &pipelinev1.Record_Wave{Wave: &pipelinev1.WaveRecord{
			Wave: w.Wave, BegunNs: w.BegunNS, Done: slices.Sorted(maps.Keys(w.Done))}}})
	}
	return out
}

func (s *State) restoreWave(r *pipelinev1.WaveRecord) {
	w := &Wave{Wave: r.GetWave(), BegunNS: r.GetBegunNs(), Done: make(map[string]bool)}
	for _, m := range r.GetDone() {
		w.Done[m] = true
	}
	s.waves[w.GetNumber()] = w
}
