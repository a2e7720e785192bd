package faults

import (
	"context"
	"crypto/sha256"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/control"
	"github.com/bulrushwinch/bulrushwinch/entry"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/replica"
	"github.com/bulrushwinch/bulrushwinch/state"
	"github.com/bulrushwinch/bulrushwinch/timeline"
	"github.com/bulrushwinch/bulrushwinch/upstream"
	"github.com/pkg/errors"
)

const (
	operatorKey  = "operator-key"
	upstreamKey  = "upstream-key"
	callerKey    = "caller-key"
	oneWayDelay  = 500 * time.Microsecond
	settleTime   = 5 * time.Second
	testTeam     = "montevideo"
	testQueue    = "labels"
	openCallTime = 10 * time.Second
)

var testDomains = []string{"cordon", "prado", "pocitos"}

// bubbleClock is a lease.Clock on the virtual time of the test.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() time.Duration { return time.Since(c.start) }

// cell is a whole system in memory: replicas, one entry per replica, upstreams.
type cell struct {
	t     *testing.T
	seed  uint64
	net   *network
	clock bubbleClock

	mu       sync.Mutex
	replicas map[string]*memReplica
	agents   []*upstream.Agent
	runs     *runLog
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// memReplica is one VM with a data folder.
type memReplica struct {
	address    string
	id         raft.ID
	disk       *memDisk
	node       *replica.Node[[]state.Result]
	controller *control.Controller
	state      *state.State
	cancel     context.CancelFunc
	done       chan struct{}
}

// newCell starts a group with one voter per failure domain and waits for a leader.
func newCell(t *testing.T, seed uint64) *cell {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cell{t: t, seed: seed, net: newNetwork(seed), clock: bubbleClock{time.Now().Add(-time.Hour)},
		replicas: make(map[string]*memReplica), runs: &runLog{}, ctx: ctx, cancel: cancel}
	var members []raft.Member
	for i, d := range testDomains {
		members = append(members, raft.Member{ID: raft.ID(i + 1), Voter: true, Address: "replica-" + d, Domain: d})
	}
	for _, m := range members {
		disk := &memDisk{restored: raft.Restored{HardState: raft.HardState{Term: 1, Commit: 1},
			Snapshot: raft.Snapshot{Index: 1, Term: 1, Members: members}}}
		c.startReplica(m.Address, m.ID, disk)
	}
	time.Sleep(settleTime)
	c.configure()
	return c
}

// stop ends every goroutine of the cell.
func (c *cell) stop() {
	c.cancel()
	c.wg.Wait()
	c.net.wait()
}

// startReplica starts a replica process on a disk.
func (c *cell) startReplica(address string, id raft.ID, disk *memDisk) *memReplica {
	ctx, cancel := context.WithCancel(c.ctx)
	st := state.New(state.DefaultSettings)
	cfg := control.DefaultConfig
	key := sha256.Sum256([]byte(operatorKey))
	cfg.OperatorKey = key[:]
	ctl := control.New(cfg, st, c.clock, timeline.NewRecorder(address, timeline.NewClock(time.Now), 4096))
	node, err := replica.New(replica.DefaultConfig(id, c.seed), control.Machine{State: st}, ctl, disk,
		&memTransport{c.net, address}, disk.load())
	if err != nil {
		c.t.Fatal(err)
	}
	ctl.Attach(node)
	r := &memReplica{address, id, disk, node, ctl, st, cancel, make(chan struct{})}
	c.mu.Lock()
	c.replicas[address] = r
	c.mu.Unlock()
	c.net.register(address, r)
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		defer close(r.done)
		if err := node.Run(ctx); err != nil {
			c.t.Errorf("replica %s: %v", address, err)
		}
	}()
	return r
}

// kill ends a replica process; what was synced stays on its disk.
func (c *cell) kill(address string) *memReplica {
	c.mu.Lock()
	r := c.replicas[address]
	delete(c.replicas, address)
	c.mu.Unlock()
	c.net.register(address, nil)
	r.cancel()
	<-r.done
	return r
}

// leader returns the address of the replica that leads, or "".
func (c *cell) leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	best, term := "", uint64(0)
	for address, r := range c.replicas {
		result := make(chan uint64, 1)
		if r.node.Post(c.ctx, func() {
			if r.controller.Leading() {
				result <- r.node.Raft().Term()
				return
			}
			result <- 0
		}) != nil {
			continue
		}
		if got := <-result; got > term {
			best, term = address, got
		}
	}
	return best
}

func (c *cell) addresses() []string {
	var out []string
	for _, d := range testDomains {
		out = append(out, "replica-"+d)
	}
	return out
}

// entry returns a new entry process, reached by no delay of its own.
func (c *cell) entry(name string) *entry.Server {
	router := entry.NewRouter(&memForwarder{c.net, name}, c.addresses())
	return entry.NewServer(name, router, timeline.NewRecorder(name, timeline.NewClock(time.Now), 1024), nil)
}

// change applies a change of configuration, resending until it has an answer.
func (c *cell) change(req *apiv1.ChangeRequest) *apiv1.ChangeResponse {
	e := c.entry("operator")
	for range 20 {
		r := connect.NewRequest(req)
		r.Header().Set("Authorization", "Bearer "+operatorKey)
		resp, err := e.Change(c.ctx, r)
		if err == nil {
			return resp.Msg
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatalf("change %s found no leader", req.GetOperationId())
	return nil
}

func (c *cell) mustChange(req *apiv1.ChangeRequest) {
	c.t.Helper()
	if r := c.change(req); !r.GetApplied() {
		c.t.Fatalf("change %s: %v", req.GetOperationId(), r.GetOutcome())
	}
}

func (c *cell) configure() {
	c.mustChange(&apiv1.ChangeRequest{OperationId: "team", Change: &apiv1.ChangeRequest_PutTeam{PutTeam: &apiv1.Team{Name: testTeam, Share: 1}}})
	c.mustChange(&apiv1.ChangeRequest{OperationId: "queue", Change: &apiv1.ChangeRequest_PutQueue{PutQueue: &apiv1.Queue{Name: testQueue, Team: testTeam}}})
	c.grant("caller", testTeam, callerKey, apiv1.KeyRole_KEY_ROLE_CALLER)
	c.grant("upstream", "", upstreamKey, apiv1.KeyRole_KEY_ROLE_UPSTREAM)
	for _, d := range testDomains {
		c.setDomain("in-"+d, d, apiv1.DomainState_DOMAIN_STATE_IN)
	}
}

func (c *cell) grant(id, team, key string, role apiv1.KeyRole) {
	sum := sha256.Sum256([]byte(key))
	c.mustChange(&apiv1.ChangeRequest{OperationId: "grant-" + id, Change: &apiv1.ChangeRequest_GrantKey{
		GrantKey: &apiv1.GrantKey{KeyId: id, Team: team, KeySha256: sum[:], Role: role}}})
}

func (c *cell) setDomain(operation, name string, st apiv1.DomainState) {
	c.mustChange(&apiv1.ChangeRequest{OperationId: operation, Change: &apiv1.ChangeRequest_PutFailureDomain{
		PutFailureDomain: &apiv1.FailureDomain{Name: name, State: st, NoticeMs: 1000}}})
}

// addUpstreams starts workers of 8 slots, spread over the failure domains.
func (c *cell) addUpstreams(n int) {
	for i := range n {
		domain := testDomains[i%len(testDomains)]
		name := fmt.Sprintf("worker-%02d", i)
		agent := upstream.New(upstream.Config{Name: name, FailureDomain: domain, Rack: fmt.Sprintf("rack-%d", i/8), VM: "vm-" + name,
			Capacity: &apiv1.Resources{MilliCores: 8000, MemoryBytes: 32 << 30, Slots: 8, Connections: 64}},
			&memAPI{c.entry(name)}, &recordingRunner{upstream: name, log: c.runs}, c.clock)
		c.agents = append(c.agents, agent)
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			if err := agent.Run(c.ctx); err != nil && !errors.Is(err, context.Canceled) {
				c.t.Errorf("upstream %s: %v", name, err)
			}
		}()
	}
}

// memAPI is upstream.API on an entry in memory.
type memAPI struct{ entry *entry.Server }

func (a *memAPI) Announce(ctx context.Context, req *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error) {
	r := connect.NewRequest(req)
	r.Header().Set("Authorization", "Bearer "+upstreamKey)
	resp, err := a.entry.Announce(ctx, r)
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

func (a *memAPI) Poll(ctx context.Context, req *apiv1.PollRequest) (*apiv1.PollResponse, error) {
	r := connect.NewRequest(req)
	r.Header().Set("Authorization", "Bearer "+upstreamKey)
	resp, err := a.entry.Poll(ctx, r)
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// submit hands in a job through an entry and returns its outcome.
func (c *cell) submit(e *entry.Server, req *apiv1.SubmitRequest) (*apiv1.SubmitResponse, error) {
	ctx, cancel := context.WithTimeout(c.ctx, openCallTime)
	defer cancel()
	r := connect.NewRequest(req)
	r.Header().Set("Authorization", "Bearer "+callerKey)
	resp, err := e.Submit(ctx, r)
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// wait waits for a job's end.
func (c *cell) wait(e *entry.Server, id uint64, limit time.Duration) (*apiv1.JobView, error) {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		r := connect.NewRequest(&apiv1.WaitRequest{Job: &apiv1.JobRef{JobId: id}, MaxWaitMs: 1000})
		r.Header().Set("Authorization", "Bearer "+callerKey)
		resp, err := e.Wait(c.ctx, r)
		if err == nil && resp.Msg.GetEnded() {
			return resp.Msg.GetJob(), nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, errors.Errorf("job %d has not ended within %s", id, limit)
}

// runLog is the history of what ran where.
type runLog struct {
	mu   sync.Mutex
	runs []run
}

// run is one execution of an attempt on an upstream.
type run struct {
	task     upstream.Task
	upstream string
	from, to time.Time
}

func (l *runLog) begin(t upstream.Task, on string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, run{task: t, upstream: on, from: time.Now()})
	return len(l.runs) - 1
}

func (l *runLog) end(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[i].to = time.Now()
}

func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

// recordingRunner runs each task for the time that its payload names.
type recordingRunner struct {
	upstream string
	log      *runLog
}

func (r *recordingRunner) Run(ctx context.Context, t upstream.Task) upstream.Result {
	i := r.log.begin(t, r.upstream)
	defer r.log.end(i)
	d, err := time.ParseDuration(string(t.Payload))
	if err != nil {
		return upstream.Result{State: apiv1.ReportState_REPORT_STATE_FAILED, Detail: err.Error()}
	}
	select {
	case <-time.After(d):
		return upstream.Result{State: apiv1.ReportState_REPORT_STATE_SUCCEEDED, Body: t.Payload}
	case <-ctx.Done():
		return upstream.Result{State: apiv1.ReportState_REPORT_STATE_STOPPED}
	}
}

// memForwarder carries calls of an entry over the network in memory.
type memForwarder struct {
	net  *network
	from string
}

func (f *memForwarder) Forward(ctx context.Context, address string, req *peerv1.ForwardRequest) (*peerv1.ForwardResponse, bool, error) {
	return f.net.call(ctx, f.from, address, req)
}
