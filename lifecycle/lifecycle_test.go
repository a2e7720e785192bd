package lifecycle

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"
)

func TestEndedTasksStayEnded(t *testing.T) {
	for _, trigger := range []TaskTrigger{TaskPlace, TaskStarted, TaskStop, TaskFinish, TaskRequeue, TaskWithdraw} {
		s := TaskEnded
		if err := Task.Fire(&s, trigger); !errors.Is(err, ErrNotPermitted) || s != TaskEnded {
			t.Errorf("%s: state %s, error %v", trigger, s, err)
		}
	}
}

func TestTaskReachesEndFromEveryState(t *testing.T) {
	for _, s := range []TaskState{TaskWaiting, TaskPlaced, TaskRunning, TaskStopping} {
		if !Task.Permits(s, TaskFinish) {
			t.Errorf("%s does not permit the end", s)
		}
	}
	s := TaskWaiting
	for _, trigger := range []TaskTrigger{TaskPlace, TaskStarted, TaskStop, TaskRequeue, TaskPlace, TaskWithdraw} {
		if err := Task.Fire(&s, trigger); err != nil {
			t.Fatal(err)
		}
	}
	if s != TaskWaiting {
		t.Errorf("state %s", s)
	}
}

// BenchmarkCompiled and BenchmarkStateless compare a transition in the compiled table with one
// in the library's state machine on external storage.
func BenchmarkCompiled(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		s := TaskWaiting
		if err := Task.Fire(&s, TaskPlace); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkStateless(b *testing.B) {
	current := any(TaskWaiting)
	m := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (any, error) { return current, nil },
		func(_ context.Context, next any) error { current = next; return nil },
		stateless.FiringImmediate)
	m.Configure(TaskWaiting).Permit(TaskPlace, TaskPlaced)
	m.Configure(TaskPlaced)
	b.ReportAllocs()
	for b.Loop() {
		current = TaskWaiting
		if err := m.Fire(TaskPlace); err != nil {
			b.Fatal(err)
		}
	}
}

func TestEndedPipelinesStayEnded(t *testing.T) {
	for _, from := range []PipelineState{PipelineCompleted, PipelineFailed, PipelineCancelled} {
		for _, trigger := range []PipelineTrigger{PipelinePlace, PipelineComplete, PipelineFail, PipelineCancel} {
			if Pipeline.Permits(from, trigger) {
				t.Errorf("%s permits %s", from, trigger)
			}
		}
	}
}

func TestSessionOpensOnlyWhenItIsSettled(t *testing.T) {
	for _, from := range []SessionState{SessionOpening, SessionSilent} {
		for _, trigger := range []SessionTrigger{SessionDoubt, SessionLose} {
			if to, err := Session.Next(from, trigger); err != nil || to == SessionOpen {
				t.Errorf("%s on %s leads to %s, error %v", trigger, from, to, err)
			}
		}
	}
}
