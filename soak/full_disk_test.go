package soak

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// fullDiskSeed selects the addresses of TestReplicasWithFullDisksComeBack.
	fullDiskSeed = 78
	// diskFailureTimeout is the time in which a replica that can't write ends its process.
	diskFailureTimeout = 10 * time.Second
)

// TestReplicasWithFullDisksComeBack lets the disk of one replica after the other take no more bytes. Each must end its
// process, so that it is started again and takes part; replicas that stayed without their log, and did not end, cost the
// group its quorum one by one.
func TestReplicasWithFullDisksComeBack(t *testing.T) {
	r := &run{cell: newCell(t, buildDaemon(t), fullDiskSeed), client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, n := range r.nodes[:replicas] {
		r.start(n)
	}
	t.Cleanup(func() {
		for _, n := range r.nodes[:replicas] {
			n.terminate(syscall.SIGKILL)
		}
	})
	r.mustOrderDomain(r.nodes[0], http.MethodPost)
	for i, n := range r.nodes[:replicas] {
		other := r.nodes[(i+1)%replicas]
		r.fillDisk(n)
		if !r.endsWithin(n, other, diskFailureTimeout) {
			t.Fatalf("%s has not ended %v after its disk was full", n.name, diskFailureTimeout)
		}
		r.start(n)
		r.mustOrderDomain(other, http.MethodPost)
	}
}

// fillDisk makes all further writes of a node to files fail, as if its disk were full.
func (r *run) fillDisk(n *node) {
	r.t.Helper()
	if err := unix.Prlimit(n.command.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 0, Max: unix.RLIM_INFINITY}, nil); err != nil {
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
