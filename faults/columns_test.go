package faults

import (
	"fmt"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
)

const (
	restartAfter = 8 * time.Second
	// pauseTime is longer than a lease with its margins.
	pauseTime     = 12 * time.Second
	partitionTime = 20 * time.Second
	disturbTime   = 20 * time.Second
	disturbShare  = 0.25
	lostInARow    = 4
	waveJobs      = 60
	manyChanges   = 300
)

// fault is a column of the matrix. inject must not block: it acts at once and leaves the
// rest to cell.heal.
type fault struct {
	name   string
	inject func(c *cell, e event)
	// prepare runs before the load starts.
	prepare func(c *cell)
	// onDisk asks for data folders with real logs.
	onDisk bool
	// losesDisk and failsWork limit what is combined and what is expected.
	losesDisk bool
	failsWork bool
}

var columns = []fault{
	{name: "leader dies", inject: func(c *cell, e event) { c.crashFor(c.leaderAt(e), restartAfter) }},
	{name: "follower dies", inject: func(c *cell, e event) { c.crashFor(c.followerAt(e), restartAfter) }},
	{name: "entry dies", inject: entryDies},
	{name: "upstream dies", inject: upstreamDies},
	{name: "leader pauses", inject: leaderPauses},
	{name: "upstream pauses", inject: upstreamPauses},
	{name: "VM lost with its disk", losesDisk: true, inject: func(c *cell, e event) { c.loseVM(c.leaderAt(e), nil) }},
	{name: "second VM lost after the repair", losesDisk: true, inject: func(c *cell, e event) {
		c.loseVM(c.leaderAt(e), func() { c.loseVM(c.leaderAt(event{}), nil) })
	}},
	{name: "partition both ways", inject: func(c *cell, e event) { c.cutOff(c.leaderAt(e), true, true) }},
	{name: "partition one way in", inject: func(c *cell, e event) { c.cutOff(c.leaderAt(e), true, false) }},
	{name: "partition one way out", inject: func(c *cell, e event) { c.cutOff(c.leaderAt(e), false, true) }},
	{name: "connections silent for good", inject: func(c *cell, e event) { c.net.silence(c.leaderAt(e).address) }},
	{name: "answers lost and calls resent", inject: answersLost},
	{name: "messages duplicated, late, crossed", inject: disturbed},
	{name: "operators race", inject: operatorsRace},
	{name: "restart after hundreds of changes", prepare: hundredsOfChanges, inject: restartAll},
	{name: "cancellation wave", inject: cancellationWave},
	{name: "worker fails all", failsWork: true, inject: workerFails},
	{name: "sizes far off", inject: sizesFarOff},
	{name: "torn log tail", onDisk: true, inject: tornTail},
}

func (c *cell) crashFor(r *memReplica, d time.Duration) {
	c.crash(r)
	c.heal(d, func() { c.restart(r) })
}

// loseVM loses a VM with its disk and repairs the group. While a repair is under way the
// loss waits for its end: three voters survive the loss of one disk at a time.
func (c *cell) loseVM(r *memReplica, afterRepair func()) {
	select {
	case c.repairing <- struct{}{}:
		c.crash(r)
		c.heal(2*time.Second, func() { c.endLoss(r, afterRepair) })
	default:
		c.heal(0, func() {
			c.repairing <- struct{}{}
			r = c.leaderAt(event{replica: r.address})
			c.crash(r)
			time.Sleep(2 * time.Second)
			c.endLoss(r, afterRepair)
		})
	}
}

// endLoss repairs the group after the loss of a VM.
func (c *cell) endLoss(r *memReplica, afterRepair func()) {
	c.repair(r)
	<-c.repairing
	if afterRepair != nil {
		afterRepair()
	}
}

func entryDies(c *cell, _ event) {
	e := c.entries[0]
	e.crash()
	c.heal(restartAfter, e.restart)
}

// workerAt returns the upstream of an event, or one that has work.
func (c *cell) workerAt(e event) *worker {
	if w := c.worker(e.upstream); w != nil {
		return w
	}
	c.history.mu.Lock()
	defer c.history.mu.Unlock()
	for i := len(c.history.runs) - 1; i >= 0; i-- {
		if r := &c.history.runs[i]; r.spans[len(r.spans)-1].to.IsZero() {
			return c.worker(r.upstream)
		}
	}
	return c.worker("worker-00")
}

func upstreamDies(c *cell, e event) {
	w := c.workerAt(e)
	w.crash()
	c.heal(restartAfter, func() {
		c.history.returned(w.name)
		w.restart()
	})
}

// returned notes that a new process of an upstream wants work again.
func (h *history) returned(upstream string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.leaves {
		if h.leaves[i].upstream == upstream {
			closeSpan(&h.leaves[i].span)
		}
	}
}

func leaderPauses(c *cell, e event) {
	r := c.leaderAt(e)
	c.freeze(r)
	c.heal(pauseTime, r.gate.open)
}

func upstreamPauses(c *cell, e event) {
	w := c.workerAt(e)
	w.gate.shut()
	resume := c.history.pause(w.name)
	c.heal(pauseTime, func() {
		w.gate.open()
		resume()
	})
}

// cutOff partitions one replica: on even seeds from all processes, on odd ones from the
// other replicas only, so that entries still reach it.
func (c *cell) cutOff(r *memReplica, in, out bool) {
	peers := []string{everyone}
	if c.seed%2 == 1 {
		peers = c.replicaAddresses()
	}
	set := func(cut bool) {
		for _, p := range peers {
			if in {
				c.net.setCut(p, r.address, cut)
			}
			if out {
				c.net.setCut(r.address, p, cut)
			}
		}
	}
	set(true)
	c.heal(partitionTime, func() { set(false) })
}

func answersLost(c *cell, _ event) {
	c.net.loseAnswers(hop(c.seed%2), lostInARow)
}

func disturbed(c *cell, _ event) {
	c.net.setDisturbed(disturbShare)
	c.heal(disturbTime, func() { c.net.setDisturbed(0) })
}

func operatorsRace(c *cell, _ event) {
	for i := range 3 {
		c.heal(time.Duration(i)*300*time.Millisecond, func() { c.race(fmt.Sprintf("fault-%d", i)) })
	}
}

func hundredsOfChanges(c *cell) {
	for i := range manyChanges {
		c.change(5, putTeam(fmt.Sprintf("many-%d", i), 0, &apiv1.Team{Name: raceTeam, Share: int64(i + 1)}))
	}
}

func restartAll(c *cell, _ event) {
	for _, r := range c.live() {
		c.crashFor(r, time.Second)
	}
}

// cancellationWave hands in many jobs and cancels the whole queue while they start.
func cancellationWave(c *cell, _ event) {
	l := &load{c: c}
	for i := range waveJobs {
		j := job{request: fmt.Sprintf("wave-%d", i), key: bigKey, queue: waveQueue, tasks: 2, runTime: 4 * time.Second, cancelled: true}
		c.heal(time.Duration(i)*10*time.Millisecond, func() { l.do(j) })
	}
	for i := range 4 {
		c.heal(time.Duration(1+i)*700*time.Millisecond, func() {
			l.cancel(bigKey, &apiv1.CancelRequest{Queue: waveQueue, WholeQueue: true})
		})
	}
}

func workerFails(c *cell, e event) { c.workerAt(e).failing.Store(true) }

// sizesFarOff hands in a job that can never run and jobs that take far longer than declared.
func sizesFarOff(c *cell, _ event) {
	l := &load{c: c}
	c.heal(0, func() {
		l.do(job{request: "hopeless", key: bigKey, queue: bigTeam, tasks: 1, runTime: time.Second, accelerators: 1000, cancelled: true})
	})
	c.heal(0, func() {
		l.do(job{request: "slow", key: bigKey, queue: bigTeam, tasks: 4, runTime: 10 * time.Second, expected: 100 * time.Millisecond})
	})
	c.heal(0, func() {
		l.do(job{request: "too-big-an-estimate", key: bigKey, queue: bigTeam, tasks: 2, runTime: 100 * time.Millisecond, expected: time.Hour, cores: 4000})
	})
}

func tornTail(c *cell, e event) {
	r := c.leaderAt(e)
	r.disk.tearNext(func() { c.crashFor(r, restartAfter) })
}
