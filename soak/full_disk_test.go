package soak

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// fullDiskSeed selects the addresses of TestReplicasWithFullDisksComeBack.
	fullDiskSeed = 78
	// failedLogSeed selects the addresses of TestReplicasWithFailedLogsComeBack.
	failedLogSeed = 79
	// startOnFullDiskSeed selects the addresses of TestReplicasStartOnFullDisks.
	startOnFullDiskSeed = 80
	// diskFailureTimeout is the time in which a replica notices that it can't write, or can write again.
	diskFailureTimeout = 10 * time.Second
	// fullDiskTime is how long a replica must go on with a full disk.
	fullDiskTime = 2 * time.Second
)

// TestReplicasWithFullDisksComeBack lets the disk of one replica after the other take no more bytes. Each must stay up
// while the others serve, also if it led, and take part again once its disk takes bytes, without a restart. Replicas that
// stayed without their log, and did not come back, cost the group its quorum one by one.
func TestReplicasWithFullDisksComeBack(t *testing.T) {
	r := newFullDiskRun(t, fullDiskSeed)
	for i, n := range r.nodes[:replicas] {
		other := r.nodes[(i+1)%replicas]
		r.limitFiles(n, 0)
		for until := time.Now().Add(diskFailureTimeout); r.spaceWaits(n) != 1; {
			r.mustOrderDomain(other, http.MethodPost)
			if time.Now().After(until) {
				t.Fatalf("%s does not wait for space %v after its disk was full", n.name, diskFailureTimeout)
			}
		}
		for until := time.Now().Add(fullDiskTime); time.Now().Before(until); {
			r.mustOrderDomain(other, http.MethodPost)
		}
		if r.spaceWaits(n) != 1 {
			t.Fatalf("%s does not answer, or does not wait for space, while its disk is full", n.name)
		}
		r.limitFiles(n, unix.RLIM_INFINITY)
		r.awaitSpaceWaits(n, 0)
		r.mustOrderDomain(other, http.MethodPost)
	}
	// The first replicas that had full disks have to make the quorum now.
	for _, n := range r.nodes[replicas/2+1 : replicas] {
		n.terminate(syscall.SIGKILL)
	}
	r.mustOrderDomain(r.nodes[0], http.MethodPost)
	for _, n := range r.nodes[:replicas/2+1] {
		select {
		case <-n.ended:
			t.Errorf("%s has ended", n.name)
		default:
		}
	}
}

// TestReplicasStartOnFullDisks starts all replicas of a new group, and then one with a log, on disks that take no bytes.
// They must wait and start without another process once their disks take bytes: a process that ends is started again
// and again, each time with a wait for its peers.
func TestReplicasStartOnFullDisks(t *testing.T) {
	r := &run{cell: newCell(t, buildDaemon(t), startOnFullDiskSeed), client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	t.Cleanup(func() {
		for _, n := range r.nodes[:replicas] {
			n.terminate(syscall.SIGKILL)
		}
	})
	r.startOnFullDisks(r.nodes[:replicas])
	r.mustOrderDomain(r.nodes[0], http.MethodPost)
	r.nodes[0].terminate(syscall.SIGKILL)
	r.startOnFullDisks(r.nodes[:1])
	for _, n := range r.nodes[replicas/2+1 : replicas] {
		n.terminate(syscall.SIGKILL)
	}
	r.mustOrderDomain(r.nodes[0], http.MethodPost)
}

// startOnFullDisks starts nodes on full disks, and lets the disks take bytes once all of them wait.
func (r *run) startOnFullDisks(nodes []*node) {
	r.t.Helper()
	for _, n := range nodes {
		n.fullDisk = true
		r.start(n)
	}
	for _, n := range nodes {
		r.awaitSpaceWaits(n, 1)
	}
	for _, n := range nodes {
		r.limitFiles(n, unix.RLIM_INFINITY)
	}
	for _, n := range nodes {
		r.awaitSpaceWaits(n, 0)
	}
}

// awaitSpaceWaits waits until the metric log_waits_for_space of a node has a value.
func (r *run) awaitSpaceWaits(n *node, want int) {
	r.t.Helper()
	for until := time.Now().Add(diskFailureTimeout); r.spaceWaits(n) != want; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			r.t.Fatalf("log_waits_for_space of %s is %d, expected %d, after %v", n.name, r.spaceWaits(n), want, diskFailureTimeout)
		}
	}
}

// TestReplicasWithFailedLogsComeBack fails the log of one replica after the other: its disk takes no more bytes, and the
// remains of a write can't be cut off. Each must end its process, so that it is started again and takes part;
// replicas that stayed without their log, and did not end, cost the group its quorum one by one. A replica that is still
// opening its log, or installing its first snapshot, is not tested here: it writes new files, whose remains can be removed.
func TestReplicasWithFailedLogsComeBack(t *testing.T) {
	r := newFullDiskRun(t, failedLogSeed)
	for i, n := range r.nodes[:replicas] {
		other := r.nodes[(i+1)%replicas]
		r.awaitVoters(n, n)
		segments, err := filepath.Glob(filepath.Join(r.dir, n.name, "segment-*.log"))
		if err != nil || len(segments) == 0 {
			t.Fatalf("no segments of %s: %v", n.name, err)
		}
		newest := slices.Max(segments)
		if err := os.Rename(newest, newest+".away"); err != nil {
			t.Fatal(err)
		}
		r.limitFiles(n, 0)
		if !r.endsWithin(n, other, diskFailureTimeout) {
			t.Fatalf("%s has not ended %v after its log had failed", n.name, diskFailureTimeout)
		}
		if err := os.Rename(newest+".away", newest); err != nil {
			t.Fatal(err)
		}
		r.start(n)
		r.mustOrderDomain(other, http.MethodPost)
	}
}

// newFullDiskRun starts all replicas and waits until they serve.
func newFullDiskRun(t *testing.T, seed uint64) *run {
	r := &run{cell: newCell(t, buildDaemon(t), seed), client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, n := range r.nodes[:replicas] {
		r.start(n)
	}
	t.Cleanup(func() {
		for _, n := range r.nodes[:replicas] {
			n.terminate(syscall.SIGKILL)
		}
	})
	r.mustOrderDomain(r.nodes[0], http.MethodPost)
	return r
}

// spaceWaits returns the metric log_waits_for_space of a node, or -1 if it does not answer.
func (r *run) spaceWaits(n *node) int {
	status, body := r.call(http.MethodGet, r.address(n, 4), "/debug/vars", "", "")
	var vars struct {
		Waits *int `json:"log_waits_for_space"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(body), &vars) != nil || vars.Waits == nil {
		return -1
	}
	return *vars.Waits
}

// limitFiles makes all writes of a node beyond a size of its files fail before they begin, as if its disk were full.
func (r *run) limitFiles(n *node, size uint64) {
	r.t.Helper()
	if err := unix.Prlimit(n.command.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: size, Max: unix.RLIM_INFINITY}, nil); err != nil {
		r.t.Fatal(err)
	}
}

// endsWithin gives orders through another node until a node has ended, and reports whether it did in time.
func (r *run) endsWithin(n, other *node, timeout time.Duration) bool {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		select {
		case <-n.ended:
			return true
		default:
			r.call(http.MethodPost, r.address(other, 1), "/api/evacuation/prado", "", "")
		}
	}
	return false
}
