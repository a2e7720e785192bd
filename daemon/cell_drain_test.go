package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1/bulrushwinchv1connect"
	"github.com/bulrushwinch/bulrushwinch/client"
	"github.com/bulrushwinch/bulrushwinch/config"
	"github.com/bulrushwinch/bulrushwinch/internal/relay"
	"github.com/pkg/errors"
)

const (
	loadCallers = 8
	loadJobs    = 40
	// deadEntryTimeout bounds a call through an entry that may be dead.
	deadEntryTimeout = time.Second
)

// TestDrainCutsNothing drains the leader's daemon under load, behind a load balancer that sends
// new calls to ready entries. Every call must get a response of the public schema: none may be
// cut off with its connection, and every job must be answered.
func TestDrainCutsNothing(t *testing.T) {
	t.Parallel()
	settings, key := exampleSettings(t, "library/three")
	c := startCell(t, settings, key)
	c.awaitReady()
	c.setUp("cordon", "prado", "pocitos")
	b := newBalancer(c)
	var submitted atomic.Int64
	var drain sync.Once
	var wg sync.WaitGroup
	for caller := range loadCallers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range loadJobs {
				if submitted.Add(1) >= loadCallers*loadJobs/3 {
					drain.Do(c.stops[0])
				}
				b.runJob(jobOf(fmt.Sprintf("job-%d-%d", caller, i), []string{"a", "b"}[caller%2]))
			}
		}()
	}
	wg.Wait()
	c.done[0] <- <-c.done[0]
	if isReady(c.settings[0]) {
		t.Error("the drained daemon still reports that it is ready")
	}
}

// balancer sends each call to a ready entry, over connections that are kept alive.
type balancer struct {
	c       *testCell
	next    atomic.Uint32
	entries map[string]bulrushwinchv1connect.CallerServiceClient
}

func newBalancer(c *testCell) *balancer {
	b := &balancer{c: c, entries: make(map[string]bulrushwinchv1connect.CallerServiceClient)}
	for _, s := range c.settings {
		b.entries[s.Name] = bulrushwinchv1connect.NewCallerServiceClient(&http.Client{Transport: &http.Transport{}}, "http://"+s.PublicAddress)
	}
	return b
}

func (b *balancer) pick() bulrushwinchv1connect.CallerServiceClient {
	for {
		s := b.c.settings[int(b.next.Add(1))%len(b.c.settings)]
		if isReady(s) {
			return b.entries[s.Name]
		}
	}
}

func withKey[M any](m *M, queue string) *connect.Request[M] {
	req := connect.NewRequest(m)
	req.Header().Set("Authorization", "Bearer "+keyOf(queue[len("queue-"):]))
	return req
}

// runJob submits a job and waits for its answer. An entry may refuse a call while it has no
// leader; the balancer then tries another one. Any other error counts as a call that was cut off.
func (b *balancer) runJob(req *apiv1.SubmitRequest) {
	req.FirstSentUnixMs, req.FirstSend = time.Now().UnixMilli(), true
	for {
		resp, err := b.pick().Submit(b.c.t.Context(), withKey(req, req.GetQueue()))
		if err != nil {
			b.c.t.Errorf("submit of %s was cut off: %v", req.GetRequestId(), err)
			return
		}
		if resp.Msg.GetOutcome().GetKind() == apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED {
			break
		}
		if resp.Msg.GetOutcome().GetReason() != apiv1.Reason_REASON_NO_LEADER {
			b.c.t.Errorf("%s: %v", req.GetRequestId(), resp.Msg.GetOutcome())
			return
		}
		req.FirstSend = false
	}
	ref := &apiv1.JobRef{RequestId: req.GetRequestId(), Queue: req.GetQueue()}
	for {
		resp, err := b.pick().Wait(b.c.t.Context(), withKey(&apiv1.WaitRequest{Job: ref, MaxWaitMs: 5000}, req.GetQueue()))
		var refusal *connect.Error
		if errors.As(err, &refusal) && len(refusal.Details()) > 0 && refusal.Code() == connect.CodeUnavailable {
			continue
		}
		if err != nil {
			b.c.t.Errorf("wait for %s was cut off: %v", req.GetRequestId(), err)
			return
		}
		if resp.Msg.GetEnded() {
			b.c.checkAnswer(req, resp.Msg.GetJob())
			return
		}
	}
}

// TestKilledEntriesTellNoLies runs nine daemons from their INI files and cuts the connections to
// some entries while two teams submit. An outcome "not run" must be true, so that the job does
// not exist, and every accepted job must be answered once.
func TestKilledEntriesTellNoLies(t *testing.T) {
	t.Parallel()
	settings, key := exampleSettings(t, "library/nine")
	c := startCell(t, settings, key)
	c.awaitReady()
	c.setUp("cordon", "prado", "pocitos")
	var relays []*relay.Relay
	var addresses []string
	for _, s := range c.settings {
		r := relay.New(t, s.PublicAddress)
		relays, addresses = append(relays, r), append(addresses, r.Address())
	}
	var next, undetermined atomic.Uint32
	single := func(team string) *client.Client {
		return c.client(keyOf(team), addresses[int(next.Add(1))%len(addresses)])
	}
	own := map[string]*client.Client{"a": c.client(keyOf("a"), c.addresses()...), "b": c.client(keyOf("b"), c.addresses()...)}
	var submitted atomic.Int64
	var killed [3]sync.Once
	var wg sync.WaitGroup
	for caller := range loadCallers {
		team := []string{"a", "b"}[caller%2]
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range loadJobs {
				n := submitted.Add(1)
				for k := range killed {
					if n > int64((k+1)*loadCallers*loadJobs/5) {
						killed[k].Do(relays[3*k+1].Kill)
					}
				}
				undetermined.Add(c.submitOverDeadEntry(single(team), own[team], jobOf(fmt.Sprintf("job-%d-%d", caller, i), team)))
			}
		}()
	}
	wg.Wait()
	t.Logf("%d submits ended without an outcome and were resent", undetermined.Load())
}

// submitOverDeadEntry submits through an entry that may be dead. An outcome "not run" must be
// true; in every other case the request is resent elsewhere and must be answered. It returns 1 if
// the first send ended without an outcome.
func (c *testCell) submitOverDeadEntry(dead, own *client.Client, req *apiv1.SubmitRequest) (without uint32) {
	ctx, cancel := context.WithTimeout(c.t.Context(), deadEntryTimeout)
	resp, err := dead.Submit(ctx, req)
	cancel()
	if err != nil {
		without = 1
	}
	if resp.GetOutcome().GetKind() == apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN {
		ref := &apiv1.JobRef{RequestId: req.GetRequestId(), Queue: req.GetQueue()}
		if got, err := own.Get(c.t.Context(), &apiv1.GetRequest{Job: ref}); err == nil {
			c.t.Errorf("%s: the outcome was %v, but the job exists and is %v", req.GetRequestId(), resp.GetOutcome(), got.GetJob().GetState())
		}
		return without
	}
	if again, err := own.Submit(c.t.Context(), req); err != nil || again.GetOutcome().GetKind() != apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED {
		c.t.Errorf("%s: resent: %v %v", req.GetRequestId(), again, err)
		return without
	}
	c.awaitAnswer(own, req)
	return without
}

// TestRevisionReachesEveryProcess expects the status to show one revision in force at all nine
// processes. Four of them are entries without a replica, which get the revision through other
// processes.
func TestRevisionReachesEveryProcess(t *testing.T) {
	t.Parallel()
	settings, key := exampleSettings(t, "oduya/nine")
	c := startCell(t, settings, key)
	c.awaitReady()
	c.setUp("ikeja")
	op := c.client(c.operator, c.addresses()...)
	c.until("one revision at all processes", func() bool {
		st, err := op.Status(t.Context(), &apiv1.StatusRequest{})
		if err != nil || len(st.GetProcesses()) != len(c.settings) {
			return false
		}
		for _, p := range st.GetProcesses() {
			if p.GetRevision() != st.GetRevision() || !p.GetReady() {
				return false
			}
		}
		return true
	})
	tl, err := op.Timeline(t.Context(), &apiv1.TimelineRequest{})
	if err != nil || len(tl.GetMissing()) > 0 {
		t.Fatalf("timeline: %v, missing %v", err, tl.GetMissing())
	}
	seen := make(map[string]bool)
	for _, e := range tl.GetEvents() {
		seen[e.GetProcess()] = true
	}
	if len(seen) != len(c.settings) {
		t.Errorf("the timeline has events of %d processes", len(seen))
	}
}

// oneVM returns the settings of a cell with one replica.
func oneVM(t *testing.T) ([]*config.Settings, string) {
	list, key := exampleSettings(t, "library/three")
	s := list[0]
	s.Replicas, s.Voters = []string{s.PeerAddress}, 1
	s.DrainDelay = 0
	return list[:1], key
}
