package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
)

func callerCommands() []*command {
	return []*command{submitCommand(), waitCommand(), getCommand(), explainCommand(), cancelCommand()}
}

// jobCommand returns a command on one job, which is named by queue and request or by its number.
func jobCommand(name, synopsis string, run func(ctx context.Context, s *session, ref *apiv1.JobRef) error) *command {
	var queue string
	var id uint64
	return &command{
		name: name, synopsis: synopsis,
		usage: fmt.Sprintf("%s -queue Q REQUEST_ID | %s -job N\n  Example: bulrushwinch %s -queue labels batch-17\n", name, name, name),
		bind: func(f *flag.FlagSet) {
			f.StringVar(&queue, "queue", "", "`queue` of the request")
			f.Uint64Var(&id, "job", 0, "job `number`")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			ref := &apiv1.JobRef{JobId: id, Queue: queue}
			if len(args) == 1 {
				ref.RequestId = args[0]
			}
			if (id == 0) == (queue == "" || len(args) != 1) {
				return usageError(name + " needs -queue and one REQUEST_ID, or -job")
			}
			return run(ctx, s, ref)
		},
	}
}

// waitCallMs is how long one Wait call may take, in milliseconds; progress is printed between
// calls.
const waitCallMs = 2000

// waitTimeout is the default timeout of the command wait.
const waitTimeout = 24 * time.Hour

func waitCommand() *command {
	c := jobCommand("wait", "wait for the end of a job, with progress on standard error",
		func(ctx context.Context, s *session, ref *apiv1.JobRef) error {
			shown := ""
			for {
				resp, err := s.Wait(ctx, &apiv1.WaitRequest{Job: ref, MaxWaitMs: waitCallMs})
				if err != nil {
					return err
				}
				if resp.GetEnded() {
					return printEnd(s, resp.GetJob())
				}
				if line := progress(resp.GetJob()); line != shown {
					fmt.Fprintln(s.err, line)
					shown = line
				}
			}
		})
	c.ownTimeout = waitTimeout
	return c
}

// progress counts the tasks of a job by state.
func progress(j *apiv1.JobView) string {
	count := make(map[apiv1.TaskState]int)
	for _, t := range j.GetTasks() {
		count[t.GetState()]++
	}
	var parts []string
	for state := apiv1.TaskState_TASK_STATE_WAITING; state <= apiv1.TaskState_TASK_STATE_ENDED; state++ {
		if n := count[state]; n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, enumText(state.String(), "TASK_STATE_")))
		}
	}
	return fmt.Sprintf("job %d: %s of %d tasks", j.GetJobId(), strings.Join(parts, ", "), len(j.GetTasks()))
}

// printEnd prints an ended job. It returns an error if the job has no answer.
func printEnd(s *session, j *apiv1.JobView) error {
	if err := printJob(s, j); err != nil {
		return err
	}
	if j.GetOutcome().GetKind() != apiv1.OutcomeKind_OUTCOME_KIND_ANSWERED {
		return outcomeError{outcome: j.GetOutcome(), printed: true}
	}
	return nil
}

func getCommand() *command {
	return jobCommand("get", "show the current state of a job", func(ctx context.Context, s *session, ref *apiv1.JobRef) error {
		resp, err := s.Get(ctx, &apiv1.GetRequest{Job: ref})
		if err != nil {
			return err
		}
		return printJob(s, resp.GetJob())
	})
}

func explainCommand() *command {
	return jobCommand("explain", "explain why a job is waiting, or why it runs where it does", func(ctx context.Context, s *session, ref *apiv1.JobRef) error {
		resp, err := s.Explain(ctx, &apiv1.ExplainRequest{Job: ref})
		if err != nil {
			return err
		}
		return s.print(resp, func() {
			for _, line := range resp.GetSentences() {
				s.printf("%s\n", line)
			}
		})
	})
}

func cancelCommand() *command {
	var queue, from string
	var all bool
	return &command{
		name: "cancel", synopsis: "cancel requests", mutates: true,
		usage: `cancel -queue Q REQUEST_ID... | cancel -queue Q -from FILE | cancel -queue Q -all
  FILE holds one REQUEST_ID a line; "-" reads standard input.
  Example: bulrushwinch cancel -queue labels batch-17 batch-18
`,
		bind: func(f *flag.FlagSet) {
			f.StringVar(&queue, "queue", "", "`queue` of the requests")
			f.StringVar(&from, "from", "", "`file` with one request a line")
			f.BoolVar(&all, "all", false, "cancel all jobs of the team in the queue")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			ids, err := requestIDs(args, from)
			if err != nil {
				return err
			}
			if queue == "" || all == (len(ids) > 0) {
				return usageError("cancel needs -queue and either REQUEST_IDs, -from or -all")
			}
			resp, err := s.Cancel(ctx, &apiv1.CancelRequest{RequestIds: ids, Queue: queue, WholeQueue: all})
			if err != nil {
				return err
			}
			return s.print(resp, func() {
				for _, r := range resp.GetResults() {
					s.printf("%s\t%s\n", r.GetRequestId(), outcomeText(r.GetOutcome()))
				}
			})
		},
	}
}

// requestIDs returns the identities of the requests that the arguments and a file name.
func requestIDs(args []string, from string) ([]string, error) {
	if from == "" {
		return args, nil
	}
	in := os.Stdin
	if from != "-" {
		f, err := os.Open(from)
		if err != nil {
			return nil, usageError(err.Error())
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	for lines := bufio.NewScanner(in); lines.Scan(); {
		if id := strings.TrimSpace(lines.Text()); id != "" {
			args = append(args, id)
		}
	}
	return args, nil
}

func printJob(s *session, j *apiv1.JobView) error {
	return s.print(j, func() {
		s.printf("job %d\tteam %s\trequest %s\t%s\t%s\n", j.GetJobId(), j.GetTeam(), j.GetRequestId(),
			enumText(j.GetState().String(), "JOB_STATE_"), outcomeText(j.GetOutcome()))
		for _, t := range j.GetTasks() {
			where := t.GetUpstream()
			if where == "" {
				where = "-"
			}
			s.printf("  task %d\tattempt %d\t%s\t%s\t%s\n", t.GetIndex(), t.GetAttempt(),
				enumText(t.GetState().String(), "TASK_STATE_"), where, t.GetAnswer().GetBody())
		}
	})
}
