package pipeline

import (
	"slices"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"google.golang.org/protobuf/proto"
)

// Worker is the newest incarnation of an upstream that is called.
type Worker struct {
	*pipelinev1.Worker
	Capacity Resources
	// Used is what runs on the worker reserve, until their ends are known.
	Used Resources
	Runs map[RunKey]*Run
	// LastEnd is the highest number of an end of this incarnation that is committed.
	LastEnd int64
}

// Free returns the room that is left.
func (w *Worker) Free() Resources { return w.Capacity.Minus(w.Used) }

// HasLabel reports whether the worker has a label; the empty label is on all.
func (w *Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.GetLabels(), label)
}

// RunsOf counts the step's runs on the worker.
func (w *Worker) RunsOf(st *Step) int {
	n := 0
	for _, r := range w.Runs {
		if r.Task.Step == st {
			n++
		}
	}
	return n
}

// workerSeen takes what a worker says of itself. A newer incarnation replaces the older
// one, whose runs are lost unless the command keeps them.
func (s *State) workerSeen(c *pipelinev1.WorkerSeen) {
	said := c.GetWorker()
	w := s.workers[said.GetId()]
	switch {
	case w == nil:
		w = &Worker{Runs: make(map[RunKey]*Run)}
		s.workers[said.GetId()] = w
	case said.GetBorn() < w.GetBorn():
		return
	case said.GetBorn() > w.GetBorn():
		s.rebirth(w, said.GetBorn(), c.GetKept())
	}
	w.Worker, w.Capacity = said, ResourcesFromProto(said.GetCapacity())
	s.observer.WorkerChanged(w)
}

// rebirth moves kept runs to the new incarnation and loses the others.
func (s *State) rebirth(w *Worker, born int64, kept []*pipelinev1.Run) {
	keep := make(map[RunKey]bool)
	for _, r := range kept {
		keep[RunKey{KeyOf(r.GetTask()), r.GetNumber()}] = true
	}
	for _, r := range w.sortedRuns() {
		if keep[r.Key()] {
			r.Born = born
			continue
		}
		s.endRun(r, &pipelinev1.End{Kind: pipelinev1.EndKind_END_KIND_LOST})
	}
	w.LastEnd = 0
}

func (w *Worker) sortedRuns() []*Run {
	out := make([]*Run, 0, len(w.Runs))
	for _, r := range w.Runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *Run) int { return compareRuns(a.Key(), b.Key()) })
	return out
}

func compareRuns(a, b RunKey) int {
	switch {
	case a.Job != b.Job:
		if a.Job < b.Job {
			return -1
		}
		return 1
	case a.Occurrence != b.Occurrence:
		return int(a.Occurrence - b.Occurrence)
	case a.Step != b.Step:
		return int(a.Step - b.Step)
	case a.Index != b.Index:
		return int(a.Index - b.Index)
	}
	return int(a.Number - b.Number)
}

// workerGone forgets an incarnation that has ended.
func (s *State) workerGone(c *pipelinev1.WorkerGone) {
	w := s.workers[c.GetId()]
	if w == nil || w.GetBorn() != c.GetBorn() {
		return
	}
	for _, r := range w.sortedRuns() {
		s.endRun(r, &pipelinev1.End{Kind: pipelinev1.EndKind_END_KIND_LOST})
	}
	delete(s.workers, c.GetId())
	s.observer.WorkerGone(w)
}

// SameWorker reports whether two descriptions of one incarnation are equal.
func SameWorker(a, b *pipelinev1.Worker) bool { return proto.Equal(a, b) }
