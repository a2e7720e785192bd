package faults

import (
	"fmt"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
)

const (
	// restartAfter is how long a crashed process stays down.
	restartAfter = 8 * time.Second
	// pauseTime is longer than a lease with its margins.
	pauseTime     = 12 * time.Second
	partitionTime = 20 * time.Second
	disturbTime   = 20 * time.Second
	// disturbShare is the share of messages that are duplicated or delayed in disturbTime.
	disturbShare      = 0.25
	lostAnswersInARow = 4
	// waveJobs is the number of jobs that a cancellation wave submits and cancels.
	waveJobs             = 60
	changesBeforeRestart = 300
)

// fault is a column of the matrix. inject must not block: it acts at once and leaves what
// follows later to cell.heal.
type fault struct {
	name   string
	inject func(c *cell, e event)
	// prepare runs before the load starts.
	prepare func(c *cell)
	// onDisk selects data folders with real logs instead of in-memory disks.
	onDisk bool
	// losesDisk marks a fault that is not combined with another loss of a disk.
	losesDisk bool
	// failsWork marks a fault after which jobs may end as failed.
	failsWork bool
}

// columns are the faults of the matrix. TestPairs relies on the first six: they lose no disk and can
// be injected more than once in a run.
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
	{name: "partition both ways", inject: func(c *cell, e event) { c.isolate(c.leaderAt(e), true, true) }},
	{name: "partition one way in", inject: func(c *cell, e event) { c.isolate(c.leaderAt(e), true, false) }},
	{name: "partition one way out", inject: func(c *cell, e event) { c.isolate(c.leaderAt(e), false, true) }},
	{name: "connections silent for good", inject: func(c *cell, e event) { c.net.silence(c.leaderAt(e).address) }},
	{name: "answers lost and calls resent", inject: answersLost},
	{name: "messages duplicated, late, crossed", inject: disturbNetwork},
	{name: "operators race", inject: operatorsRace},
	{name: "restart after hundreds of changes", prepare: hundredsOfChanges, inject: restartAll},
	{name: "cancellation wave", inject: cancellationWave},
	{name: "worker fails all", failsWork: true, inject: workerFails},
	{name: "sizes far off", inject: sizesFarOff},
	{name: "torn log tail", onDisk: true, inject: tornTail},
}

// crashFor crashes a replica and restarts it after d.
func (c *cell) crashFor(r *memReplica, d time.Duration) {
	c.crash(r)
	c.heal(d, func() { c.restart(r) })
}

// loseVM crashes a replica for good, with its disk, repairs the raft group after 2 s and calls
// afterRepair unless it is nil. While another repair runs, the loss is put off until that has
// ended: three voters survive the loss of one disk at a time.
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

// endLoss repairs the group after the loss of a VM and releases c.repairing.
func (c *cell) endLoss(r *memReplica, afterRepair func()) {
	c.repair(r)
	<-c.repairing
	if afterRepair != nil {
		afterRepair()
	}
}

// entryDies crashes an entry and restarts it after restartAfter.
func entryDies(c *cell, _ event) {
	e := c.entries[0]
	e.crash()
	c.heal(restartAfter, e.restart)
}

// workerAt returns the upstream of an event, else the one that began the latest unfinished run,
// else the first worker.
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

// upstreamDies crashes an upstream with its tasks and restarts it after restartAfter.
func upstreamDies(c *cell, e event) {
	w := c.workerAt(e)
	w.crash()
	c.heal(restartAfter, func() {
		c.history.recordReturn(w.name)
		w.restart()
	})
}

// recordReturn records that a new process of an upstream accepts work again.
func (h *history) recordReturn(upstream string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.departures {
		if h.departures[i].upstream == upstream {
			closeSpan(&h.departures[i].span)
		}
	}
}

// leaderPauses pauses the leader's process for pauseTime.
func leaderPauses(c *cell, e event) {
	r := c.leaderAt(e)
	c.freeze(r)
	c.heal(pauseTime, r.gate.open)
}

// upstreamPauses pauses an upstream's VM for pauseTime.
func upstreamPauses(c *cell, e event) {
	w := c.workerAt(e)
	w.gate.shut()
	resume := c.history.pause(w.name)
	c.heal(pauseTime, func() {
		w.gate.open()
		resume()
	})
}

// isolate partitions one replica for partitionTime, in the given directions: on even seeds from
// all processes, on odd ones from the other replicas only, so that entries still reach it.
func (c *cell) isolate(r *memReplica, in, out bool) {
	peers := []string{anyProcess}
	if c.seed%2 == 1 {
		peers = c.replicaAddresses()
	}
	set := func(blocked bool) {
		for _, p := range peers {
			if in {
				c.net.setBlocked(p, r.address, blocked)
			}
			if out {
				c.net.setBlocked(r.address, p, blocked)
			}
		}
	}
	set(true)
	c.heal(partitionTime, func() { set(false) })
}

// answersLost loses the next answers, on the hop that the seed selects.
func answersLost(c *cell, _ event) {
	c.net.loseAnswers(hop(c.seed%2), lostAnswersInARow)
}

// disturbNetwork duplicates, delays and reorders messages for disturbTime.
func disturbNetwork(c *cell, _ event) {
	c.net.setDisturbedShare(disturbShare)
	c.heal(disturbTime, func() { c.net.setDisturbedShare(0) })
}

// operatorsRace starts three races between operators, 300 ms apart.
func operatorsRace(c *cell, _ event) {
	for i := range 3 {
		c.heal(time.Duration(i)*300*time.Millisecond, func() { c.race(fmt.Sprintf("fault-%d", i)) })
	}
}

// hundredsOfChanges makes changesBeforeRestart changes of the configuration.
func hundredsOfChanges(c *cell) {
	for i := range changesBeforeRestart {
		c.change(5, putTeam(fmt.Sprintf("many-%d", i), 0, &apiv1.Team{Name: raceTeam, Share: int64(i + 1)}))
	}
}

// restartAll crashes all replicas at once and restarts them after 1 s.
func restartAll(c *cell, _ event) {
	for _, r := range c.live() {
		c.crashFor(r, time.Second)
	}
}

// cancellationWave submits many jobs and cancels the whole queue four times while they start.
func cancellationWave(c *cell, _ event) {
	l := &load{c: c}
	for i := range waveJobs {
		j := job{request: fmt.Sprintf("wave-%d", i), key: bigKey, queue: waveQueue, tasks: 2, runTime: 4 * time.Second, cancelled: true}
		c.heal(time.Duration(i)*10*time.Millisecond, func() { l.submitAndWait(j) })
	}
	for i := range 4 {
		c.heal(time.Duration(1+i)*700*time.Millisecond, func() {
			l.cancel(bigKey, &apiv1.CancelRequest{Queue: waveQueue, WholeQueue: true})
		})
	}
}

// workerFails makes an upstream fail every task that it starts from now on.
func workerFails(c *cell, e event) { c.workerAt(e).failing.Store(true) }

// sizesFarOff submits a job that no VM can ever run, one that takes far longer than declared, and
// one that takes far less time than declared.
func sizesFarOff(c *cell, _ event) {
	l := &load{c: c}
	c.heal(0, func() {
		l.submitAndWait(job{request: "hopeless", key: bigKey, queue: bigTeam, tasks: 1, runTime: time.Second, accelerators: 1000, cancelled: true})
	})
	c.heal(0, func() {
		l.submitAndWait(job{request: "slow", key: bigKey, queue: bigTeam, tasks: 4, runTime: 10 * time.Second, expected: 100 * time.Millisecond})
	})
	c.heal(0, func() {
		l.submitAndWait(job{request: "too-big-an-estimate", key: bigKey, queue: bigTeam, tasks: 2, runTime: 100 * time.Millisecond, expected: time.Hour, cores: 4000})
	})
}

// tornTail crashes the leader in its next write to the log, so that only half of the
// write is on disk.
func tornTail(c *cell, e event) {
	r := c.leaderAt(e)
	r.disk.tearNextWrite(func() { c.crashFor(r, restartAfter) })
}
