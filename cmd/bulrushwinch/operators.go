package main

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/resource"
)

func operatorCommands() []*command {
	return []*command{statusCommand(), timelineCommand(), teamCommand(), queueCommand(), keyCommand(), keyHashCommand(),
		domainCommand(), replicaCommand(), traceCommand(), whereCommand()}
}

func statusCommand() *command {
	return &command{name: "status", synopsis: "show the cell, with the revision in force at every process",
		usage: "status\n  Example: bulrushwinch status -json\n",
		run: func(ctx context.Context, s *session, args []string) error {
			if len(args) > 0 {
				return usageError("status takes no arguments")
			}
			resp, err := s.Status(ctx, &apiv1.StatusRequest{})
			if err != nil {
				return err
			}
			return s.print(resp, func() { s.printStatus(resp) })
		}}
}

// table returns a writer that aligns columns; it must be flushed.
func (s *session) table() *tabwriter.Writer { return tabwriter.NewWriter(s.out, 0, 8, 2, ' ', 0) }

func (s *session) printStatus(r *apiv1.StatusResponse) {
	w := s.table()
	defer func() { _ = w.Flush() }()
	fmt.Fprintf(w, "revision %d\tterm %d\tapplied %d\n", r.GetRevision(), r.GetTerm(), r.GetAppliedIndex())
	for _, t := range r.GetTeams() {
		fmt.Fprintf(w, "team\t%s\tshare %d\twaiting %d\trunning %d\tuses %s\n", t.GetTeam().GetName(), t.GetTeam().GetShare(),
			t.GetWaitingTasks(), t.GetRunningTasks(), resource.FromProto(t.GetUsed()))
	}
	for _, q := range r.GetQueues() {
		fmt.Fprintf(w, "queue\t%s\tteam %s\topen %t\n", q.GetName(), orDash(q.GetTeam()), q.GetOpen())
	}
	for _, k := range r.GetKeys() {
		state := "in force"
		if k.GetWithdrawn() {
			state = "withdrawn"
		}
		fmt.Fprintf(w, "key\t%s\tteam %s\t%s\t%s\n", k.GetKeyId(), orDash(k.GetTeam()), enumText(k.GetRole().String(), "KEY_ROLE_"), state)
	}
	for _, d := range r.GetFailureDomains() {
		fmt.Fprintf(w, "failure domain\t%s\t%s\n", d.GetName(), enumText(d.GetState().String(), "DOMAIN_STATE_"))
	}
	for _, u := range r.GetUpstreams() {
		fmt.Fprintf(w, "upstream\t%s\t%s\t%s\t%s\tuses %s\n", u.GetName(), u.GetState(), u.GetFailureDomain(), u.GetRack(), resource.FromProto(u.GetUsed()))
	}
	for _, p := range r.GetReplicas() {
		leads := ""
		if p.GetLeader() {
			leads = "leader"
		}
		fmt.Fprintf(w, "replica\t%d\t%s\t%s\t%s\tmatch %d\t%s\n", p.GetReplicaId(), p.GetRole(), p.GetFailureDomain(), p.GetAddress(), p.GetMatch(), leads)
	}
	for _, p := range r.GetProcesses() {
		fmt.Fprintf(w, "process\t%s\trevision %d\tready %t\t%s\n", p.GetName(), p.GetRevision(), p.GetReady(), p.GetAddress())
	}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
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
			return s.print(resp, func() { s.printTimeline(resp) })
		}}
}

func (s *session) printTimeline(r *apiv1.TimelineResponse) {
	w := s.table()
	defer func() { _ = w.Flush() }()
	for _, e := range r.GetEvents() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", time.Unix(0, e.GetWallNs()).UTC().Format("15:04:05.000000"), e.GetProcess(),
			e.GetKind(), e.GetRequestId(), e.GetUpstream(), e.GetDetail())
	}
	for _, m := range r.GetMissing() {
		fmt.Fprintf(w, "no answer from %s\n", m)
	}
}
