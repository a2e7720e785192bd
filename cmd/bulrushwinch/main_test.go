package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"connectrpc.com/connect"
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1/bulrushwinchv1connect"
	"github.com/pkg/errors"
	"github.com/sebdah/goldie/v2"
)

// fakeCell is a server whose responses depend on what the request names.
type fakeCell struct {
	bulrushwinchv1connect.UnimplementedCallerServiceHandler
	bulrushwinchv1connect.UnimplementedOperatorServiceHandler
	waits int
}

func outcome(kind apiv1.OutcomeKind, reason apiv1.Reason, detail string) *apiv1.Outcome {
	return &apiv1.Outcome{Kind: kind, Reason: reason, Detail: detail}
}

func refusedWith(code connect.Code, o *apiv1.Outcome) error {
	err := connect.NewError(code, errors.New(o.GetDetail()))
	if d, detailErr := connect.NewErrorDetail(o); detailErr == nil {
		err.AddDetail(d)
	}
	return err
}

func (*fakeCell) Submit(_ context.Context, r *connect.Request[apiv1.SubmitRequest]) (*connect.Response[apiv1.SubmitResponse], error) {
	resp := &apiv1.SubmitResponse{Outcome: outcome(apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED, 0, ""), JobId: 17}
	switch r.Msg.GetRequestId() {
	case "too-big":
		resp = &apiv1.SubmitResponse{Outcome: outcome(apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN, apiv1.Reason_REASON_OVER_LIMIT, "a task needs 99 cores")}
	case "unsure":
		resp = &apiv1.SubmitResponse{Outcome: outcome(apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED, apiv1.Reason_REASON_IDENTITY_TOO_OLD, "first sent 30h ago")}
	case "again":
		resp.Resent = true
	}
	return connect.NewResponse(resp), nil
}

func job(state apiv1.JobState, o *apiv1.Outcome, tasks ...*apiv1.TaskView) *apiv1.JobView {
	return &apiv1.JobView{JobId: 17, Team: "montevideo", RequestId: "batch-17", Queue: "labels", State: state, Outcome: o, Tasks: tasks}
}

func (f *fakeCell) Wait(_ context.Context, r *connect.Request[apiv1.WaitRequest]) (*connect.Response[apiv1.WaitResponse], error) {
	f.waits++
	if f.waits%3 != 0 {
		return connect.NewResponse(&apiv1.WaitResponse{Job: job(apiv1.JobState_JOB_STATE_RUNNING, nil,
			&apiv1.TaskView{State: apiv1.TaskState_TASK_STATE_RUNNING, Upstream: "printer-1"},
			&apiv1.TaskView{Index: 1, State: apiv1.TaskState_TASK_STATE_WAITING})}), nil
	}
	end := outcome(apiv1.OutcomeKind_OUTCOME_KIND_ANSWERED, 0, "")
	if r.Msg.GetJob().GetRequestId() == "doomed" {
		end = outcome(apiv1.OutcomeKind_OUTCOME_KIND_FAILED, apiv1.Reason_REASON_ATTEMPTS_EXHAUSTED, "3 attempts failed")
	}
	return connect.NewResponse(&apiv1.WaitResponse{Ended: true, Job: job(apiv1.JobState_JOB_STATE_ENDED, end,
		&apiv1.TaskView{Attempt: 1, State: apiv1.TaskState_TASK_STATE_ENDED, Answer: &apiv1.Answer{Body: []byte("done")}})}), nil
}

func (*fakeCell) Get(_ context.Context, r *connect.Request[apiv1.GetRequest]) (*connect.Response[apiv1.GetResponse], error) {
	if r.Msg.GetJob().GetJobId() == 99 {
		return nil, refusedWith(connect.CodeNotFound, outcome(apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED, apiv1.Reason_REASON_NOT_FOUND, "job 99 is not known"))
	}
	return connect.NewResponse(&apiv1.GetResponse{Job: job(apiv1.JobState_JOB_STATE_WAITING, nil)}), nil
}

func (*fakeCell) Cancel(_ context.Context, r *connect.Request[apiv1.CancelRequest]) (*connect.Response[apiv1.CancelResponse], error) {
	resp := &apiv1.CancelResponse{}
	for _, id := range r.Msg.GetRequestIds() {
		resp.Results = append(resp.Results, &apiv1.CancelResult{RequestId: id, Outcome: outcome(apiv1.OutcomeKind_OUTCOME_KIND_CANCELLED, 0, "")})
	}
	return connect.NewResponse(resp), nil
}

func (*fakeCell) Explain(context.Context, *connect.Request[apiv1.ExplainRequest]) (*connect.Response[apiv1.ExplainResponse], error) {
	return connect.NewResponse(&apiv1.ExplainResponse{Sentences: []string{"Job 17 waits.", "No upstream has 99 cores."}}), nil
}

func (*fakeCell) Change(_ context.Context, r *connect.Request[apiv1.ChangeRequest]) (*connect.Response[apiv1.ChangeResponse], error) {
	if r.Msg.GetBaseRevision() == 3 {
		return connect.NewResponse(&apiv1.ChangeResponse{Revision: 5, WinnerOperationId: "op-5",
			Outcome: outcome(apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN, apiv1.Reason_REASON_REVISION_CONFLICT, "revision 5 of operation op-5 came first")}), nil
	}
	if r.Msg.GetOperationId() == "lost" {
		return nil, connect.NewError(connect.CodeInternal, errors.New("the connection broke"))
	}
	return connect.NewResponse(&apiv1.ChangeResponse{Applied: true, Revision: 6}), nil
}

func (*fakeCell) Status(context.Context, *connect.Request[apiv1.StatusRequest]) (*connect.Response[apiv1.StatusResponse], error) {
	return connect.NewResponse(&apiv1.StatusResponse{Revision: 6, Term: 2, AppliedIndex: 40,
		Teams:          []*apiv1.TeamStatus{{Team: &apiv1.Team{Name: "montevideo", Share: 3}, RunningTasks: 2, Used: &apiv1.Resources{MilliCores: 1500}}},
		Queues:         []*apiv1.Queue{{Name: "labels", Team: "montevideo"}, {Name: "any"}},
		Keys:           []*apiv1.KeyStatus{{KeyId: "desk", Team: "montevideo", Role: apiv1.KeyRole_KEY_ROLE_CALLER, Withdrawn: true}},
		FailureDomains: []*apiv1.FailureDomain{{Name: "prado", State: apiv1.DomainState_DOMAIN_STATE_OUT}},
		Upstreams:      []*apiv1.UpstreamStatus{{Name: "printer-1", State: "active", FailureDomain: "cordon", Rack: "rack-1"}},
		Replicas:       []*apiv1.ReplicaStatus{{ReplicaId: 8231, Role: "voter", FailureDomain: "cordon", Address: "127.0.0.1:7401", Match: 40, Leader: true}},
		Processes:      []*apiv1.ProcessStatus{{Name: "vm1", Revision: 6, Ready: true, Address: "127.0.0.1:7401"}}}), nil
}

func (*fakeCell) Timeline(context.Context, *connect.Request[apiv1.TimelineRequest]) (*connect.Response[apiv1.TimelineResponse], error) {
	return connect.NewResponse(&apiv1.TimelineResponse{Missing: []string{"127.0.0.3:7401"},
		Events: []*apiv1.Event{{WallNs: 1_000_000, Process: "vm1", Kind: "submit", RequestId: "batch-17", Detail: "queue labels"}}}), nil
}

// runTool runs command lines and returns their output and exit codes.
func runTool(t *testing.T, address string, lines ...string) []byte {
	var all strings.Builder
	for _, line := range lines {
		var out, errs strings.Builder
		env := map[string]string{addressVariable: address, keyVariable: "some-key"}
		code := run(t.Context(), strings.Fields(line), terminal{&out, &errs, func(name string) string { return env[name] }})
		fmt.Fprintf(&all, "$ bulrushwinch %s\n%s", line, out.String())
		for _, l := range strings.Split(strings.TrimSuffix(errs.String(), "\n"), "\n") {
			if l != "" {
				fmt.Fprintf(&all, "! %s\n", l)
			}
		}
		fmt.Fprintf(&all, "exit %d\n\n", code)
	}
	return []byte(randomIDPattern.ReplaceAllString(strings.ReplaceAll(all.String(), address, "ADDRESS"), "RANDOM"))
}

// randomIDPattern matches the keys and identities that are generated anew in each run.
var randomIDPattern = regexp.MustCompile(`[A-Z2-7]{26}`)

func TestOutputs(t *testing.T) {
	mux := http.NewServeMux()
	cell := &fakeCell{}
	mux.Handle(bulrushwinchv1connect.NewCallerServiceHandler(cell))
	mux.Handle(bulrushwinchv1connect.NewOperatorServiceHandler(cell))
	server := httptest.NewServer(mux)
	defer server.Close()
	t.Chdir(t.TempDir())
	for name, content := range map[string]string{
		"job.json":  `{"requestId":"batch-18","queue":"labels","job":{"policy":"POLICY_GANG","tasks":[{"copies":2}]}}`,
		"typo.json": `{"requestId":"batch-18","queue":"labels","jobb":{}}`,
		"ids":       "batch-1\n\nbatch-2\n",
	} {
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for name, lines := range map[string][]string{
		"submit": {"submit -queue labels batch-17", "submit -queue labels -json again", "submit -queue labels again", "submit -f job.json",
			"submit -f typo.json", "submit -queue labels too-big", "submit -queue labels -json too-big", "submit -queue labels unsure", "submit batch-17", "submit -cores many"},
		"jobs": {"wait -queue labels batch-17", "wait -queue labels doomed", "wait -json -job 17", "get -job 17", "get -json -job 99", "get -job 17 -queue labels x",
			"explain -job 17", "cancel -queue labels a b", "cancel -queue labels -from ids -json", "cancel -queue labels"},
		"cell": {"status", "status -json", "timeline", "timeline -json"},
		"changes": {"team -operation o1 -share 2 -limit-cores 400 put montevideo", "team delete montevideo", "team rename a b", "queue -operation o2 -team montevideo put labels",
			"key -operation o3 -team montevideo grant desk", "key -operation o4 -team montevideo -out desk.key grant desk", "key -operation o4 -team montevideo -out desk.key grant desk",
			"key -operation o5 withdraw desk", "key -role operator -team montevideo grant desk", "key-hash", "domain -operation o6 -notice 30s prado out", "domain -operation o7 -base 3 prado in",
			"domain prado sideways", "replica -operation o8 transfer 8231", "replica transfer first", "team -operation lost put x"},
		"help": {"help", "help submit", "help key", "launch"},
	} {
		t.Run(name, func(t *testing.T) {
			g := goldie.New(t, goldie.WithFixtureDir(fixtures))
			g.Assert(t, name, runTool(t, strings.TrimPrefix(server.URL, "http://"), lines...))
		})
	}
	if info, err := os.Stat("desk.key"); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("key file: %v %v", info, err)
	}
}

// fixtures is an absolute path, because the test changes its working directory.
var fixtures = func() string {
	dir, err := filepath.Abs("testdata")
	if err != nil {
		panic(err)
	}
	return dir
}()

// TestUnreachable expects that a change without a response has another exit code than a read.
func TestUnreachable(t *testing.T) {
	got := string(runTool(t, "127.0.0.1:1", "team -operation o1 -timeout 300ms put x", "status -timeout 300ms"))
	if !strings.Contains(got, "exit 4") || !strings.Contains(got, "exit 1") {
		t.Error(got)
	}
}
