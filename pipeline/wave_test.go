package pipeline

import (
	"testing"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

func TestWaves(t *testing.T) {
	h := newHarness(t)
	put := func(v *pipelinev1.Wave) pipelinev1.Verdict {
		return h.apply(&pipelinev1.Command{Command: &pipelinev1.Command_PutWave{PutWave: v}}).Reply.GetVerdict()
	}
	wave := &pipelinev1.Wave{Number: 1, Vms: []string{"m1", "m2"}, AtOnce: 1}
	other := &pipelinev1.Wave{Number: 1, Vms: []string{"m3"}, AtOnce: 1}
	for _, test := range []struct {
		wave *pipelinev1.Wave
		want pipelinev1.Verdict
	}{
		{wave, pipelinev1.Verdict_VERDICT_OK}, {wave, pipelinev1.Verdict_VERDICT_OK}, {other, pipelinev1.Verdict_VERDICT_CONFLICT},
		{&pipelinev1.Wave{Number: 2, AtOnce: 1}, pipelinev1.Verdict_VERDICT_INVALID},
		{&pipelinev1.Wave{Number: 2, Vms: []string{"m1", "m1"}, AtOnce: 1}, pipelinev1.Verdict_VERDICT_INVALID},
		{&pipelinev1.Wave{Number: 2, Vms: []string{"m1"}}, pipelinev1.Verdict_VERDICT_INVALID},
	} {
		if got := put(test.wave); got != test.want {
			t.Errorf("%v: %v, want %v", test.wave, got, test.want)
		}
	}
	for i, m := range []string{"m1", "m9", "m1", "m2"} {
		h.apply(&pipelinev1.Command{Command: &pipelinev1.Command_UpkeepDone{UpkeepDone: &pipelinev1.UpkeepDone{Wave: 1, Vm: m}}})
		if got := h.Wave(1).Completed(); got != (i == 3) {
			t.Errorf("completed %t after %d UpkeepDone commands", got, i+1)
		}
	}
}
