package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

const (
	// pollHold is how long a caller's poll is held while there is no question for it.
	pollHold = 1500 * time.Millisecond
	// callerTimeout is how long after its last poll a process counts as a caller.
	callerTimeout = 3 * time.Second
	// waitingShare is the number of questions of each kind, costly or not, that may wait for a
	// caller, as a share of the callers; less urgent questions do not count. The callers then have
	// work between two scheduling rounds. More questions would be out of date when they are put, both
	// in their order and in the upstreams that they name.
	waitingShare = 0.5
	// costlyMS is the cost in milliseconds above which a question is costly; costly questions may
	// occupy only a share of the callers. The users' small steps cost about 34 ms, the large ones
	// 600 ms.
	costlyMS = 150
	// costlyShare is the share of the callers that costly questions may occupy.
	costlyShare = 0.75
	// ticketMargin is subtracted from the validity of a ticket to cover the transfer of the order
	// to the upstream.
	ticketMargin = 250 * time.Millisecond
	// questionSlack plus three times a question's cost is the time after which the question
	// counts as unanswered.
	questionSlack = time.Second
)

// permit allows a step to run on one incarnation of an upstream until the ticket expires.
type permit struct {
	ticket  string
	born    int64
	expires time.Duration
}

// question asks the permit service which of some upstreams may run a step.
type question struct {
	id        uint64
	work      *stepWork
	upstreams []string
	// born holds the incarnations of the upstreams when the question was created.
	born   map[string]int64
	costMS float64
	// costly is set if only a share of the callers may put such questions at a time.
	costly     bool
	priority   int32
	enqueuedAt time.Duration
	// givenAt is when the question was given to a caller.
	givenAt time.Duration
	// expires is when a question that was given to a caller counts as unanswered.
	expires time.Duration
	caller  string
}

// caller is a process that forwards questions to the permit service.
type caller struct {
	process  string
	lastSeen time.Duration
	// pendingPoll answers the caller's held poll; nil if there is none. The poll is held until
	// pollUntil.
	pendingPoll replyFunc
	pollUntil   time.Duration
	// current is the question that the caller is working on, or nil.
	current *question
	// canAsk is set when the process can reach a permit service.
	canAsk bool
}

// permitScheduler distributes the questions over all processes, because the permit service
// handles one call at a time from each of them.
type permitScheduler struct {
	nextID  uint64
	waiting []*question
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
// there is a question for the caller.
func (p *permitScheduler) poll(e *Engine, m *pipelinev1.PermitPoll, done replyFunc) {
	now := e.now()
	c := p.caller(m.GetProcess())
	if c.pendingPoll != nil {
		c.pendingPoll(verdict(pipelinev1.Verdict_VERDICT_OK, "a newer poll came"), nil)
	}
	c.lastSeen, c.pendingPoll, c.pollUntil, c.canAsk = now, done, now+pollHold, m.GetCanAsk()
	if q := c.current; q != nil {
		c.current = nil
		if m.GetAnswer().GetId() == q.id {
			e.permitAnswered(q, m.GetAnswer(), now)
		} else {
			p.questionUnanswered(e, q)
		}
	}
	p.assign(now)
}

// questionUnanswered handles a question that was not answered. The next round asks again if the
// step still needs permits.
func (p *permitScheduler) questionUnanswered(e *Engine, q *question) {
	questionsUnanswered.Add(1)
	e.log.Info().Str("request", q.work.step.Job().Spec.GetId()).Int32("step", q.work.step.Index).Str("caller", q.caller).
		Msg("permit question was not answered")
	q.work.question = nil
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

// accepts reports whether another question of a priority, costly or not, may be queued. Idle
// callers take questions at once; those do not count as waiting, nor do less urgent ones.
func (p *permitScheduler) accepts(costly bool, priority int32) bool {
	waiting := 0
	for _, q := range p.waiting {
		if q.costly == costly && q.priority <= priority {
			waiting++
		}
	}
	return waiting < int(math.Ceil(waitingShare*float64(len(p.callers))))
}

// enqueue queues a question by priority.
func (p *permitScheduler) enqueue(q *question, now time.Duration) {
	p.nextID++
	q.id, q.enqueuedAt = p.nextID, now
	at, _ := slices.BinarySearchFunc(p.waiting, q, func(a, b *question) int {
		if a.priority != b.priority {
			return int(a.priority - b.priority)
		}
		return int(a.id) - int(b.id)
	})
	p.waiting = slices.Insert(p.waiting, at, q)
	p.assign(now)
}

// cancel removes the question of a step that no longer needs permits.
func (p *permitScheduler) cancel(w *stepWork) {
	if w.question != nil {
		p.waiting = slices.DeleteFunc(p.waiting, func(q *question) bool { return q == w.question })
		w.question = nil
	}
}

// assign gives waiting questions to idle callers.
func (p *permitScheduler) assign(now time.Duration) {
	costly := 0
	for _, c := range p.callers {
		if c.current != nil && c.current.costly {
			costly++
		}
	}
	for _, c := range p.callers {
		if c.pendingPoll == nil || c.current != nil || !c.canAsk {
			continue
		}
		at := slices.IndexFunc(p.waiting, func(q *question) bool {
			return !q.costly || float64(costly) < costlyShare*float64(len(p.callers))
		})
		if at < 0 {
			return
		}
		q := p.waiting[at]
		p.waiting = slices.Delete(p.waiting, at, at+1)
		if q.costly {
			costly++
		}
		q.caller, q.expires = c.process, now+time.Duration(3*q.costMS)*time.Millisecond+questionSlack
		c.current = q
		q.givenAt = now
		questionsAsked.Add(1)
		held := c.pendingPoll
		c.pendingPoll = nil
		held(&pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OK, Question: &pipelinev1.PermitQuestion{
			Id: q.id, Step: q.work.key().Proto(), Upstreams: q.upstreams}}, nil)
	}
}

// tick answers polls that have been held for pollHold, removes expired questions and callers, and
// assigns waiting questions.
func (p *permitScheduler) tick(e *Engine, now time.Duration) {
	kept := p.callers[:0]
	for _, c := range p.callers {
		if c.pendingPoll != nil && now >= c.pollUntil {
			c.pendingPoll(&pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OK, Replicas: e.cfg.Replicas()}, nil)
			c.pendingPoll = nil
		}
		if c.current != nil && now >= c.current.expires {
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
func (e *Engine) permitAnswered(q *question, a *pipelinev1.PermitAnswer, now time.Duration) {
	w := q.work
	if w.question == q {
		w.question = nil
	}
	e.dirty = true
	if !a.GetAnswered() {
		e.permits.questionUnanswered(e, q)
		return
	}
	permitTime.Record(now - q.enqueuedAt)
	e.load.permitWait.add(q.givenAt - q.enqueuedAt)
	e.load.permitAsked.add(now - q.givenAt)
	good := make(map[string]bool, len(a.GetPermits()))
	validity := time.Duration(a.GetValidMs())*time.Millisecond - time.Duration(a.GetAgeUs())*time.Microsecond - ticketMargin
	for _, p := range a.GetPermits() {
		good[p.GetUpstream()] = true
		w.permits[p.GetUpstream()] = permit{ticket: p.GetTicket(), born: q.born[p.GetUpstream()], expires: now + validity}
	}
	for _, id := range q.upstreams {
		if !good[id] {
			w.denied[id] = true
		}
	}
	e.log.Debug().Str("request", w.step.Job().Spec.GetId()).Int32("step", w.step.Index).Int("asked", len(q.upstreams)).Int("allowed", len(good)).
		Int64("took_us", a.GetTookUs()).Dur("waited", now-q.enqueuedAt).Str("caller", q.caller).Msg("permit question answered")
}

// expirePermit marks a ticket as expired because the upstream refused it.
func (e *Engine) expirePermit(st *pipeline.Step, upstream string) {
	if w := e.work(st); w != nil {
		p := w.permits[upstream]
		p.expires = 0
		w.permits[upstream] = p
	}
}
