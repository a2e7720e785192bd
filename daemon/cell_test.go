package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/client"
	"github.com/bulrushwinch/bulrushwinch/config"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

const (
	testUpstreamKey = "the upstreams' key"
	// successTimeout bounds calls that are expected to succeed.
	successTimeout = time.Minute
	testPause      = 20 * time.Millisecond
)

// testCell is a cell of daemons in this process, on loopback ports of its own.
type testCell struct {
	t        *testing.T
	settings []*config.Settings
	daemons  []*Daemon
	stops    []context.CancelFunc
	done     []chan error
	operator string
}

// exampleSettings loads the INI files of an example and returns the operator key that belongs to
// them.
func exampleSettings(t *testing.T, dir string) (list []*config.Settings, operatorKey string) {
	paths, err := filepath.Glob(filepath.Join("../examples", dir, "vm*.ini"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("%s: %v", dir, err)
	}
	for _, path := range paths {
		s, err := config.Load(path)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, s)
	}
	return list, "example-operator-key-of-" + strings.Split(dir, "/")[0]
}

// startCell runs daemons with the given settings, on free ports and with data folders of the
// test. The first one creates the group.
func startCell(t *testing.T, list []*config.Settings, operatorKey string) *testCell {
	c := &testCell{t: t, settings: list, operator: operatorKey}
	renamed := make(map[string]string)
	var open []*Listeners
	for _, s := range list {
		old := s.PeerAddress
		s.PublicAddress, s.PeerAddress, s.AdminAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
		l, err := Listen(s)
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, l)
		s.PublicAddress, s.PeerAddress, s.AdminAddress = l.Public.Addr().String(), l.Peer.Addr().String(), l.Admin.Addr().String()
		renamed[old] = s.PeerAddress
	}
	for i, s := range list {
		for k, address := range s.Replicas {
			s.Replicas[k] = renamed[address]
		}
		if s.DataFolder != "" {
			s.DataFolder = filepath.Join(t.TempDir(), "data")
		}
		c.run(s, open[i], i == 0)
	}
	t.Cleanup(c.stop)
	return c
}

func (c *testCell) run(s *config.Settings, l *Listeners, bootstrap bool) {
	d := New(s, zerolog.Nop())
	d.SetListeners(l)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx, bootstrap) }()
	c.daemons, c.stops, c.done = append(c.daemons, d), append(c.stops, stop), append(c.done, done)
}

func (c *testCell) stop() {
	for _, stop := range c.stops {
		stop()
	}
	for i, done := range c.done {
		if err := <-done; err != nil && !strings.Contains(err.Error(), "context canceled") {
			c.t.Errorf("%s: %v", c.settings[i].Name, err)
		}
	}
}

func (c *testCell) addresses() (out []string) {
	for _, s := range c.settings {
		out = append(out, s.PublicAddress)
	}
	return out
}

func (c *testCell) client(key string, addresses ...string) *client.Client {
	cl := client.New(client.Config{Addresses: addresses, Key: key})
	c.t.Cleanup(cl.Close)
	return cl
}

// until repeats a check until it returns true.
func (c *testCell) until(what string, check func() bool) {
	c.t.Helper()
	for !check() {
		select {
		case <-c.t.Context().Done():
			c.t.Fatalf("never became true: %s", what)
		case <-time.After(testPause):
		}
	}
}

// awaitReady waits until all processes are ready and the group has its voters.
func (c *testCell) awaitReady() {
	c.until("ready", func() bool {
		for _, s := range c.settings {
			if !isReady(s) {
				return false
			}
		}
		return true
	})
	op := c.client(c.operator, c.addresses()...)
	c.until("voters", func() bool {
		st, err := op.Status(c.t.Context(), &apiv1.StatusRequest{})
		voters := 0
		for _, r := range st.GetReplicas() {
			if r.GetRole() == "voter" {
				voters++
			}
		}
		return err == nil && voters >= min(c.settings[0].Voters, len(c.settings[0].Replicas))
	})
}

func isReady(s *config.Settings) bool {
	resp, err := http.Get("http://" + s.AdminAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// setUp creates two teams with a queue and a key each, and starts stand-in upstreams.
func (c *testCell) setUp(domains ...string) {
	op := c.client(c.operator, c.addresses()...)
	list := []*apiv1.ChangeRequest{{Change: grantKeyChange("upstreams", "", testUpstreamKey, apiv1.KeyRole_KEY_ROLE_UPSTREAM)}}
	for _, team := range []string{"a", "b"} {
		list = append(list,
			&apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_PutTeam{PutTeam: &apiv1.Team{Name: team, Share: 1}}},
			&apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_PutQueue{PutQueue: &apiv1.Queue{Name: "queue-" + team, Team: team}}},
			&apiv1.ChangeRequest{Change: grantKeyChange("key-"+team, team, keyOf(team), apiv1.KeyRole_KEY_ROLE_CALLER)})
	}
	for _, d := range domains {
		list = append(list, &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_PutFailureDomain{
			PutFailureDomain: &apiv1.FailureDomain{Name: d, State: apiv1.DomainState_DOMAIN_STATE_IN}}})
	}
	for i, change := range list {
		change.OperationId = fmt.Sprint("set-up-", i)
		resp, err := op.Change(c.t.Context(), change)
		for ; hasNoLeader(err); resp, err = op.Change(c.t.Context(), change) {
			time.Sleep(testPause)
		}
		if err != nil || !resp.GetApplied() {
			c.t.Fatalf("%v: %v %v", change, resp, err)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	c.t.Cleanup(func() { stop(); wg.Wait() })
	standIns := StandIns{Addresses: c.addresses(), Key: testUpstreamKey, Count: 2 * len(domains), Domains: domains,
		Capacity: &apiv1.Resources{MilliCores: 64_000, MemoryBytes: 256 << 30, Slots: 64, Connections: 64}}
	wg.Add(1)
	go func() { defer wg.Done(); _ = standIns.Run(ctx) }()
}

func keyOf(team string) string { return "the key of team " + team }

func jobOf(id, team string) *apiv1.SubmitRequest {
	return &apiv1.SubmitRequest{RequestId: id, Queue: "queue-" + team, Job: &apiv1.JobSpec{Policy: apiv1.Policy_POLICY_BATCH,
		Repeatable: true, Tasks: []*apiv1.TaskSpec{{Payload: []byte(id), Resources: &apiv1.Resources{MilliCores: 100}}}}}
}

// hasNoLeader reports whether an entry refused a call because it had heard of no leader for a while, as on a busy machine
// on which leaderships are lost. The call is then sent again.
func hasNoLeader(err error) bool {
	var refusal *connect.Error
	if !errors.As(err, &refusal) {
		return false
	}
	for _, d := range refusal.Details() {
		if v, err := d.Value(); err == nil {
			if o, ok := v.(*apiv1.Outcome); ok && o.GetReason() == apiv1.Reason_REASON_NO_LEADER {
				return true
			}
		}
	}
	return false
}

// awaitAnswer waits until a job has ended and checks its answer.
func (c *testCell) awaitAnswer(cl *client.Client, req *apiv1.SubmitRequest) {
	for {
		resp, err := cl.Wait(c.t.Context(), &apiv1.WaitRequest{Job: &apiv1.JobRef{RequestId: req.GetRequestId(), Queue: req.GetQueue()}, MaxWaitMs: 5000})
		if hasNoLeader(err) {
			time.Sleep(testPause)
			continue
		}
		if err != nil {
			c.t.Errorf("wait for %s: %v", req.GetRequestId(), err)
			return
		}
		if resp.GetEnded() {
			c.checkAnswer(req, resp.GetJob())
			return
		}
	}
}

func (c *testCell) checkAnswer(req *apiv1.SubmitRequest, j *apiv1.JobView) {
	want := fmt.Sprintf("done: %s #0", req.GetRequestId())
	if got := string(j.GetTasks()[0].GetAnswer().GetBody()); got != want {
		c.t.Errorf("%s: answer %q", req.GetRequestId(), got)
	}
}

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
