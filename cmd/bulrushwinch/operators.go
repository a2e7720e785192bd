package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/resource"
	"github.com/google/subcommands"
)

func operatorCommands() []subcommands.Command {
	return []subcommands.Command{statusCommand(), timelineCommand(), domainCommand()}
}

func statusCommand() *command {
	return &command{name: "status", synopsis: "show the cell", usage: "status\n",
		run: func(ctx context.Context, s *session, _ []string) error {
			resp, err := s.Status(ctx, &apiv1.StatusRequest{})
			if err != nil {
				return err
			}
			return s.print(resp, func() { printStatus(resp) })
		}}
}

func printStatus(r *apiv1.StatusResponse) {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	fmt.Fprintf(w, "revision %d\tterm %d\tapplied %d\n", r.GetRevision(), r.GetTerm(), r.GetAppliedIndex())
	for _, t := range r.GetTeams() {
		fmt.Fprintf(w, "team\t%s\tshare %d\twaiting %d\trunning %d\tuses %s\n", t.GetTeam().GetName(), t.GetTeam().GetShare(),
			t.GetWaitingTasks(), t.GetRunningTasks(), resource.FromProto(t.GetUsed()))
	}
	for _, d := range r.GetFailureDomains() {
		fmt.Fprintf(w, "failure domain\t%s\t%s\n", d.GetName(), enumText(d.GetState().String(), "DOMAIN_STATE_"))
	}
	for _, u := range r.GetUpstreams() {
		fmt.Fprintf(w, "upstream\t%s\t%s\t%s\t%s\tuses %s\n", u.GetName(), u.GetState(), u.GetFailureDomain(), u.GetRack(), resource.FromProto(u.GetUsed()))
	}
	for _, p := range r.GetReplicas() {
		fmt.Fprintf(w, "replica\t%d\t%s\t%s\t%s\tmatch %d\n", p.GetReplicaId(), p.GetRole(), p.GetFailureDomain(), p.GetAddress(), p.GetMatch())
	}
	for _, p := range r.GetProcesses() {
		fmt.Fprintf(w, "process\t%s\trevision %d\tready %t\n", p.GetName(), p.GetRevision(), p.GetReady())
	}
}

func timelineCommand() *command {
	filter := &apiv1.TimelineRequest{}
	var newest int
	return &command{name: "timeline", synopsis: "show events of all processes in causal order",
		usage: "timeline [flags]\n  Example: bulrushwinch timeline -request batch-17\n",
		bind: func(f *flag.FlagSet) {
			f.Uint64Var(&filter.JobId, "job", 0, "only this job `number`")
			f.StringVar(&filter.RequestId, "request", "", "only this `request`")
			f.StringVar(&filter.Upstream, "upstream", "", "only this `upstream`")
			f.StringVar(&filter.Team, "team", "", "only this `team`")
			f.Uint64Var(&filter.Revision, "revision", 0, "only this configuration `revision`")
			f.IntVar(&newest, "newest", 200, "`number` of newest events")
		},
		run: func(ctx context.Context, s *session, _ []string) error {
			filter.MaxEvents = int32(newest)
			resp, err := s.Timeline(ctx, filter)
			if err != nil {
				return err
			}
			return s.print(resp, func() { printTimeline(resp) })
		}}
}

func printTimeline(r *apiv1.TimelineResponse) {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	for _, e := range r.GetEvents() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", time.Unix(0, e.GetWallNs()).UTC().Format("15:04:05.000000"), e.GetProcess(),
			e.GetKind(), e.GetRequestId(), e.GetUpstream(), e.GetDetail())
	}
	for _, m := range r.GetMissing() {
		fmt.Fprintf(w, "no answer from %s\n", m)
	}
}

func domainCommand() *command {
	var operation string
	var base uint64
	var notice time.Duration
	return &command{name: "domain", synopsis: "take a failure domain out or bring it back",
		usage: "domain -operation ID [-base REVISION] [-notice TIME] NAME in|out\n  Example: bulrushwinch domain -operation maint-7 -notice 30s prado out\n",
		bind: func(f *flag.FlagSet) {
			f.StringVar(&operation, "operation", "", "`identity` of this change; a resend gets the first answer")
			f.Uint64Var(&base, "base", 0, "`revision` that the change is based on; 0 means any")
			f.DurationVar(&notice, "notice", 0, "`time` that running tasks have to checkpoint")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			if operation == "" || len(args) != 2 || args[1] != "in" && args[1] != "out" {
				return usageError("domain needs -operation, NAME and in or out")
			}
			st := apiv1.DomainState_DOMAIN_STATE_IN
			if args[1] == "out" {
				st = apiv1.DomainState_DOMAIN_STATE_OUT
			}
			resp, err := s.Change(ctx, &apiv1.ChangeRequest{OperationId: operation, BaseRevision: base,
				Change: &apiv1.ChangeRequest_PutFailureDomain{PutFailureDomain: &apiv1.FailureDomain{
					Name: args[0], State: st, NoticeMs: notice.Milliseconds()}}})
			if err != nil {
				return err
			}
			return printChange(s, resp)
		}}
}

func printChange(s *session, r *apiv1.ChangeResponse) error {
	if !r.GetApplied() {
		return outcomeError{r.GetOutcome()}
	}
	return s.print(r, func() { fmt.Printf("applied as revision %d\n", r.GetRevision()) })
}
