// Package placement decides, for the leader, which waiting work runs where, which work gives way to
// more urgent work, and which questions are put to the permit service. A round of decisions is a
// function of a Cell, the leader's view of the replicated state and of the upstreams: it does no
// input or output, and reads no clock. The leader carries a Decision out, and package pipeline
// checks each placement again when it is applied.
//
// Load patterns and the files that answer them:
//
//   - Jobs of several queues and teams wait: demand.go orders them, urgency.go says which of them can
//     still be in time.
//   - A burst of small jobs meets a full cell: headroom.go keeps capacity free for it, preempt.go takes
//     it from work that can resume, and choose.go keeps a step on few upstreams.
//   - Gangs wait in a cell that smaller work keeps full: gang.go asks for their tickets, plan.go plans their
//     start, and reserve.go keeps upstreams for it.
//   - A team waits at its limit: limit.go says which of its steps ask for tickets, and what is kept within the
//     limit for its gangs; preempt.go stops its less urgent work once that lets a step start.
//   - More steps wait than the permit service can answer for: ask.go bounds the questions, prefetch.go
//     asks for the next step while the previous one runs.
//   - More work waits than can be done in time: overload.go finds it, value.go orders steps by the value that waiting
//     would lose, estimate.go predicts run times for it, and question_plan.go asks about upstreams that free soon.
//   - One team sends many times its usual, all callers return at once, or a job can't be done: admit.go
//     says what is not taken, and when its caller should return.
//   - Upstreams that fail, stall or slow down: learn.go.
//   - Work that is tied to a rack: locality.go.
package placement
