package faults

import (
	"context"
	"fmt"
	"sync"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/entry"
	"github.com/bulrushwinch/bulrushwinch/resource"
	"github.com/pkg/errors"
)

// Teams, queues and keys of the load. The small team has a limit. tempKey is granted and withdrawn
// during the load.
const (
	bigTeam   = "lomos"
	smallTeam = "oduya"
	bigKey    = "lomos-key"
	smallKey  = "oduya-key"
	tempKey   = "lomos-visitor-key"
	waveQueue = "wave"

	smallTeamSlots = 4
	numWorkers     = 6
	// loadTime is how long callers submit jobs.
	loadTime = 22 * time.Second
	// endLimit bounds the time after loadTime until all faults and all work have ended.
	endLimit = 90 * time.Second
)

// Teams of keys and of queues, by name.
var (
	keyTeams   = map[string]string{bigKey: bigTeam, smallKey: smallTeam, tempKey: bigTeam}
	queueTeams = map[string]string{bigTeam: bigTeam, smallTeam: smallTeam, waveQueue: bigTeam}
)

// configure creates the teams, queues, keys and failure domains.
func (c *cell) configure() {
	slots := int64(smallTeamSlots)
	limit := &apiv1.Limit{Slots: &slots}
	c.history.limits[smallTeam] = resource.LimitFromProto(limit)
	for _, req := range []*apiv1.ChangeRequest{
		putTeam("team-big", 0, &apiv1.Team{Name: bigTeam, Share: 3}),
		putTeam("team-small", 0, &apiv1.Team{Name: smallTeam, Share: 1, Limit: limit}),
		putTeam("team-race", 0, &apiv1.Team{Name: raceTeam, Share: 1}),
		putQueue(bigTeam, bigTeam), putQueue(smallTeam, smallTeam), putQueue(waveQueue, bigTeam),
		grantKey("big", bigTeam, bigKey, apiv1.KeyRole_KEY_ROLE_CALLER),
		grantKey("small", smallTeam, smallKey, apiv1.KeyRole_KEY_ROLE_CALLER),
		grantKey("upstream", "", upstreamKey, apiv1.KeyRole_KEY_ROLE_UPSTREAM),
	} {
		c.change(0, req)
	}
	for _, d := range testDomains {
		c.change(0, setDomain("in-"+d, d, apiv1.DomainState_DOMAIN_STATE_IN))
	}
}

// job describes one request of the load.
type job struct {
	request    string
	key, queue string
	policy     apiv1.Policy
	tasks      int
	runTime    time.Duration
	once       bool // may not be repeated
	urgent     bool
	cancelled  bool // the caller cancels it or may do so
	cores      int64
	// accelerators is the number per task; no worker has any, so that above 0 the job never runs.
	accelerators int64
	expected     time.Duration // declared run time
}

// submitRequest returns the first send of the job's request, and the payload of each task.
func (j job) submitRequest() (*apiv1.SubmitRequest, [][]byte) {
	payload := work{keyTeams[j.key], j.request, j.runTime}.payload()
	spec := &apiv1.JobSpec{Class: "class-" + j.queue, Policy: j.policy, Repeatable: !j.once, Urgent: j.urgent,
		ExpectedMs: j.expected.Milliseconds(), MaxAttempts: 10,
		Tasks: []*apiv1.TaskSpec{{Copies: int32(j.tasks), Payload: payload,
			Resources: &apiv1.Resources{MilliCores: max(j.cores, 500), MemoryBytes: 1 << 28, Accelerators: j.accelerators}}}}
	if j.policy == apiv1.Policy_POLICY_UNSPECIFIED {
		spec.Policy = apiv1.Policy_POLICY_BATCH
	}
	payloads := make([][]byte, j.tasks)
	for i := range payloads {
		payloads[i] = payload
	}
	return &apiv1.SubmitRequest{RequestId: j.request, Queue: j.queue, Job: spec, FirstSend: true,
		FirstSentUnixMs: time.Now().UnixMilli()}, payloads
}

// load submits jobs, waits for their ends, and changes the cell meanwhile.
type load struct {
	c  *cell
	wg sync.WaitGroup
	mu sync.Mutex
	// withdrawn is when the withdrawal of tempKey was acknowledged.
	withdrawn time.Time
}

// startAfter runs one actor of the load on a goroutine of its own, after a delay.
func (l *load) startAfter(after time.Duration, f func()) {
	l.wg.Add(1)
	l.c.spawn(func() {
		defer l.wg.Done()
		time.Sleep(after)
		f()
	})
}

// submit sends a job until its outcome is known, at most callTries times, and records it in sub.
func (l *load) submit(j job, sub *submission) {
	req, payloads := j.submitRequest()
	l.mu.Lock()
	withdrawn := l.withdrawn
	l.mu.Unlock()
	*sub = submission{request: j.request, key: j.key, keyTeam: keyTeams[j.key], queueTeam: queueTeams[j.queue], repeatable: !j.once,
		payloads: payloads, cancelled: j.cancelled, sent: time.Now()}
	if j.key == tempKey {
		sub.withdrawn = withdrawn
	}
	for try := range callTries {
		err := l.c.send("caller-"+keyTeams[j.key], "submit", try+len(j.request), func(ctx context.Context, s *entry.Server) error {
			resp, err := s.Submit(ctx, withKey(req, j.key))
			if err == nil {
				sub.outcome, sub.job = resp.Msg.GetOutcome(), resp.Msg.GetJobId()
			}
			return err
		})
		if err == nil && !worthResending(sub.outcome) {
			break
		}
		if l.c.ctx.Err() != nil {
			return
		}
		if err == nil || !unreachable(err) {
			req.FirstSend = false
		}
		time.Sleep(resendPause)
	}
	sub.done = time.Now()
}

// worthResending reports whether an outcome is undetermined only because no leader answered.
// Requests that are undetermined for other reasons stay so when resent.
func worthResending(o *apiv1.Outcome) bool {
	return o.GetKind() == apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED && o.GetReason() == apiv1.Reason_REASON_NO_LEADER
}

// wait waits for the end of an accepted job and records it in sub. Jobs of tempKey are waited for
// with bigKey, as tempKey may be withdrawn by then.
func (l *load) wait(j job, sub *submission) {
	for try := 0; l.c.ctx.Err() == nil; try++ {
		req := &apiv1.WaitRequest{Job: &apiv1.JobRef{RequestId: j.request, Queue: j.queue}, MaxWaitMs: 5000}
		key := j.key
		if key == tempKey {
			key = bigKey
		}
		var resp *apiv1.WaitResponse
		err := l.c.send("caller-"+keyTeams[j.key], "wait", try, func(ctx context.Context, s *entry.Server) error {
			r, err := s.Wait(ctx, withKey(req, key))
			if err == nil {
				resp = r.Msg
			}
			return err
		})
		if err == nil && resp.GetEnded() {
			sub.end = resp.GetJob()
			return
		}
		time.Sleep(resendPause)
	}
}

// submitAndWait submits a job, waits for its end and records both.
func (l *load) submitAndWait(j job) {
	var sub submission
	l.submit(j, &sub)
	if sub.outcome.GetKind() == apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED {
		l.wait(j, &sub)
	}
	add(l.c.history, &l.c.history.submissions, sub)
}

// cancel sends a cancellation until it has an answer.
func (l *load) cancel(key string, req *apiv1.CancelRequest) {
	for try := 0; l.c.ctx.Err() == nil; try++ {
		err := l.c.send("caller-"+keyTeams[key], "cancel", try, func(ctx context.Context, s *entry.Server) error {
			_, err := s.Cancel(ctx, withKey(req, key))
			return err
		})
		if err == nil {
			return
		}
		time.Sleep(resendPause)
	}
}

// start starts every actor. All steps of the matrix are taken within loadTime, unless a
// fault delays them.
func (l *load) start() {
	l.callers()
	l.operators()
	l.platform()
	l.startAfter(0, func() {
		for try := 0; try < int(loadTime/time.Second); try++ {
			l.c.read(0, try)
			time.Sleep(time.Second)
		}
	})
}

// callers starts the actors that submit and cancel jobs.
func (l *load) callers() {
	service := job{request: "service-1", key: bigKey, queue: bigTeam, policy: apiv1.Policy_POLICY_SERVICE, tasks: 2, runTime: time.Hour, cancelled: true}
	long := job{request: "long-1", key: bigKey, queue: bigTeam, tasks: 3, runTime: time.Hour, cancelled: true}
	for at, j := range map[time.Duration]job{
		0:               {request: "gang-1", key: bigKey, queue: bigTeam, policy: apiv1.Policy_POLICY_GANG, tasks: 4, runTime: 2 * time.Second},
		time.Second:     {request: "once-1", key: smallKey, queue: smallTeam, tasks: 3, runTime: 2 * time.Second, once: true},
		2 * time.Second: long,
		3 * time.Second: {request: "urgent-1", key: bigKey, queue: bigTeam, tasks: 2, runTime: 500 * time.Millisecond, urgent: true},
		8 * time.Second: {request: "once-2", key: smallKey, queue: smallTeam, tasks: 3, runTime: 3 * time.Second, once: true},
		9 * time.Second: {request: "gang-2", key: bigKey, queue: bigTeam, policy: apiv1.Policy_POLICY_GANG, tasks: 3, runTime: 2 * time.Second},
	} {
		l.startAfter(at, func() { l.submitAndWait(j) })
	}
	l.startAfter(0, func() { l.submitAndWait(service) })
	l.startAfter(5*time.Second, func() {
		l.cancel(bigKey, &apiv1.CancelRequest{Queue: bigTeam, RequestIds: []string{long.request}})
	})
	l.startAfter(loadTime, func() {
		l.cancel(bigKey, &apiv1.CancelRequest{Queue: bigTeam, RequestIds: []string{service.request, long.request}})
	})
	for i := range int(loadTime/time.Second) - 2 {
		j := job{request: fmt.Sprintf("batch-%d", i), key: bigKey, queue: bigTeam, tasks: 2, runTime: 1500 * time.Millisecond}
		if i%2 == 1 {
			j.key, j.queue = smallKey, smallTeam
		}
		l.startAfter(time.Duration(i)*time.Second+250*time.Millisecond, func() { l.submitAndWait(j) })
	}
	for i := range 3 {
		j := job{request: fmt.Sprintf("wrong-team-%d", i), key: smallKey, queue: bigTeam, tasks: 1, runTime: time.Second}
		l.startAfter(time.Duration(i)*6*time.Second, func() { l.submitAndWait(j) })
	}
}

// operators starts the actors that grant and withdraw a key, set a failure domain out and back in,
// and race for the share of a team.
func (l *load) operators() {
	c := l.c
	l.startAfter(time.Second, func() {
		c.change(3, grantKey("visitor", bigTeam, tempKey, apiv1.KeyRole_KEY_ROLE_CALLER))
		for i := range 14 {
			l.startAfter(time.Duration(i)*time.Second, func() {
				l.submitAndWait(job{request: fmt.Sprintf("visitor-%d", i), key: tempKey, queue: bigTeam, tasks: 1, runTime: 200 * time.Millisecond})
			})
		}
		time.Sleep(5 * time.Second)
		c.change(3, &apiv1.ChangeRequest{OperationId: "withdraw-visitor", Change: &apiv1.ChangeRequest_WithdrawKey{WithdrawKey: "visitor"}})
		l.mu.Lock()
		l.withdrawn = time.Now()
		l.mu.Unlock()
	})
	l.startAfter(5*time.Second, func() {
		c.change(4, setDomain("out", testDomains[1], apiv1.DomainState_DOMAIN_STATE_OUT))
		from := time.Now()
		time.Sleep(9 * time.Second)
		add(c.history, &c.history.outages, outage{testDomains[1], span{from, time.Now()}})
		c.change(4, setDomain("back", testDomains[1], apiv1.DomainState_DOMAIN_STATE_IN))
	})
	for i := range 3 {
		l.startAfter(time.Duration(3+4*i)*time.Second, func() { c.race(fmt.Sprintf("load-%d", i)) })
	}
}

// platform starts the actors that add and remove an upstream, replace a replica, transfer the
// leadership, and drain an entry.
func (l *load) platform() {
	c := l.c
	l.startAfter(4*time.Second, func() { c.addWorker(numWorkers) })
	l.startAfter(7*time.Second, func() {
		w := c.worker(fmt.Sprintf("worker-%02d", numWorkers-1))
		add(c.history, &c.history.departures, departure{upstream: w.name, span: span{from: time.Now()}})
		w.agent.Leave()
	})
	l.startAfter(9*time.Second, c.replaceFollower)
	l.startAfter(16*time.Second, c.transfer)
	l.startAfter(18*time.Second, func() {
		e := c.entries[1]
		c.triggers.hit(stepDrain, event{})
		e.drain()
		time.Sleep(time.Second)
		e.restart()
	})
}

// unreachable reports whether a call failed before it had any effect.
func unreachable(err error) bool { return errors.Is(err, errUnreachable) }
