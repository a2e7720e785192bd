package relay

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/dispatch"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// verdicts maps the verdicts of upstreams to those of the inner protocol.
var verdicts = map[dispatch.OrderVerdict]pipelinev1.UpstreamVerdict{
	dispatch.Accepted:         pipelinev1.UpstreamVerdict_UPSTREAM_VERDICT_ACCEPTED,
	dispatch.Fenced:           pipelinev1.UpstreamVerdict_UPSTREAM_VERDICT_FENCED,
	dispatch.StaleRun:         pipelinev1.UpstreamVerdict_UPSTREAM_VERDICT_STALE_RUN,
	dispatch.DeadlinePassed:   pipelinev1.UpstreamVerdict_UPSTREAM_VERDICT_DEADLINE_PASSED,
	dispatch.NoCapacity:       pipelinev1.UpstreamVerdict_UPSTREAM_VERDICT_NO_CAPACITY,
	dispatch.InvalidTicket:    pipelinev1.UpstreamVerdict_UPSTREAM_VERDICT_INVALID_TICKET,
	dispatch.Malformed:        pipelinev1.UpstreamVerdict_UPSTREAM_VERDICT_MALFORMED,
	dispatch.Unhealthy:        pipelinev1.UpstreamVerdict_UPSTREAM_VERDICT_UNHEALTHY,
	dispatch.OtherIncarnation: pipelinev1.UpstreamVerdict_UPSTREAM_VERDICT_OTHER_INCARNATION,
}

// fromVerdicts is the inverse of verdicts.
var fromVerdicts = func() map[pipelinev1.UpstreamVerdict]dispatch.OrderVerdict {
	out := make(map[pipelinev1.UpstreamVerdict]dispatch.OrderVerdict, len(verdicts))
	for v, p := range verdicts {
		out[p] = v
	}
	return out
}()

// startToProto returns the message of a start.
func startToProto(s dispatch.Start) *pipelinev1.UpstreamCall {
	return &pipelinev1.UpstreamCall{Call: &pipelinev1.UpstreamCall_Start{Start: &pipelinev1.StartOrder{Task: s.Task.Proto(), Number: s.Number,
		Token: s.Token, Payload: s.Payload, DeadlineMs: s.DeadlineMS, Checkpoint: s.Checkpoint, Ticket: s.Ticket}}}
}

// startFromProto is the inverse of startToProto.
func startFromProto(m *pipelinev1.StartOrder) dispatch.Start {
	return dispatch.Start{Order: dispatch.Order{Task: pipeline.TaskKeyOf(m.GetTask()), Number: m.GetNumber(), Token: m.GetToken()},
		Payload: m.GetPayload(), DeadlineMS: m.GetDeadlineMs(), Checkpoint: m.GetCheckpoint(), Ticket: m.GetTicket()}
}

// stopToProto returns the message of a stop.
func stopToProto(o dispatch.Order) *pipelinev1.UpstreamCall {
	return &pipelinev1.UpstreamCall{Call: &pipelinev1.UpstreamCall_Stop{Stop: &pipelinev1.StopOrder{Task: o.Task.Proto(), Number: o.Number, Token: o.Token}}}
}

// stopFromProto is the inverse of stopToProto.
func stopFromProto(m *pipelinev1.StopOrder) dispatch.Order {
	return dispatch.Order{Task: pipeline.TaskKeyOf(m.GetTask()), Number: m.GetNumber(), Token: m.GetToken()}
}

// statusToProto returns the message of a status request.
func statusToProto(r dispatch.StatusRequest) *pipelinev1.UpstreamCall {
	return &pipelinev1.UpstreamCall{Call: &pipelinev1.UpstreamCall_Status{Status: &pipelinev1.StatusQuery{Token: r.Token, LastEnd: r.LastEnd,
		DeadlineMs: r.DeadlineMS, WaitMs: r.Wait.Milliseconds()}}}
}

// statusFromProto is the inverse of statusToProto.
func statusFromProto(m *pipelinev1.StatusQuery) dispatch.StatusRequest {
	return dispatch.StatusRequest{Token: m.GetToken(), LastEnd: m.GetLastEnd(), DeadlineMS: m.GetDeadlineMs(),
		Wait: time.Duration(m.GetWaitMs()) * time.Millisecond}
}

// replyToProto returns the message of an answer to a status request.
func replyToProto(r dispatch.StatusReply) *pipelinev1.UpstreamAnswer {
	out := &pipelinev1.UpstreamAnswer{Verdict: verdicts[r.Verdict], ClockMs: r.ClockMS, Born: r.Born}
	for _, x := range r.Running {
		out.Running = append(out.Running, &pipelinev1.RunningRow{Task: x.Run.Proto(), Number: x.Run.Number, Checkpoint: x.Checkpoint,
			Usage: x.Usage, UsageKnown: x.UsageKnown, Percent: x.Percent})
	}
	for _, x := range r.Ended {
		out.Ended = append(out.Ended, &pipelinev1.EndedRow{Listed: x.Number, Task: x.Run.Proto(), Number: x.Run.Number, Kind: x.Kind, Checkpoint: x.Checkpoint})
	}
	return out
}

// replyFromProto is the inverse of replyToProto.
func replyFromProto(m *pipelinev1.UpstreamAnswer) dispatch.StatusReply {
	out := dispatch.StatusReply{Verdict: fromVerdicts[m.GetVerdict()], ClockMS: m.GetClockMs(), Born: m.GetBorn()}
	for _, x := range m.GetRunning() {
		out.Running = append(out.Running, dispatch.RunningTask{Run: pipeline.RunKey{TaskKey: pipeline.TaskKeyOf(x.GetTask()), Number: x.GetNumber()},
			Checkpoint: x.GetCheckpoint(), Usage: x.GetUsage(), UsageKnown: x.GetUsageKnown(), Percent: x.GetPercent()})
	}
	for _, x := range m.GetEnded() {
		out.Ended = append(out.Ended, dispatch.EndedTask{Number: x.GetListed(), Run: pipeline.RunKey{TaskKey: pipeline.TaskKeyOf(x.GetTask()), Number: x.GetNumber()},
			Kind: x.GetKind(), Checkpoint: x.GetCheckpoint()})
	}
	return out
}
