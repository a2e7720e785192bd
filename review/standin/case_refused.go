package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// refusedRounds is the number of times that the leader is killed while a key is taken away.
	refusedRounds = 14
	// refusedCallers is the number of callers that hand in jobs at the same time, pressTime how long they do in a round.
	refusedCallers = 32
	pressTime      = 2 * time.Second
	// callerTries is how often a caller sends a job, tryPause the time between two tries.
	callerTries = 4
	tryPause    = 300 * time.Millisecond
)

// refusedJob: the leader is killed while jobs are handed in with a key, and the operator takes that key away. Rule
// REFUSED: a task starts, and all attempts to hand its job in were rejected.
func refusedJob(c *cell, trouble bool) ([]string, error) {
	if err := c.form("stays", roundKey(0)); err != nil {
		return nil, err
	}
	for round := range refusedRounds {
		if err := c.refusedRound(round, trouble); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	events, err := c.rec.events()
	return startsOfRefused(events), err
}

// roundKey returns the key that is taken away in a round.
func roundKey(round int) string { return fmt.Sprintf("6x73d3zji9n73hh2b%03d", round) }

// refusedRound lets callers hand in jobs, and in the middle kills the leader while the key is taken away. The next round's
// key is granted once the killed replica is back.
func (c *cell) refusedRound(round int, trouble bool) error {
	key, until := roundKey(round), time.Now().Add(pressTime)
	var callers sync.WaitGroup
	for n := range refusedCallers {
		callers.Go(func() {
			for k := n; time.Now().Before(until); k++ {
				c.handIn(k, key)
			}
		})
	}
	time.Sleep(pressTime / 4)
	leader, follower := c.leader(), c.followerIndex()
	changed := make(chan error, 1)
	go func() { changed <- c.configure(config{version: 2 + 2*round, keys: []string{"stays"}}, follower) }()
	if trouble {
		time.Sleep(time.Duration(rand.IntN(5000)) * time.Microsecond)
		c.signal(leader, syscall.SIGKILL, "killed")
	}
	if err := <-changed; err != nil {
		return err
	}
	callers.Wait()
	if trouble {
		if err := c.run(leader); err != nil {
			return err
		}
		time.Sleep(1500 * time.Millisecond)
	}
	return c.configure(config{version: 3 + 2*round, keys: []string{"stays", roundKey(round + 1)}}, 0)
}

// handIn hands a job of one short task in. Without a clear answer, and after a 503, it is sent again.
func (c *cell) handIn(entry int, key string) {
	id := newJobID()
	body := jobBody("100ms", step{Count: 1, CPU: 100, MemMB: 100, EstimateMS: 100})
	for n := range callerTries {
		a := c.callJob(http.MethodPost, entry+n, key, id, body)
		if a.clear() && a.status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(tryPause)
	}
	time.Sleep(10 * time.Millisecond)
}

// startsOfRefused returns the starts of jobs of which all attempts were rejected: each had a 4xx or a 503.
func startsOfRefused(events []event) []string {
	sent, rejected := make(map[string]int), make(map[string][]int)
	for _, e := range events {
		switch {
		case e.What == "sends POST":
			sent[e.Job]++
		case e.What == "answer to POST" && (e.Status/100 == 4 || e.Status == http.StatusServiceUnavailable):
			rejected[e.Job] = append(rejected[e.Job], e.Status)
		}
	}
	var out []string
	for _, e := range events {
		if e.What != "start" {
			continue
		}
		if job := e.Task[:16]; len(rejected[job]) == sent[job] {
			out = append(out, fmt.Sprintf("REFUSED: task %s was started on %s, and the %d attempts to hand its job in were answered with %v",
				e.Task, e.Who, sent[job], rejected[job]))
		}
	}
	return out
}
