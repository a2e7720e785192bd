package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Numbers of processes of a cell.
const (
	replicas = 5
	entries  = 3
)

// reserveTimeout bounds the wait for another run of the same seed.
const reserveTimeout = 3 * time.Minute

// node is one process of the system. It is signalled only through its own process handle.
type node struct {
	name, ip, config, log string
	command               *exec.Cmd
	ended                 chan struct{}
	// fullDisk makes the process start on a disk that takes no bytes.
	fullDisk bool
}

// cell is a whole system on loopback. Each node has its own IP address; all use the same ports.
type cell struct {
	t      *testing.T
	binary string
	dir    string
	port   int // first port of each node
	subnet int // third byte of the nodes' IP addresses
	nodes  []*node
	added  []*node // nodes that were added later
}

// newCell writes the settings of all nodes; the seed determines addresses and ports.
func newCell(t *testing.T, binary string, seed uint64) *cell {
	rng := rand.New(rand.NewPCG(seed, 7))
	c := &cell{t: t, binary: binary, dir: t.TempDir(), port: 21000 + rng.IntN(400)*20, subnet: 1 + rng.IntN(250)}
	c.reserve()
	for i := range replicas + entries {
		role := "entry"
		if i < replicas {
			role = "replica"
		}
		n := &node{name: fmt.Sprintf("%s-%d", role, i), ip: fmt.Sprintf("127.0.%d.%d", c.subnet, 10+i)}
		n.config, n.log = filepath.Join(c.dir, n.name+".ini"), filepath.Join(c.dir, n.name+".log")
		c.nodes = append(c.nodes, n)
		c.writeSettings(n, true)
	}
	return c
}

// reserve waits until no other run on this machine uses the addresses of the seed, and keeps them until the
// test ends.
func (c *cell) reserve() {
	address := fmt.Sprintf("127.0.%d.1:%d", c.subnet, c.port)
	for until := time.Now().Add(reserveTimeout); ; time.Sleep(100 * time.Millisecond) {
		l, err := net.Listen("tcp", address)
		if err == nil {
			c.t.Cleanup(func() { _ = l.Close() })
			return
		}
		if time.Now().After(until) {
			c.t.Fatalf("addresses of the seed are in use: %v", err)
		}
	}
}

// address returns a node's address at an offset from its first port.
func (c *cell) address(n *node, offset int) string { return fmt.Sprintf("%s:%d", n.ip, c.port+offset) }

// writeSettings writes a node's settings in the form that the deploy templates give them.
func (c *cell) writeSettings(n *node, bootstrap bool) {
	var seeds []string
	for _, s := range c.nodes[:min(3, len(c.nodes))] {
		seeds = append(seeds, c.address(s, 1))
	}
	if len(seeds) < 3 {
		seeds = nil
		for i := range 3 {
			seeds = append(seeds, fmt.Sprintf("127.0.%d.%d:%d", c.subnet, 10+i, c.port+1))
		}
	}
	listen := "control = " + c.address(n, 1)
	data := "data_folder = " + filepath.Join(c.dir, n.name)
	role := "replica"
	if strings.HasPrefix(n.name, "entry") {
		listen = "front = " + c.address(n, 1) + "\nreadiness = " + c.address(n, 2)
		data, role = "", "entry"
	}
	text := fmt.Sprintf("[node]\nname = %s\nfailure_domain = prado\nroles = %s\n%s\ngrace_s = 6\n[listen]\n%s\npeer = %s\nadmin = %s\n"+
		"[cluster]\nseeds = %s\nbootstrap = %t\n[upstreams]\nmax_hold_ms = %d\nstop_ms = %d\n", n.name, role, data, listen,
		c.address(n, 3), c.address(n, 4), strings.Join(seeds, ","), bootstrap, maxLease.Milliseconds(), stopTime.Milliseconds())
	if err := os.WriteFile(n.config, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// start starts a node's process and appends its output to the node's log.
func (c *cell) start(n *node) {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	n.command = exec.Command(c.binary, "-called", "SOAK_SETTINGS")
	if n.fullDisk {
		n.command = exec.Command("sh", "-c", `ulimit -S -f 0 && exec "$0" -called SOAK_SETTINGS`, c.binary)
	}
	n.command.Env = append(os.Environ(), "SOAK_SETTINGS="+n.config)
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	ended, started := make(chan struct{}), make(chan error)
	n.ended = ended
	command := n.command
	go func() {
		// The kernel sends the parent-death signal when the thread that started the process ends,
		// so this goroutine keeps its thread until the process has ended.
		runtime.LockOSThread()
		defer close(ended)
		err := command.Start()
		started <- err
		if err == nil {
			_ = command.Wait()
		}
		_ = log.Close()
	}()
	if err := <-started; err != nil {
		c.t.Fatal(err)
	}
}

// terminate signals a process, also one that is paused, and waits for its end; after 10 s it is
// killed.
func (n *node) terminate(s syscall.Signal) {
	_ = n.command.Process.Signal(syscall.SIGCONT)
	_ = n.command.Process.Signal(s)
	select {
	case <-n.ended:
	case <-time.After(10 * time.Second):
		_ = n.command.Process.Kill()
		<-n.ended
	}
}

// fault injects one fault into a node, or into the cell; it returns once the fault has ended.
type fault func(c *cell, n *node, rng *rand.Rand)

// faults are the faults of processes by name.
var faults = map[string]fault{
	"kill": func(c *cell, n *node, _ *rand.Rand) { n.terminate(syscall.SIGKILL); c.start(n) },
	"term": func(c *cell, n *node, _ *rand.Rand) { n.terminate(syscall.SIGTERM); c.start(n) },
	"hup":  func(_ *cell, n *node, _ *rand.Rand) { _ = n.command.Process.Signal(syscall.SIGHUP) },
	"pause": func(_ *cell, n *node, rng *rand.Rand) {
		_ = n.command.Process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(500+rng.IntN(3500)) * time.Millisecond)
		_ = n.command.Process.Signal(syscall.SIGCONT)
	},
	"down": func(c *cell, n *node, rng *rand.Rand) {
		n.terminate(syscall.SIGKILL)
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
		c.start(n)
	},
	"wipe": func(c *cell, n *node, _ *rand.Rand) {
		if strings.HasPrefix(n.name, "entry") {
			return
		}
		n.terminate(syscall.SIGKILL)
		if err := os.RemoveAll(filepath.Join(c.dir, n.name)); err != nil {
			c.t.Error(err)
		}
		c.writeSettings(n, false)
		c.start(n)
		// Another disk may be lost only after this one has caught up.
		time.Sleep(4 * time.Second)
	},
	"all": func(c *cell, _ *node, _ *rand.Rand) {
		for _, n := range c.nodes {
			n.terminate(syscall.SIGKILL)
		}
		for _, n := range c.nodes {
			c.start(n)
		}
	},
}
