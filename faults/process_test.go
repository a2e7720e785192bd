package faults

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1/bulrushwinchv1connect"
	"github.com/bulrushwinch/bulrushwinch/lease"
)

const (
	// loadJobs is the number of jobs of each call of submitJobs.
	loadJobs = 24
	// processChanges is the number of changes before all daemons are restarted.
	processChanges = 500
)

// TestProcesses injects faults into real daemons that communicate over loopback.
func TestProcesses(t *testing.T) {
	red := knownRed(t)
	binary := filepath.Join(t.TempDir(), "bulrushwinchd")
	build := exec.Command("go", "build", "-o", binary, "../cmd/bulrushwinchd")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for i, test := range []struct {
		name   string
		relays bool
		run    func(*processCell)
	}{
		{"leader is killed under load", false, leaderKilled},
		{"leader is stopped for longer than a lease", false, leaderStopped},
		{"connections go silent for good", true, connectionsSilent},
		{"emptied disk comes back as a learner", false, diskEmptied},
		{"log has a torn tail", false, logTorn},
		{"restart after 500 changes", false, restartAfterChanges},
		{"drain under load", false, drainUnderLoad},
	} {
		t.Run(testName(test.name), func(t *testing.T) {
			t.Parallel()
			if red[t.Name()] {
				t.Skip("passed over: listed in KNOWN-RED.txt")
			}
			test.run(newProcessCell(t, binary, i+1, test.relays))
		})
	}
}

// leaderKilled kills the leader under load and restarts it once all jobs have ended.
func leaderKilled(c *processCell) {
	c.submitJobs("before", loadJobs)
	leader, _ := c.leader()
	leader.kill()
	c.submitJobs("after", loadJobs)
	c.load.Wait()
	leader.start()
	c.awaitVoters()
	c.finish()
}

// leaderStopped stops the leader's process with SIGSTOP for longer than a lease, then resumes it.
func leaderStopped(c *processCell) {
	c.submitJobs("before", loadJobs)
	leader, _ := c.leader()
	c.signal(leader, syscall.SIGSTOP)
	time.Sleep(lease.DefaultTerms.Duration + 2*lease.DefaultTerms.StopGrace)
	c.submitJobs("during", loadJobs)
	c.signal(leader, syscall.SIGCONT)
	c.submitJobs("after", loadJobs)
	c.finish()
}

func (c *processCell) signal(vm *daemonProcess, s os.Signal) {
	if err := vm.cmd.Process.Signal(s); err != nil {
		c.t.Fatal(err)
	}
}

// connectionsSilent makes all open connections between clients and entries silent for good.
func connectionsSilent(c *processCell) {
	c.submitJobs("before", loadJobs)
	time.Sleep(time.Second)
	for _, r := range c.relays {
		r.Silence()
	}
	c.submitJobs("after", loadJobs)
	c.finish()
}

// diskEmptied deletes a follower's data folder: the VM returns with a new identity as a learner, and
// becomes a voter only once the old identity is removed.
func diskEmptied(c *processCell) {
	before := c.awaitVoters()
	_, follower := c.leader()
	c.submitJobs("before", loadJobs)
	follower.kill()
	if err := os.RemoveAll(follower.data()); err != nil {
		c.t.Fatal(err)
	}
	follower.start()
	address := follower.host + ":7512"
	old := before[address]
	c.eventually("the VM is a learner under a new identity", func() bool {
		for _, r := range c.status().GetReplicas() {
			if r.GetAddress() == address && r.GetReplicaId() != old {
				if r.GetRole() == "voter" {
					c.t.Error("an emptied disk became a voter while its old identity was one")
				}
				return true
			}
		}
		return false
	})
	api := c.client(operatorKey)
	defer api.Close()
	c.change(api, &apiv1.ChangeRequest{OperationId: "remove-lost", Change: &apiv1.ChangeRequest_Replica{
		Replica: &apiv1.ReplicaChange{ReplicaId: old, Action: apiv1.ReplicaAction_REPLICA_ACTION_REMOVE}}})
	c.eventually("the new identity votes", func() bool {
		after := c.awaitVoters()
		return after[address] != 0 && after[address] != old
	})
	c.submitJobs("after", loadJobs)
	c.finish()
}

// logTorn appends the first bytes of a frame to a follower's log, which is what a crash in the
// middle of a write leaves.
func logTorn(c *processCell) {
	c.submitJobs("before", loadJobs)
	_, follower := c.leader()
	follower.kill()
	segments, err := filepath.Glob(filepath.Join(follower.data(), "segment-*"))
	if err != nil || len(segments) == 0 {
		c.t.Fatalf("segments: %v %v", segments, err)
	}
	newest := slices.Max(segments)
	data, err := os.ReadFile(newest)
	if err != nil {
		c.t.Fatal(err)
	}
	const torn = 11 // bytes
	if err := os.WriteFile(newest, append(data, data[:min(torn, len(data))]...), 0o600); err != nil {
		c.t.Fatal(err)
	}
	before := c.status().GetAppliedIndex()
	follower.start()
	c.eventually("the torn replica has caught up", func() bool {
		for _, r := range c.status().GetReplicas() {
			if r.GetAddress() == follower.host+":7512" && r.GetMatch() >= before && r.GetRole() == "voter" {
				return true
			}
		}
		return false
	})
	c.submitJobs("after", loadJobs)
	c.finish()
}

// restartAfterChanges kills all daemons at once after many changes, and expects the last change to be
// in force on each of them after the restart.
func restartAfterChanges(c *processCell) {
	api := c.client(operatorKey)
	defer api.Close()
	var last uint64
	for i := range processChanges {
		last = c.change(api, putTeam(fmt.Sprintf("change-%d", i), 0, &apiv1.Team{Name: raceTeam, Share: int64(i + 1)}))
	}
	for _, vm := range c.vms {
		_ = vm.cmd.Process.Kill()
	}
	for _, vm := range c.vms {
		<-vm.finished
		vm.start()
	}
	c.awaitVoters()
	st := c.status()
	for _, team := range st.GetTeams() {
		if team.GetTeam().GetName() == raceTeam && team.GetTeam().GetShare() != processChanges {
			c.t.Errorf("share %d after %d changes", team.GetTeam().GetShare(), processChanges)
		}
	}
	for _, vm := range c.vms {
		c.eventually(vm.name+" is ready under the last revision", func() bool { return vm.ready() && vm.revision() >= last })
	}
	if st.GetRevision() < last {
		c.t.Errorf("revision %d after revision %d was accepted", st.GetRevision(), last)
	}
	c.submitJobs("after", loadJobs)
	c.finish()
}

// ready reports whether the daemon's readiness check succeeds.
func (p *daemonProcess) ready() bool {
	resp, err := http.Get(p.admin() + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// revision returns the revision in force at the daemon, or 0 if it does not answer.
func (p *daemonProcess) revision() uint64 {
	resp, err := http.Get(p.admin() + "/debug/vars")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var vars struct {
		Revision uint64 `json:"revision_in_force"`
	}
	if json.NewDecoder(resp.Body).Decode(&vars) != nil {
		return 0
	}
	return vars.Revision
}

// drainUnderLoad ends the leader with SIGTERM while callers have Wait calls open on it. Like a load
// balancer, callers send no new call once the VM is not ready; every call that they sent must get
// an answer.
func drainUnderLoad(c *processCell) {
	leader, _ := c.leader()
	c.submitJobs("load", loadJobs)
	api := bulrushwinchv1connect.NewCallerServiceClient(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, "http://"+leader.public())
	var callers sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	var terminated atomic.Bool
	began := make(chan struct{}, 16)
	for i := range cap(began) {
		callers.Go(func() {
			for n := 0; !terminated.Load() || leader.ready(); n++ {
				req := withKey(&apiv1.WaitRequest{MaxWaitMs: 2000, Job: &apiv1.JobRef{RequestId: fmt.Sprintf("load-%d", i%3), Queue: bigTeam}}, bigKey)
				_, err := api.Wait(c.ctx, req)
				if aborted(err) {
					c.t.Errorf("call %d of caller %d got no answer: %v", n, i, err)
				}
				mu.Lock()
				answered++
				mu.Unlock()
				if n == 0 {
					began <- struct{}{}
				}
			}
		})
	}
	for range cap(began) {
		<-began
	}
	terminated.Store(true)
	c.signal(leader, syscall.SIGTERM)
	callers.Wait()
	select {
	case <-leader.finished:
	case <-time.After(hangGuard):
		c.t.Fatalf("the daemon still runs %s after SIGTERM", hangGuard)
	}
	if code := leader.cmd.ProcessState.ExitCode(); code != 0 {
		c.t.Errorf("the drained daemon exited with code %d", code)
	}
	if answered < cap(began) {
		c.t.Errorf("only %d calls were answered", answered)
	}
	c.submitJobs("after", loadJobs)
	c.finish()
	leader.start()
}

// aborted reports whether a call ended without an answer from the system.
func aborted(err error) bool {
	var answer *connect.Error
	return err != nil && !errors.Is(err, context.Canceled) && (!errors.As(err, &answer) || !connect.IsWireError(err))
}
