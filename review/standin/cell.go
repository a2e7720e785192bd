package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Sizes and bounds of the deployment: those of the users' smaller site, with three replicas.
const (
	replicaCount = 3
	entryCount   = 3
	// upstreamCount is the number of upstreams; one of them is an eighth.
	upstreamCount = 8
	maxHold       = 6 * time.Second
	stopTime      = 200 * time.Millisecond
	cancelTime    = 3 * time.Second
	heartbeat     = 1500 * time.Millisecond
	service       = "lomera"
)

var zones = []string{"cordon", "prado", "pocitos"}

// Offsets of a node's ports from the first one.
const (
	controlPort = iota
	frontPort
	readinessPort
	peerPort
)

// process is a process that the case has started. It is signalled only by its handle.
type process struct {
	name, ip string
	args     []string
	env      []string
	command  *exec.Cmd
	ended    chan struct{}
}

// cell is a small deployment on loopback: each VM has an address of its own, and all use the same ports.
type cell struct {
	rec    *record
	dir    string
	subnet string
	port   int
	start  chan func()
	mu     sync.Mutex
	all    []*process
	// replicas and entries are the project's processes, upstreams the stand-ins.
	replicas, entries []*process
	upstreams         [upstreamCount]*process
	// firstNode is the replica that the first upstream calls first.
	firstNode int
	// formed are to be called once the system has formed: bootstrap is set at its first start only.
	formed []func() error
}

// newCell reserves addresses and a folder for a deployment.
func newCell(rec *record) (*cell, error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	c := &cell{rec: rec, dir: dir, start: make(chan func())}
	// The kernel ends a child with the thread that has started it: one thread starts all, and stays.
	go func() {
		runtime.LockOSThread()
		for f := range c.start {
			f()
		}
	}()
	for range 100 {
		c.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		c.port = 21000 + rand.IntN(900)*10
		l, err := net.Listen("tcp", c.address("1", controlPort))
		if err == nil {
			_ = l.Close()
			return c, nil
		}
	}
	return nil, fmt.Errorf("no free loopback address found")
}

func (c *cell) address(host string, offset int) string {
	return fmt.Sprintf("%s.%s:%d", c.subnet, host, c.port+offset)
}

// seeds returns the control addresses of the replicas.
func (c *cell) seeds() []string {
	var out []string
	for i := range replicaCount {
		out = append(out, c.address(fmt.Sprint(10+i), controlPort))
	}
	return out
}

// fronts returns the addresses of the entries.
func (c *cell) fronts() []string {
	var out []string
	for i := range entryCount {
		out = append(out, c.address(fmt.Sprint(20+i), frontPort))
	}
	return out
}

// startSystem starts all replicas and entries as the deploy file does.
func (c *cell) startSystem() error {
	for i := range replicaCount {
		p, err := c.startNode("core-"+zones[i]+"-1", "replica", zones[i], fmt.Sprint(10+i), "200")
		if err != nil {
			return err
		}
		c.replicas = append(c.replicas, p)
	}
	for i := range entryCount {
		p, err := c.startNode("front-"+zones[i]+"-1", "entry", zones[i], fmt.Sprint(20+i), "50")
		if err != nil {
			return err
		}
		c.entries = append(c.entries, p)
	}
	return nil
}

// startNode renders the deploy file's template for a node and starts it.
func (c *cell) startNode(name, role, zone, host, gogc string) (*process, error) {
	template, err := os.ReadFile(filepath.Join("deploy", role+".ini"))
	if err != nil {
		return nil, err
	}
	ip := c.subnet + "." + host
	file := filepath.Join(c.dir, name+".ini")
	settings := func(bootstrap bool) error {
		text := strings.NewReplacer("{{nodeName}}", name, "{{zone}}", zone, "{{bounds.graceS}}", "6", "{{limits.memoryMb}}", "280",
			"{{listenAddrs.front}}", c.address(host, frontPort), "{{listenAddrs.readiness}}", c.address(host, readinessPort),
			"{{listenAddrs.control}}", c.address(host, controlPort), "{{ip}}:{{internalPorts.0}}", c.address(host, peerPort), "{{ip}}", ip,
			"{{dataDir}}", filepath.Join(c.dir, name), "{{seedNodes}}", strings.Join(c.seeds(), ","), "{{bootstrap}}", fmt.Sprint(bootstrap),
			"{{advice}}", "", "{{cloudApi.address}}", "", "{{bounds.maxHoldMs}}", fmt.Sprint(maxHold.Milliseconds()),
			"{{bounds.stopMs}}", fmt.Sprint(stopTime.Milliseconds())).Replace(string(template))
		return os.WriteFile(file, []byte(text), 0o600)
	}
	if err := settings(true); err != nil {
		return nil, err
	}
	p := &process{name: name, ip: ip, args: []string{"target/bulrushwinchd", "-called", "BULRUSHWINCH_NODE_FILE"},
		env: []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.dir, "BULRUSHWINCH_NODE_FILE=" + file, "GOGC=" + gogc}}
	if err := c.run(p); err != nil {
		return nil, err
	}
	c.formed = append(c.formed, func() error { return settings(false) })
	return p, nil
}

// run starts a process; its output goes to a log in the cell's folder.
func (c *cell) run(p *process) error {
	log, err := os.OpenFile(filepath.Join(c.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Env, cmd.Stdout, cmd.Stderr = p.env, log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	c.start <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return err
	}
	_ = log.Close()
	p.command, p.ended = cmd, make(chan struct{})
	go func(ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(p.ended)
	c.mu.Lock()
	c.all = append(c.all, p)
	c.mu.Unlock()
	c.rec.write(event{Who: p.name, What: "process started"})
	return nil
}

// signal sends a signal to a process and records it.
func (c *cell) signal(p *process, s syscall.Signal, what string) {
	c.rec.write(event{Who: p.name, What: what})
	_ = p.command.Process.Signal(s)
	if s == syscall.SIGKILL {
		<-p.ended
	}
}

// close ends all processes and removes the cell's folder, unless KEEP names one to move the logs to.
func (c *cell) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.all {
		_ = p.command.Process.Kill()
	}
	for _, p := range c.all {
		<-p.ended
	}
	c.all = nil
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(c.dir, keep)
		return
	}
	_ = os.RemoveAll(c.dir)
}

// leader returns the replica that began a leadership last, by its log.
func (c *cell) leader() *process {
	var leader *process
	latest := int64(-1)
	for _, p := range c.replicas {
		data, _ := os.ReadFile(filepath.Join(c.dir, p.name+".log"))
		for _, line := range strings.Split(string(data), "\n") {
			if at := logTime(line); strings.Contains(line, `"leadership begins"`) && at >= latest {
				leader, latest = p, at
			}
		}
	}
	return leader
}

// logTime returns the field time of a line of a log, or zero.
func logTime(line string) int64 {
	_, rest, _ := strings.Cut(line, `"time":`)
	var at int64
	_, _ = fmt.Sscan(strings.FieldsFunc(rest+" ", func(r rune) bool { return r == ',' || r == '}' })[0], &at)
	return at
}

// form starts the system, puts a configuration with the given keys into force and starts all upstreams.
func (c *cell) form(keys ...string) error {
	if err := c.startSystem(); err != nil {
		return err
	}
	if err := c.configure(config{version: 1, keys: keys}, 0); err != nil {
		return err
	}
	for i := range upstreamCount {
		if err := c.startUpstream(i); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

// startUpstream starts a stand-in for an upstream, also one that was there before: it then has its identity and address.
// The first upstream alone has the label a.
func (c *cell) startUpstream(i int) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	id, host, kind, nodes := fmt.Sprintf("i-%d", i), fmt.Sprint(30+i), "b", c.seeds()
	if i == 0 {
		kind = "a"
	}
	first := (c.firstNode + i) % len(nodes)
	nodes = append(append([]string(nil), nodes[first:]...), nodes[:first]...)
	p := &process{name: id, ip: c.subnet + "." + host, env: []string{"PATH=" + os.Getenv("PATH")},
		args: []string{self, "upstream", id, c.address(host, controlPort), zones[i%len(zones)], kind, strings.Join(nodes, ","), c.rec.path}}
	c.upstreams[i] = p
	return c.run(p)
}
