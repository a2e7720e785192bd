package dispatch

import (
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/bulrushwinch/bulrushwinch/placement"
)

const (
	// pollHold is how long a caller's poll is held while there is no question for it.
	pollHold = 1500 * time.Millisecond
	// callerTimeout is how long after its last poll a process counts as a caller.
	callerTimeout = 3 * time.Second
	// ticketMargin is subtracted from the validity of a ticket to cover the transfer of the order
	// to the upstream.
	ticketMargin = 250 * time.Millisecond
	// questionSlack plus three times a question's cost is the time after which the question
	// counts as unanswered.
	questionSlack = time.Second
)

// caller is a process that forwards questions to the permit service.
type caller struct {
	process  string
	lastSeen time.Duration
	// pendingPoll answers the caller's held poll; nil if there is none. The poll is held until
	// pollUntil.
	pendingPoll replyFunc
	pollUntil   time.Duration
	// current is the question that the caller is working on, or nil.
	current *placement.Question
	// canAsk is set when the process can reach a permit service.
	canAsk bool
}

// permitScheduler distributes the questions over all processes, because the permit service
// handles one call at a time from each of them.
type permitScheduler struct {
	nextID  uint64
	waiting []*placement.Question
	callers []*caller
}

// fail answers all held polls with an error and discards all questions.
func (p *permitScheduler) fail(err error) {
	for _, c := range p.callers {
		if c.pendingPoll != nil {
			c.pendingPoll(nil, err)
		}
	}
	*p = permitScheduler{nextID: p.nextID}
}

// caller returns the caller for a process, adding it if it is new.
func (p *permitScheduler) caller(process string) *caller {
	for _, c := range p.callers {
		if c.process == process {
			return c
		}
	}
	c := &caller{process: process}
	p.callers = append(p.callers, c)
	return c
}

// poll handles a poll: it processes the answer that the poll contains, and holds the poll until
// there is a question for the caller. It answers the first poll of a process at once.
func (p *permitScheduler) poll(e *Engine, m *pipelinev1.PermitPoll, done replyFunc) {
	now := e.now()
	known := len(p.callers)
	c := p.caller(m.GetProcess())
	if c.pendingPoll != nil {
		c.pendingPoll(verdict(pipelinev1.Verdict_VERDICT_OK, "a newer poll came"), nil)
	}
	c.lastSeen, c.pendingPoll, c.pollUntil, c.canAsk = now, done, now+pollHold, m.GetCanAsk()
	if q := c.current; q != nil {
		c.current = nil
		if m.GetAnswer().GetId() == q.ID {
			e.permitAnswered(q, m.GetAnswer(), now)
		} else {
			p.questionUnanswered(e, q)
		}
	}
	p.assign(now)
	if len(p.callers) > known && c.pendingPoll != nil {
		// The first answer tells the process who leads: its other calls wait for that, and so does its readiness.
		c.answerEmpty(e)
	}
}

// answerEmpty answers the caller's held poll without a question.
func (c *caller) answerEmpty(e *Engine) {
	held := c.pendingPoll
	c.pendingPoll = nil
	held(&pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OK, Replicas: e.cfg.Replicas()}, nil)
}

// questionUnanswered handles a question that was not answered. The next round asks again if the
// step still needs permits.
func (p *permitScheduler) questionUnanswered(e *Engine, q *placement.Question) {
	questionsUnanswered.Add(1)
	e.log.Info().Str("request", q.Work.Step.Job().Spec.GetId()).Int32("step", q.Work.Step.Index).Str("caller", q.Caller).
		Msg("permit question was not answered")
	q.Work.Forget(q)
	e.dirty = true
}

// countBusy returns the number of callers that are working on a question.
func (p *permitScheduler) countBusy() (n int) {
	for _, c := range p.callers {
		if c.current != nil {
			n++
		}
	}
	return n
}

// askers returns how many more questions can be put soon.
func (p *permitScheduler) askers() placement.Askers {
	a := placement.Askers{Callers: len(p.callers), Waiting: p.waiting}
	for _, c := range p.callers {
		switch {
		case c.current == nil && c.pendingPoll != nil && c.canAsk:
			a.Idle++
		case c.current != nil && c.current.Costly:
			a.Costly++
		}
	}
	return a
}

// enqueue queues a question by priority; those for work that is past its use come last.
func (p *permitScheduler) enqueue(q *placement.Question, now time.Duration) {
	p.nextID++
	q.ID, q.EnqueuedAt = p.nextID, now
	at, _ := slices.BinarySearchFunc(p.waiting, q, func(a, b *placement.Question) int {
		switch {
		case a.PastUse != b.PastUse && b.PastUse:
			return -1
		case a.PastUse != b.PastUse:
			return 1
		case a.Priority != b.Priority:
			return int(a.Priority - b.Priority)
		}
		return int(a.ID) - int(b.ID)
	})
	p.waiting = slices.Insert(p.waiting, at, q)
	p.assign(now)
}

// cancel removes the questions of a step that no longer needs permits.
func (p *permitScheduler) cancel(w *placement.Work) {
	if len(w.Pending) > 0 {
		p.waiting = slices.DeleteFunc(p.waiting, func(q *placement.Question) bool { return q.Work == w })
		w.Pending = nil
	}
}

// assign gives waiting questions to idle callers.
func (p *permitScheduler) assign(now time.Duration) {
	askers := p.askers()
	for _, c := range p.callers {
		if c.pendingPoll == nil || c.current != nil || !c.canAsk {
			continue
		}
		at := slices.IndexFunc(p.waiting, func(q *placement.Question) bool {
			return !q.Costly || askers.MayPutCostly()
		})
		if at < 0 {
			return
		}
		q := p.waiting[at]
		p.waiting = slices.Delete(p.waiting, at, at+1)
		if q.Costly {
			askers.Costly++
		}
		q.Caller, q.Expires = c.process, now+time.Duration(3*q.CostMS)*time.Millisecond+questionSlack
		c.current = q
		q.GivenAt = now
		questionsAsked.Add(1)
		held := c.pendingPoll
		c.pendingPoll = nil
		held(&pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OK, Question: &pipelinev1.PermitQuestion{
			Id: q.ID, Step: q.Work.Key().Proto(), Upstreams: q.Upstreams}}, nil)
	}
}

// tick answers polls that have been held for pollHold, removes expired questions and callers, and
// assigns waiting questions.
func (p *permitScheduler) tick(e *Engine, now time.Duration) {
	kept := p.callers[:0]
	for _, c := range p.callers {
		if c.pendingPoll != nil && now >= c.pollUntil {
			c.answerEmpty(e)
		}
		if c.current != nil && now >= c.current.Expires {
			p.questionUnanswered(e, c.current)
			c.current = nil
			c.lastSeen = now - callerTimeout
		}
		if c.pendingPoll != nil || c.current != nil || now-c.lastSeen < callerTimeout {
			kept = append(kept, c)
			continue
		}
		e.log.Info().Str("caller", c.process).Msg("permit caller removed: no poll or answer in time")
	}
	clear(p.callers[len(kept):])
	p.callers = kept
	p.assign(now)
}

// permitAnswered records which upstreams may run the step.
func (e *Engine) permitAnswered(q *placement.Question, a *pipelinev1.PermitAnswer, now time.Duration) {
	w := q.Work
	w.Forget(q)
	e.dirty = true
	if !a.GetAnswered() {
		e.permits.questionUnanswered(e, q)
		return
	}
	permitTime.Record(now - q.EnqueuedAt)
	e.load.permitWait.add(q.GivenAt - q.EnqueuedAt)
	e.load.permitAsked.add(now - q.GivenAt)
	good := make(map[string]bool, len(a.GetPermits()))
	validity := time.Duration(a.GetValidMs())*time.Millisecond - time.Duration(a.GetAgeUs())*time.Microsecond - ticketMargin
	for _, p := range a.GetPermits() {
		good[p.GetUpstream()] = true
		w.Permits[p.GetUpstream()] = placement.Permit{Ticket: p.GetTicket(), Born: q.Born[p.GetUpstream()], Expires: now + validity}
	}
	for _, id := range q.Upstreams {
		if !good[id] {
			w.Denied[id] = true
		}
	}
	e.cell.Learner.RecordAnswer(w.Step, len(q.Upstreams), len(good))
	e.log.Debug().Str("request", w.Step.Job().Spec.GetId()).Int32("step", w.Step.Index).Int("asked", len(q.Upstreams)).Int("allowed", len(good)).
		Int64("took_us", a.GetTookUs()).Dur("waited", now-q.EnqueuedAt).Str("caller", q.Caller).Msg("permit question answered")
}

// expirePermit marks a ticket as expired because the upstream refused it.
func (e *Engine) expirePermit(st *pipeline.Step, upstream string) {
	if w := e.work(st); w != nil {
		p := w.Permits[upstream]
		p.Expires = 0
		w.Permits[upstream] = p
	}
}
