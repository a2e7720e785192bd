package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// frozenOrderSeed selects the addresses of TestFrozenReplicaCarriesOutNoOldOrder.
const frozenOrderSeed = 77

// TestFrozenReplicaCarriesOutNoOldOrder sends an order on a failure domain to a frozen replica, as an operator does that
// goes to the next replica after a second, and gives later orders before the replica wakes. The old one must not
// undo them: tasks would start in an evacuated failure domain.
func TestFrozenReplicaCarriesOutNoOldOrder(t *testing.T) {
	r := &run{cell: newCell(t, buildDaemon(t), frozenOrderSeed), client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, n := range r.nodes[:replicas] {
		r.start(n)
	}
	t.Cleanup(func() {
		for _, n := range r.nodes[:replicas] {
			n.terminate(syscall.SIGKILL)
		}
	})
	for _, frozen := range r.nodes[:3] {
		next := r.nodes[replicas-1]
		r.mustOrderDomain(next, http.MethodPost)
		r.freeze(frozen)
		if status, _ := r.call(http.MethodDelete, r.address(frozen, 1), "/api/evacuation/prado", "", ""); status != 0 {
			t.Fatalf("the frozen replica answered with %d", status)
		}
		r.mustOrderDomain(next, http.MethodDelete)
		r.mustOrderDomain(next, http.MethodPost)
		_ = frozen.command.Process.Signal(syscall.SIGCONT)
		// Far longer than a replica that has woken takes to read its sockets and to pass a call on.
		time.Sleep(time.Second)
		if !r.domainOut() {
			t.Errorf("the failure domain is in service, against the last acknowledged order; %s was frozen", frozen.name)
		}
	}
}

// freezeTimeout bounds the time in which the threads of a process stop.
const freezeTimeout = 10 * time.Second

// freeze stops a node's process and waits until all its threads have stopped: the signal takes effect once one of them
// has taken it, and until then the others go on and may answer.
func (r *run) freeze(n *node) {
	r.t.Helper()
	_ = n.command.Process.Signal(syscall.SIGSTOP)
	for until := time.Now().Add(freezeTimeout); !isFrozen(n.command.Process.Pid); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			r.t.Fatalf("%s has not stopped", n.name)
		}
	}
}

// isFrozen reports whether all threads of a process are stopped.
func isFrozen(pid int) bool {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, path := range threads {
		data, err := os.ReadFile(path)
		if err != nil {
			return false
		}
		// The state follows the name of the program, which is in parentheses and may hold any character.
		_, state, _ := strings.Cut(string(data[bytes.LastIndexByte(data, ')')+1:]), " ")
		if !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return len(threads) > 0
}

// mustOrderDomain sends an order on the failure domain to a replica until it is acknowledged.
func (r *run) mustOrderDomain(n *node, method string) {
	r.t.Helper()
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if status, _ := r.call(method, r.address(n, 1), "/api/evacuation/prado", "", ""); status == http.StatusOK {
			return
		}
	}
	r.t.Fatalf("%s was not acknowledged", method)
}

// domainOut reports what the last change of the failure domain was, by the logs of all replicas.
func (r *run) domainOut() bool { return r.lastLine("failure domain changed").Out }

// logLine is a line of a node's log.
type logLine struct {
	Message string `json:"message"`
	Time    int64  `json:"time"` // Unix time in milliseconds.
	Out     bool   `json:"out"`
}

// lastLine returns the newest line with a message in the logs of all replicas.
func (r *run) lastLine(message string) (last logLine) {
	for _, n := range slices.Concat(r.nodes[:replicas], r.added) {
		f, err := os.Open(n.log)
		if err != nil {
			r.t.Fatal(err)
		}
		for s := bufio.NewScanner(f); s.Scan(); {
			var line logLine
			if json.Unmarshal(s.Bytes(), &line) == nil && line.Message == message && line.Time >= last.Time {
				last = line
			}
		}
		_ = f.Close()
	}
	return last
}
