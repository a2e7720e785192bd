package soak

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// exchanges is the number of replicas that are exchanged one after the other.
	exchanges = 2
	// exchangeTime is the time between two exchanges: a silent voter is replaced after 2.5 s, and the successor
	// of a removed machine has 4 s to catch up. A new leader counts the silence of a voter anew, so the time counts
	// from the beginning of the last leadership, if that is later.
	exchangeTime = 10 * time.Second
)

// TestExchangedReplicas runs seeds in which replicas are removed for good, with or without a request to end,
// and others with empty disks come in their place at new addresses.
func TestExchangedReplicas(t *testing.T) {
	binary := buildDaemon(t)
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, binary, seed, (*run).exchangeReplicas) })
	}
}

// exchangeReplicas exchanges some replicas, each while another one pauses, and then removes two of the
// first ones at once: what is left has a quorum only if the new replicas vote.
func (r *run) exchangeReplicas(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 200))
	order := rng.Perm(replicas)
	for i := range exchanges {
		removed, paused := r.nodes[order[i]], r.nodes[order[i+1]]
		with := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[rng.IntN(2)]
		r.t.Logf("removing %s with %v while %s pauses", removed.name, with, paused.name)
		var pause sync.WaitGroup
		pause.Go(func() { pauseNode(paused, time.Duration(500+rng.IntN(2500))*time.Millisecond) })
		removed.terminate(with)
		added := r.addReplica(i)
		pause.Wait()
		time.Sleep(exchangeTime)
		r.awaitExchange(removed, added)
	}
	for _, i := range order[exchanges : exchanges+2] {
		r.nodes[i].terminate(syscall.SIGKILL)
	}
}

// awaitExchange waits until an added replica votes in place of a removed one. That must not take longer than
// exchangeTime since the last leadership began.
func (r *run) awaitExchange(removed, added *node) {
	r.t.Helper()
	for until := time.Now().Add(voterTimeout); ; time.Sleep(50 * time.Millisecond) {
		roles := r.memberRoles(added)
		if roles[r.address(added, 3)] == "voter" && roles[r.address(removed, 3)] != "voter" {
			return
		}
		if leads := time.Since(r.lastLeadership()); leads > exchangeTime || time.Now().After(until) {
			r.t.Fatalf("%s does not vote in place of %s although a leadership began %v ago: %v", added.name, removed.name, leads, roles)
		}
	}
}

// addReplica starts a replica with an empty disk at an address that was not used before.
func (r *run) addReplica(number int) *node {
	n := &node{name: fmt.Sprintf("replica-%d", replicas+number), ip: fmt.Sprintf("127.0.%d.%d", r.subnet, 10+replicas+entries+number)}
	n.config, n.log = filepath.Join(r.dir, n.name+".ini"), filepath.Join(r.dir, n.name+".log")
	r.added = append(r.added, n)
	r.writeSettings(n, false)
	r.start(n)
	return n
}
