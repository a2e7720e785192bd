package main

import (
	"context"
	"crypto/rand"
	"flag"
	"os"
	"strings"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"google.golang.org/protobuf/encoding/protojson"
)

var policies = map[string]apiv1.Policy{
	"batch": apiv1.Policy_POLICY_BATCH, "service": apiv1.Policy_POLICY_SERVICE, "gang": apiv1.Policy_POLICY_GANG,
}

// noBreakSpace is a character that protojson puts into some of its errors.
const noBreakSpace = "\u00a0"

const mebibyte = 1 << 20

// submitFlags are the flags of submit. They describe one job.
type submitFlags struct {
	file, queue, policy, class, payload string
	tasks                               int
	cores                               float64
	memoryMiB, accelerators             int64
	urgent, once                        bool
	startWithin, expected               time.Duration
	firstSent                           int64
}

func submitCommand() *command {
	var v submitFlags
	return &command{
		name: "submit", synopsis: "submit a job", mutates: true,
		usage: `submit -queue Q [flags] REQUEST_ID | submit -f FILE
  Submits a job. The same REQUEST_ID may be sent again at any time within the
  retention time: it returns the first outcome. FILE holds a SubmitRequest as JSON.
  Example: bulrushwinch submit -queue labels -tasks 4 -payload spines batch-17
  Example: bulrushwinch submit -f job.json
`,
		bind: v.bind,
		run: func(ctx context.Context, s *session, args []string) error {
			req, err := v.request(args)
			if err != nil {
				return err
			}
			resp, err := s.Submit(ctx, req)
			if err != nil {
				return err
			}
			if resp.GetOutcome().GetKind() != apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED {
				return outcomeError{outcome: resp.GetOutcome()}
			}
			return s.print(resp, func() {
				again := ""
				if resp.GetResent() {
					again = " by an earlier send"
				}
				s.printf("accepted as job %d%s\n", resp.GetJobId(), again)
			})
		},
	}
}

func (v *submitFlags) bind(f *flag.FlagSet) {
	f.StringVar(&v.file, "f", "", "JSON `file` with the whole request; unknown fields are refused")
	f.StringVar(&v.queue, "queue", "", "`queue` for the job")
	f.StringVar(&v.policy, "policy", "batch", "batch, service or gang")
	f.StringVar(&v.class, "class", "", "`class` of similar jobs")
	f.StringVar(&v.payload, "payload", "", "`text` passed to each task")
	f.IntVar(&v.tasks, "tasks", 1, "`number` of tasks")
	f.Float64Var(&v.cores, "cores", 1, "cores per task")
	f.Int64Var(&v.memoryMiB, "memory", 256, "memory per task in `MiB`")
	f.Int64Var(&v.accelerators, "accelerators", 0, "accelerators per task")
	f.BoolVar(&v.urgent, "urgent", false, "a person is waiting for the job")
	f.BoolVar(&v.once, "once", false, "no task may run again after it may have started, unless it stopped with a checkpoint")
	f.DurationVar(&v.startWithin, "start-within", 0, "`time` within which the job must start; 0 means no limit")
	f.DurationVar(&v.expected, "expected", 0, "expected run `time` of a task")
	f.Int64Var(&v.firstSent, "first-sent", 0, "Unix `milliseconds` of the first send, for a resend of this request")
}

func (v *submitFlags) request(args []string) (*apiv1.SubmitRequest, error) {
	if v.file != "" {
		if len(args) > 0 || v.queue != "" {
			return nil, usageError("submit takes either -f or -queue and REQUEST_ID")
		}
		return readRequest(v.file)
	}
	if len(args) != 1 || v.queue == "" || policies[v.policy] == 0 {
		return nil, usageError("submit needs -queue, a valid -policy and one REQUEST_ID")
	}
	spec := &apiv1.TaskSpec{Copies: int32(v.tasks), Payload: []byte(v.payload), Resources: &apiv1.Resources{
		MilliCores: int64(v.cores * 1000), MemoryBytes: v.memoryMiB * mebibyte, Accelerators: v.accelerators}}
	return &apiv1.SubmitRequest{RequestId: args[0], Queue: v.queue, StartWithinMs: v.startWithin.Milliseconds(), FirstSentUnixMs: v.firstSent,
		Job: &apiv1.JobSpec{Class: v.class, Policy: policies[v.policy], Tasks: []*apiv1.TaskSpec{spec}, Repeatable: !v.once,
			Urgent: v.urgent, ExpectedMs: v.expected.Milliseconds()}}, nil
}

func readRequest(path string) (*apiv1.SubmitRequest, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError(err.Error())
	}
	req := &apiv1.SubmitRequest{}
	if err := protojson.Unmarshal(data, req); err != nil {
		return nil, usageError(path + ": " + strings.ReplaceAll(err.Error(), noBreakSpace, " "))
	}
	return req, nil
}

// randomID returns a random text for identities and keys.
func randomID() string { return rand.Text() }
