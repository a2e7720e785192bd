package main

import (
	"context"
	"flag"
	"fmt"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/google/subcommands"
)

func callerCommands() []subcommands.Command {
	return []subcommands.Command{submitCommand(), waitCommand(), getCommand(), explainCommand(), cancelCommand()}
}

var policies = map[string]apiv1.Policy{
	"batch": apiv1.Policy_POLICY_BATCH, "service": apiv1.Policy_POLICY_SERVICE, "gang": apiv1.Policy_POLICY_GANG,
}

func submitCommand() *command {
	var (
		queue, policy, class, payload string
		tasks                         int
		cores                         float64
		memoryMiB, accelerators       int64
		urgent, once                  bool
	)
	return &command{
		name: "submit", synopsis: "hand in a job",
		usage: "submit -queue Q [flags] REQUEST_ID\n  Example: bulrushwinch submit -queue labels -tasks 4 -payload spines batch-17\n",
		bind: func(f *flag.FlagSet) {
			f.StringVar(&queue, "queue", "", "`queue` that takes the job")
			f.StringVar(&policy, "policy", "batch", "batch, service or gang")
			f.StringVar(&class, "class", "", "`class` of alike jobs")
			f.StringVar(&payload, "payload", "", "`text` handed to each task")
			f.IntVar(&tasks, "tasks", 1, "`number` of tasks")
			f.Float64Var(&cores, "cores", 1, "cores per task")
			f.Int64Var(&memoryMiB, "memory", 256, "memory per task in `MiB`")
			f.Int64Var(&accelerators, "accelerators", 0, "accelerators per task")
			f.BoolVar(&urgent, "urgent", false, "a person waits for it")
			f.BoolVar(&once, "once", false, "the job may not be repeated")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			if len(args) != 1 || queue == "" || policies[policy] == 0 {
				return usageError("submit needs -queue, a valid -policy and one REQUEST_ID")
			}
			spec := &apiv1.TaskSpec{Copies: int32(tasks), Payload: []byte(payload), Resources: &apiv1.Resources{
				MilliCores: int64(cores * 1000), MemoryBytes: memoryMiB << 20, Accelerators: accelerators}}
			resp, err := s.Submit(ctx, &apiv1.SubmitRequest{RequestId: args[0], Queue: queue, Job: &apiv1.JobSpec{
				Class: class, Policy: policies[policy], Tasks: []*apiv1.TaskSpec{spec}, Repeatable: !once, Urgent: urgent}})
			if err != nil {
				return err
			}
			if resp.GetOutcome().GetKind() != apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED {
				return outcomeError{resp.GetOutcome()}
			}
			return s.print(resp, func() { fmt.Printf("accepted as job %d\n", resp.GetJobId()) })
		},
	}
}

// jobCommand returns a command on one job, named by queue and request.
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

func waitCommand() *command {
	return jobCommand("wait", "wait for the end of a job", func(ctx context.Context, s *session, ref *apiv1.JobRef) error {
		for {
			resp, err := s.Wait(ctx, &apiv1.WaitRequest{Job: ref, MaxWaitMs: 5000})
			if err != nil {
				return err
			}
			if resp.GetEnded() {
				return printJob(s, resp.GetJob())
			}
		}
	})
}

func getCommand() *command {
	return jobCommand("get", "show a job as it stands", func(ctx context.Context, s *session, ref *apiv1.JobRef) error {
		resp, err := s.Get(ctx, &apiv1.GetRequest{Job: ref})
		if err != nil {
			return err
		}
		return printJob(s, resp.GetJob())
	})
}

func explainCommand() *command {
	return jobCommand("explain", "say why a job waits or runs where it does", func(ctx context.Context, s *session, ref *apiv1.JobRef) error {
		resp, err := s.Explain(ctx, &apiv1.ExplainRequest{Job: ref})
		if err != nil {
			return err
		}
		return s.print(resp, func() {
			for _, line := range resp.GetSentences() {
				fmt.Println(line)
			}
		})
	})
}

func cancelCommand() *command {
	var queue string
	var all bool
	return &command{
		name: "cancel", synopsis: "cancel requests",
		usage: "cancel -queue Q REQUEST_ID... | cancel -queue Q -all\n  Example: bulrushwinch cancel -queue labels batch-17 batch-18\n",
		bind: func(f *flag.FlagSet) {
			f.StringVar(&queue, "queue", "", "`queue` of the requests")
			f.BoolVar(&all, "all", false, "cancel all jobs of the team in the queue")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			if queue == "" || all == (len(args) > 0) {
				return usageError("cancel needs -queue and either REQUEST_IDs or -all")
			}
			resp, err := s.Cancel(ctx, &apiv1.CancelRequest{RequestIds: args, Queue: queue, WholeQueue: all})
			if err != nil {
				return err
			}
			return s.print(resp, func() {
				for _, r := range resp.GetResults() {
					fmt.Printf("%s\t%s\n", r.GetRequestId(), outcomeText(r.GetOutcome()))
				}
			})
		},
	}
}

func printJob(s *session, j *apiv1.JobView) error {
	return s.print(j, func() {
		fmt.Printf("job %d\tteam %s\trequest %s\t%s\t%s\n", j.GetJobId(), j.GetTeam(), j.GetRequestId(),
			enumText(j.GetState().String(), "JOB_STATE_"), outcomeText(j.GetOutcome()))
		for _, t := range j.GetTasks() {
			fmt.Printf("  task %d\tattempt %d\t%s\t%s\t%s\n", t.GetIndex(), t.GetAttempt(),
				enumText(t.GetState().String(), "TASK_STATE_"), t.GetUpstream(), t.GetAnswer().GetBody())
		}
	})
}
