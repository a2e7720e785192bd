// Command trial runs one case of the review against the programs of the deploy file, with stand-ins for the
// clients, the workers, the permit service and the platform. It exits with 1 if a rule was broken, 0 if all held and
// 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Results of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// caseTimeout bounds a case, so that its processes end within two minutes.
const caseTimeout = 105 * time.Second

// trial is a case that runs.
type trial struct {
	*cell
	// trouble is set unless the case runs without its disruption.
	trouble bool
	started int
}

// cases are all cases by name.
var cases = map[string]func(*trial) error{
	"gang":    gangAfterCrash,
	"filler":  fillerAfterLoss,
	"beat":    foreignHeartbeat,
	"foreign": foreignEntry,
	"percent": slowStartup,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial CASE RECORD")
		os.Exit(notRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs a case and returns its result.
func runCase(name, record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	dir, err := os.MkdirTemp("", "trial")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println("logs:", dir)
		}
	}()
	binary, err := filepath.Abs("target/bulrushwinchd")
	if err != nil {
		return notRun
	}
	c, err := newCell(w, binary, dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	t := &trial{cell: c, trouble: os.Getenv("TROUBLE") != "0"}
	w.note("case %s, trouble %t", name, t.trouble)
	stop := make(chan struct{})
	go w.live(stop)
	for _, n := range c.nodes {
		if err = c.start(n); err != nil {
			break
		}
	}
	if err == nil {
		err = within(caseTimeout, func() error { return cases[name](t) })
	}
	c.stop()
	close(stop)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return notRun
	case len(w.broken) > 0:
		w.note("result: broken")
		fmt.Println("broken:", w.broken[0])
		return broken
	}
	w.note("result: held")
	fmt.Println("held")
	return held
}

// within returns the result of f, or an error if it takes too long or this program is told to end.
func within(timeout time.Duration, f func() error) error {
	done, signals := make(chan error, 1), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { done <- f() }()
	select {
	case err := <-done:
		return err
	case s := <-signals:
		return fmt.Errorf("the case was ended: %s", s)
	case <-time.After(timeout):
		return fmt.Errorf("the case takes longer than %s", timeout)
	}
}

// addWorker starts a worker on a new machine, or on a known one.
func (t *trial) addWorker(m *machine, cpu, mem int64, labels ...string) (*worker, error) {
	t.w.mu.Lock()
	t.started++
	n := len(t.cloud.machines)
	if m == nil {
		m = &machine{name: fmt.Sprintf("m-%04d", n), done: make(map[int64]bool)}
		t.cloud.machines = append(t.cloud.machines, m)
		m.worker = &worker{zone: zones[n/8%len(zones)], rack: fmt.Sprintf("r%d-%d", n/8%len(zones), n/8), ip: fmt.Sprintf("%s.%d", t.net, 30+n), cpu: cpu, mem: mem, labels: labels}
	}
	old := m.worker
	x := &worker{w: t.w, id: fmt.Sprintf("i-%05x", 0x10000+t.started), machine: m.name, zone: old.zone, rack: old.rack, labels: old.labels, cpu: old.cpu, mem: old.mem,
		ip: old.ip, slow: old.slow}
	m.worker, m.state = x, "up"
	t.w.workers = append(t.w.workers, x)
	t.w.mu.Unlock()
	return x, x.start(t.controls())
}

// begin waits until the system has its configuration and starts equal workers.
func (t *trial) begin(workers int, cpu, mem int64, routes ...route) error {
	t.cloud.restart = func(m *machine) { _, _ = t.addWorker(m, 0, 0) }
	if !t.configure(routes...) {
		return fmt.Errorf("no configuration was acknowledged")
	}
	for range workers {
		if _, err := t.addWorker(nil, cpu, mem, "a"); err != nil {
			return err
		}
	}
	time.Sleep(heartbeatEvery + 2*time.Second)
	return nil
}

// await waits until a condition holds, which is checked under the lock.
func (t *trial) await(timeout time.Duration, what string, f func() bool) error {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		t.w.mu.Lock()
		ok := f()
		t.w.mu.Unlock()
		if ok {
			return nil
		}
	}
	return fmt.Errorf("not within %s: %s", timeout, what)
}

// workerOf returns the worker that runs a task, or nil. The caller holds the lock.
func (t *trial) workerOf(task string) *worker {
	for _, x := range t.w.workers {
		for _, r := range x.runs {
			if x.up && r.task == task {
				return x
			}
		}
	}
	return nil
}
