package pipeline

import (
	"fmt"
	"maps"
	"slices"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"google.golang.org/protobuf/proto"
)

// maxWaveVMs is the maximum number of VMs in one wave; the largest planned service has 17,000
// upstreams.
const maxWaveVMs = 20_000

// Wave is a rolling maintenance operation: an operator's request for the maintenance of a set of VMs,
// a limited number of them at a time.
type Wave struct {
	*pipelinev1.Wave
	// BegunNS is the leader time at which the wave was accepted, in Unix nanoseconds.
	BegunNS int64
	// Done holds the VMs that need no further maintenance order: their maintenance has begun, or they
	// are not known to the VM service any more.
	Done map[string]bool
}

// Completed reports whether no VM needs a further maintenance order. The last VMs may still be down.
func (w *Wave) Completed() bool { return len(w.Done) >= len(w.GetVms()) }

// CheckWave returns why a wave is malformed, or an empty string if it is well-formed.
func CheckWave(w *pipelinev1.Wave) string {
	seen := make(map[string]bool)
	for _, vm := range w.GetVms() {
		if vm == "" || seen[vm] {
			return fmt.Sprintf("VM %q is empty or named twice", vm)
		}
		seen[vm] = true
	}
	switch {
	case len(seen) == 0 || len(seen) > maxWaveVMs:
		return fmt.Sprintf("a wave has 1 to %d VMs", maxWaveVMs)
	case w.GetAtOnce() < 1 || w.GetDurationMs() < 0:
		return "a wave takes at least one VM at once, in no negative time"
	}
	return ""
}

// putWave accepts a wave. It is idempotent: the same wave again is acknowledged, another one with
// the same number is a conflict.
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

// maintenanceDone records that a VM of a wave needs no further maintenance order; see Wave.Done.
func (s *State) maintenanceDone(c *pipelinev1.UpkeepDone) {
	if w := s.waves[c.GetWave()]; w != nil && slices.Contains(w.GetVms(), c.GetVm()) {
		w.Done[c.GetVm()] = true
	}
}

// Wave returns the wave with the given number, or nil.
func (s *State) Wave(number int64) *Wave { return s.waves[number] }

// OpenWaves returns the waves that are not completed, in ascending order of their numbers.
func (s *State) OpenWaves() []*Wave {
	var out []*Wave
	for _, n := range slices.Sorted(maps.Keys(s.waves)) {
		if !s.waves[n].Completed() {
			out = append(out, s.waves[n])
		}
	}
	return out
}

// waveRecords encodes all waves as snapshot records.
func (s *State) waveRecords() []*pipelinev1.Record {
	var out []*pipelinev1.Record
	for _, n := range slices.Sorted(maps.Keys(s.waves)) {
		w := s.waves[n]
		out = append(out, &pipelinev1.Record{Record: &pipelinev1.Record_Wave{Wave: &pipelinev1.WaveRecord{
			Wave: w.Wave, BegunNs: w.BegunNS, Done: slices.Sorted(maps.Keys(w.Done))}}})
	}
	return out
}

// restoreWave adds a wave from a snapshot.
func (s *State) restoreWave(r *pipelinev1.WaveRecord) {
	w := &Wave{Wave: r.GetWave(), BegunNS: r.GetBegunNs(), Done: make(map[string]bool)}
	for _, vm := range r.GetDone() {
		w.Done[vm] = true
	}
	s.waves[w.GetNumber()] = w
}
