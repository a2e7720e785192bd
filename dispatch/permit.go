package dispatch

import (
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

const (
	// pollHold is how long a caller's poll is held without a question.
	pollHold = 1500 * time.Millisecond
	// callerLife is how long a process that has not polled counts as a caller.
	callerLife = 3 * time.Second
	// costlyMS is the cost above which a question may occupy only a share of the callers. The
	// users' small steps cost about 34 ms, the large ones 600 ms.
	costlyMS = 150
	// costlyShare is the share of the callers that costly questions may occupy.
	costlyShare = 0.75
	// ticketMargin is taken off a ticket's life for the order's way to the upstream.
	ticketMargin = 250 * time.Millisecond
	// questionSlack is added to three times a question's cost before it counts as lost.
	questionSlack = time.Second
)

// permit is an upstream's permission to run a step.
type permit struct {
	ticket  string
	born    int64
	expires time.Duration
}

// question asks which of some upstreams may run a step.
type question struct {
	id        uint64
	work      *stepWork
	upstreams []string
	// born holds the incarnations at the time of asking.
	born     map[string]int64
	costMS   float64
	priority int32
	askedAt  time.Duration
	// expires is when an asked question counts as lost.
	expires time.Duration
	caller  string
}

func (q *question) costly() bool { return q.costMS > costlyMS }

// caller is a process that asks the permit service.
type caller struct {
	process  string
	lastSeen time.Duration
	// held answers the poll that waits, or is nil.
	held  finish
	until time.Duration
	busy  *question
	// canAsk is set when the process can reach a permit service.
	canAsk bool
}

// planner spreads the questions over all processes, as the permit service serves one call
// at a time for each of them.
type planner struct {
	nextID  uint64
	waiting []*question
	callers []*caller
}

// fail answers all polls with an error and forgets all questions.
func (p *planner) fail(err error) {
	for _, c := range p.callers {
		if c.held != nil {
			c.held(nil, err)
		}
	}
	*p = planner{nextID: p.nextID}
}

func (p *planner) caller(process string) *caller {
	for _, c := range p.callers {
		if c.process == process {
			return c
		}
	}
	c := &caller{process: process}
	p.callers = append(p.callers, c)
	return c
}

// poll takes a caller's answer and holds its poll until there is a question for it.
func (p *planner) poll(e *Engine, m *pipelinev1.PermitPoll, done finish) {
	now := e.now()
	c := p.caller(m.GetProcess())
	if c.held != nil {
		c.held(verdict(pipelinev1.Verdict_VERDICT_OK, "a newer poll came"), nil)
	}
	c.lastSeen, c.held, c.until, c.canAsk = now, done, now+pollHold, m.GetCanAsk()
	if q := c.busy; q != nil {
		c.busy = nil
		if m.GetAnswer().GetId() == q.id {
			e.permitAnswered(q, m.GetAnswer(), now)
		} else {
			p.lost(e, q)
		}
	}
	p.assign(now)
}

// lost asks a question again later, if it is still wanted.
func (p *planner) lost(e *Engine, q *question) {
	questionsLost.Add(1)
	e.log.Info().Str("request", q.work.step.Job().Spec.GetId()).Int32("step", q.work.step.Index).Str("caller", q.caller).
		Msg("permit question was not answered")
	q.work.question = nil
	e.dirty = true
}

// ask queues a question.
func (p *planner) ask(q *question, now time.Duration) {
	p.nextID++
	q.id, q.askedAt = p.nextID, now
	at, _ := slices.BinarySearchFunc(p.waiting, q, func(a, b *question) int {
		if a.priority != b.priority {
			return int(a.priority - b.priority)
		}
		return int(a.id) - int(b.id)
	})
	p.waiting = slices.Insert(p.waiting, at, q)
	p.assign(now)
}

// drop forgets the question of a step that needs nothing any more.
func (p *planner) drop(w *stepWork) {
	if w.question != nil {
		p.waiting = slices.DeleteFunc(p.waiting, func(q *question) bool { return q == w.question })
		w.question = nil
	}
}

// assign gives waiting questions to idle callers.
func (p *planner) assign(now time.Duration) {
	costly := 0
	for _, c := range p.callers {
		if c.busy != nil && c.busy.costly() {
			costly++
		}
	}
	for _, c := range p.callers {
		if c.held == nil || c.busy != nil || !c.canAsk {
			continue
		}
		at := slices.IndexFunc(p.waiting, func(q *question) bool {
			return !q.costly() || float64(costly) < costlyShare*float64(len(p.callers))
		})
		if at < 0 {
			return
		}
		q := p.waiting[at]
		p.waiting = slices.Delete(p.waiting, at, at+1)
		if q.costly() {
			costly++
		}
		q.caller, q.expires = c.process, now+time.Duration(3*q.costMS)*time.Millisecond+questionSlack
		c.busy = q
		questionsAsked.Add(1)
		held := c.held
		c.held = nil
		held(&pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OK, Question: &pipelinev1.PermitQuestion{
			Id: q.id, Step: q.work.key().Proto(), Upstreams: q.upstreams}}, nil)
	}
}

// tick ends polls that were held long enough, and drops callers and questions that are lost.
func (p *planner) tick(e *Engine, now time.Duration) {
	kept := p.callers[:0]
	for _, c := range p.callers {
		if c.held != nil && now >= c.until {
			c.held(&pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OK, Replicas: e.cfg.Replicas()}, nil)
			c.held = nil
		}
		if c.busy != nil && now >= c.busy.expires {
			p.lost(e, c.busy)
			c.busy = nil
			c.lastSeen = now - callerLife
		}
		if c.held != nil || c.busy != nil || now-c.lastSeen < callerLife {
			kept = append(kept, c)
			continue
		}
		e.log.Info().Str("caller", c.process).Msg("caller of the permit service is lost")
	}
	clear(p.callers[len(kept):])
	p.callers = kept
	p.assign(now)
}

// permitAnswered records which upstreams may run the step.
func (e *Engine) permitAnswered(q *question, a *pipelinev1.PermitAnswer, now time.Duration) {
	w := q.work
	if w.question == q {
		w.question = nil
	}
	e.dirty = true
	if !a.GetAnswered() {
		e.permits.lost(e, q)
		return
	}
	permitTime.Record(now - q.askedAt)
	good := make(map[string]bool, len(a.GetPermits()))
	life := time.Duration(a.GetValidMs())*time.Millisecond - time.Duration(a.GetAgeUs())*time.Microsecond - ticketMargin
	for _, p := range a.GetPermits() {
		good[p.GetUpstream()] = true
		w.permits[p.GetUpstream()] = permit{ticket: p.GetTicket(), born: q.born[p.GetUpstream()], expires: now + life}
	}
	for _, id := range q.upstreams {
		if !good[id] {
			w.denied[id] = true
		}
	}
	e.log.Debug().Str("request", w.step.Job().Spec.GetId()).Int32("step", w.step.Index).Int("asked", len(q.upstreams)).Int("allowed", len(good)).
		Int64("took_us", a.GetTookUs()).Dur("waited", now-q.askedAt).Str("caller", q.caller).Msg("permits came")
}

// dropPermit forgets a ticket that an upstream refused.
func (e *Engine) dropPermit(st *pipeline.Step, upstream string) {
	if w := e.work(st); w != nil {
		p := w.permits[upstream]
		p.expires = 0
		w.permits[upstream] = p
	}
}
