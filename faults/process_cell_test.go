package faults

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/client"
	"github.com/bulrushwinch/bulrushwinch/internal/relay"
	"github.com/bulrushwinch/bulrushwinch/lease"
	"github.com/bulrushwinch/bulrushwinch/resource"
	"github.com/bulrushwinch/bulrushwinch/upstream"
)

const (
	// processVMs is the number of VMs, each with one daemon.
	processVMs = 3
	// hangGuard ends a test that would wait for ever; no other verdict depends on it.
	hangGuard    = 3 * time.Minute
	pollInterval = 50 * time.Millisecond
)

// processINI is the format of a daemon's settings: name, failure domain, data folder, IP address,
// peer addresses, and the digest of the operator's key.
const processINI = `[node]
name = %[1]s
failure_domain = %[2]s
roles = entry, replica
data_folder = %[3]s
[listen]
public = %[4]s:7511
peer = %[4]s:7512
admin = %[4]s:7513
[cluster]
replicas = %[5]s
voters = 3
secret_file = cluster.secret
[operator]
key_sha256 = %[6]x
[entry]
drain_delay = 1s
[log]
level = warn
`

// daemonProcess is one VM with its daemon. Its address on loopback is its host.
type daemonProcess struct {
	t        *testing.T
	binary   string
	dir      string
	name     string
	host     string
	cmd      *exec.Cmd
	finished chan struct{}
}

// Addresses of the daemon's listeners for clients and administration, and its data folder.

func (p *daemonProcess) public() string { return p.host + ":7511" }
func (p *daemonProcess) admin() string  { return "http://" + p.host + ":7513" }
func (p *daemonProcess) data() string   { return filepath.Join(p.dir, p.name) }

// start starts the daemon and appends its output to its log.
func (p *daemonProcess) start(args ...string) {
	p.t.Helper()
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	cmd := exec.Command(p.binary, append([]string{"-config", filepath.Join(p.dir, p.name+".ini")}, args...)...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.dir, log, log
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = cmd.Wait()
		_ = log.Close()
	}()
	p.cmd, p.finished = cmd, done
}

// kill ends the process with SIGKILL and waits for its end.
func (p *daemonProcess) kill() {
	_ = p.cmd.Process.Kill()
	<-p.finished
}

// processCell is a cell of real daemons on loopback; its upstreams run in the test's process.
type processCell struct {
	t       *testing.T
	vms     []*daemonProcess
	entries []string
	relays  []*relay.Relay
	history *history
	ctx     context.Context
	wg      sync.WaitGroup
	load    sync.WaitGroup
}

// newProcessCell starts a configured cell. number distinguishes the addresses of cells that run at
// the same time. With relays, callers and upstreams reach the entries through relays whose
// connections can be made silent.
func newProcessCell(t *testing.T, binary string, number int, relays bool) *processCell {
	ctx, cancel := context.WithCancel(context.Background())
	c := &processCell{t: t, history: newHistory(), ctx: ctx}
	dir := t.TempDir()
	t.Cleanup(func() {
		cancel()
		c.wg.Wait()
		for _, vm := range c.vms {
			vm.kill()
		}
		if t.Failed() {
			c.printLogs(dir)
		}
	})
	c.writeSettings(dir, binary, number)
	c.vms[0].start("-bootstrap")
	for _, vm := range c.vms[1:] {
		vm.start()
	}
	for _, vm := range c.vms {
		address := vm.public()
		if relays {
			c.relays = append(c.relays, relay.New(t, address))
			address = c.relays[len(c.relays)-1].Address()
		}
		c.entries = append(c.entries, address)
	}
	c.configure()
	c.awaitVoters()
	c.startWorkers()
	return c
}

// writeSettings writes the settings of the daemons and the cluster's secret.
func (c *processCell) writeSettings(dir, binary string, number int) {
	var hosts, peers []string
	for i := range processVMs {
		// Separate addresses allow several test processes to run at the same time.
		host := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, number, i+1)
		hosts, peers = append(hosts, host), append(peers, host+":7512")
	}
	write := func(name, content string) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600); err != nil {
			c.t.Fatal(err)
		}
	}
	write("cluster.secret", "secret-of-the-process-tests")
	for i, host := range hosts {
		name := fmt.Sprintf("vm%d", i+1)
		write(name+".ini", fmt.Sprintf(processINI, name, testDomains[i], name, host, strings.Join(peers, ", "), grantKey("", "", operatorKey, 0).GetGrantKey().GetKeySha256()))
		c.vms = append(c.vms, &daemonProcess{t: c.t, binary: binary, dir: dir, name: name, host: host})
	}
}

// printLogs logs the last 4000 bytes of each daemon's log.
func (c *processCell) printLogs(dir string) {
	for _, vm := range c.vms {
		data, err := os.ReadFile(filepath.Join(dir, vm.name+".log"))
		if err == nil {
			c.t.Logf("log of %s:\n%s", vm.name, data[max(0, len(data)-4000):])
		}
	}
}

// eventually polls until f returns true, and fails the test after hangGuard.
func (c *processCell) eventually(what string, f func() bool) {
	c.t.Helper()
	for until := time.Now().Add(hangGuard); time.Now().Before(until); time.Sleep(pollInterval) {
		if f() {
			return
		}
	}
	c.t.Fatalf("%s: condition not met within %s", what, hangGuard)
}

// client returns a client of all entries that uses a key.
func (c *processCell) client(key string) *client.Client {
	return client.New(client.Config{Addresses: c.entries, Key: key})
}

// change makes one change, resending it until it is applied, and returns its revision.
func (c *processCell) change(api *client.Client, req *apiv1.ChangeRequest) (revision uint64) {
	c.t.Helper()
	c.eventually("change "+req.GetOperationId(), func() bool {
		ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
		defer cancel()
		resp, err := api.Change(ctx, req)
		revision = resp.GetRevision()
		return err == nil && resp.GetApplied()
	})
	return revision
}

// configure creates the team, queue, keys and failure domains.
func (c *processCell) configure() {
	api := c.client(operatorKey)
	defer api.Close()
	for _, req := range []*apiv1.ChangeRequest{
		putTeam("team-big", 0, &apiv1.Team{Name: bigTeam, Share: 1}),
		putQueue(bigTeam, bigTeam),
		grantKey("big", bigTeam, bigKey, apiv1.KeyRole_KEY_ROLE_CALLER),
		grantKey("upstream", "", upstreamKey, apiv1.KeyRole_KEY_ROLE_UPSTREAM),
		setDomain("in-1", testDomains[0], apiv1.DomainState_DOMAIN_STATE_IN),
		setDomain("in-2", testDomains[1], apiv1.DomainState_DOMAIN_STATE_IN),
		setDomain("in-3", testDomains[2], apiv1.DomainState_DOMAIN_STATE_IN),
	} {
		c.change(api, req)
	}
}

// status returns the leader's status, or nil if there was no answer.
func (c *processCell) status() *apiv1.StatusResponse {
	api := c.client(operatorKey)
	defer api.Close()
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	resp, err := api.Status(ctx, &apiv1.StatusRequest{})
	if err != nil {
		return nil
	}
	return resp
}

// awaitVoters waits for three voters that hold log entries and returns their identities by address.
func (c *processCell) awaitVoters() (voters map[string]uint64) {
	c.t.Helper()
	c.eventually("three voters", func() bool {
		voters = make(map[string]uint64)
		for _, r := range c.status().GetReplicas() {
			if r.GetRole() == "voter" && r.GetMatch() > 0 {
				voters[r.GetAddress()] = r.GetReplicaId()
			}
		}
		return len(voters) == processVMs
	})
	return voters
}

// leader waits until there is a leader and returns its VM, and that of a follower.
func (c *processCell) leader() (leader, other *daemonProcess) {
	c.t.Helper()
	c.eventually("a leader", func() bool {
		leader, other = nil, nil
		for _, r := range c.status().GetReplicas() {
			for _, vm := range c.vms {
				if strings.HasPrefix(r.GetAddress(), vm.host+":") && r.GetLeader() {
					leader = vm
				} else if strings.HasPrefix(r.GetAddress(), vm.host+":") {
					other = vm
				}
			}
		}
		return leader != nil && other != nil
	})
	return leader, other
}

// startWorkers starts the upstream agents.
func (c *processCell) startWorkers() {
	for i := range numWorkers {
		name := fmt.Sprintf("worker-%02d", i)
		c.history.addVM("vm-"+name, resource.FromProto(workerCapacity))
		api := c.client(upstreamKey)
		agent := upstream.New(upstream.Config{Name: name, FailureDomain: testDomains[i%len(testDomains)], Rack: "rack-1", VM: "vm-" + name,
			Capacity: workerCapacity}, api, processRunner{c.history, name}, lease.BootClock{})
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			defer api.Close()
			_ = agent.Run(c.ctx)
		}()
	}
}

// processRunner runs the tasks of one upstream in real time and records each run.
type processRunner struct {
	history *history
	name    string
}

// Run implements upstream.Runner.
func (r processRunner) Run(ctx context.Context, t upstream.Task) upstream.Result {
	wanted, err := parseWork(t.Payload)
	if err != nil {
		return upstream.Result{State: apiv1.ReportState_REPORT_STATE_FAILED, Detail: err.Error()}
	}
	i := r.history.beginRun(run{job: t.Job, index: t.Index, attempt: t.Attempt, upstream: r.name, vm: "vm-" + r.name, work: wanted,
		reserved: resource.FromProto(t.Resources)})
	defer r.history.endRun(i)
	sleepOrDone(ctx, wanted.runTime)
	if ctx.Err() != nil {
		return upstream.Result{State: apiv1.ReportState_REPORT_STATE_STOPPED}
	}
	return upstream.Result{State: apiv1.ReportState_REPORT_STATE_SUCCEEDED, Body: answerOf(t.Payload, t.Index)}
}

// submitJobs submits jobs in the background, 100 ms apart; every third may not be repeated.
func (c *processCell) submitJobs(prefix string, jobs int) {
	for i := range jobs {
		j := job{request: fmt.Sprintf("%s-%d", prefix, i), key: bigKey, queue: bigTeam, tasks: 2, runTime: 700 * time.Millisecond, once: i%3 == 2}
		c.load.Add(1)
		go func() {
			defer c.load.Done()
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			c.submitAndWait(j)
		}()
	}
}

// submitAndWait submits a job, waits for its end and records both.
func (c *processCell) submitAndWait(j job) {
	api := c.client(j.key)
	defer api.Close()
	req, payloads := j.submitRequest()
	sub := submission{request: j.request, key: j.key, keyTeam: bigTeam, queueTeam: bigTeam, repeatable: !j.once, payloads: payloads, sent: time.Now()}
	ctx, cancel := context.WithTimeout(c.ctx, hangGuard)
	defer cancel()
	for ctx.Err() == nil {
		resp, err := api.Submit(ctx, req)
		sub.outcome, sub.job = resp.GetOutcome(), resp.GetJobId()
		if err == nil && !worthResending(sub.outcome) {
			break
		}
		req.FirstSend = false
		time.Sleep(resendPause)
	}
	for ctx.Err() == nil && sub.outcome.GetKind() == apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED && sub.end == nil {
		resp, err := api.Wait(ctx, &apiv1.WaitRequest{Job: &apiv1.JobRef{RequestId: j.request, Queue: j.queue}, MaxWaitMs: 3000})
		if err == nil && resp.GetEnded() {
			sub.end = resp.GetJob()
		}
	}
	add(c.history, &c.history.submissions, sub)
}

// finish waits for all submitted jobs and checks every invariant against the history.
func (c *processCell) finish() {
	c.t.Helper()
	c.load.Wait()
	c.history.finish()
	for _, ch := range checks {
		for _, breach := range ch.find(c.history) {
			c.t.Errorf("%s: %s", ch.name, breach)
		}
	}
	if len(c.history.runs) == 0 {
		c.t.Error("no task ran")
	}
}
