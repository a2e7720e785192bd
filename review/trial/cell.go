package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// Numbers of processes of the system.
const (
	replicas = 5
	entries  = 3
)

var zones = []string{"cordon", "prado", "pocitos"}

// node is one process of the system.
type node struct {
	name, ip, zone, settings, log string
	replica                       bool
	command                       *exec.Cmd
	ended                         chan struct{}
}

// cell is the system on loopback addresses, with its platform.
type cell struct {
	w       *world
	dir     string
	binary  string
	port    int
	net     string
	nodes   []*node
	cloud   *cloud
	advice  *adviceService
	version int
}

// newCell takes free addresses and writes the settings of all processes.
func newCell(w *world, binary, dir string) (*cell, error) {
	c := &cell{w: w, dir: dir, binary: binary}
	if err := c.reserve(); err != nil {
		return nil, err
	}
	var err error
	if c.advice, err = startAdvice(w, c.net+".200"); err != nil {
		return nil, err
	}
	if c.cloud, err = startCloud(w, c.net+".201"); err != nil {
		return nil, err
	}
	for i := range replicas + entries {
		n := &node{name: fmt.Sprintf("front-%d", i-replicas), ip: fmt.Sprintf("%s.%d", c.net, 10+i), zone: zones[i%len(zones)], replica: i < replicas}
		if n.replica {
			n.name = fmt.Sprintf("core-%d", i)
		}
		n.settings, n.log = filepath.Join(dir, n.name+".ini"), filepath.Join(dir, n.name+".log")
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		if err := c.writeSettings(n); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// reserve looks for a loopback network and ports that nothing uses.
func (c *cell) reserve() error {
	for i := range 200 {
		seed := os.Getpid() + 7*i
		c.net, c.port = fmt.Sprintf("127.%d.%d", 60+seed%100, 1+seed/100%250), 21000+seed%400*20
		free := true
		for n := range replicas + entries {
			for offset := range 5 {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", c.net, 10+n, c.port+offset))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free addresses")
}

func (c *cell) address(n *node, offset int) string { return fmt.Sprintf("%s:%d", n.ip, c.port+offset) }

// writeSettings fills in the template of the deploy file for a process.
func (c *cell) writeSettings(n *node) error {
	template := "deploy/entry.ini"
	if n.replica {
		template = "deploy/replica.ini"
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	var seeds []string
	for _, s := range c.nodes[:3] {
		seeds = append(seeds, c.address(s, 1))
	}
	out := strings.NewReplacer("{{nodeName}}", n.name, "{{zone}}", n.zone, "{{dataDir}}", filepath.Join(c.dir, n.name), "{{bounds.graceS}}", "6",
		"{{limits.memoryMb}}", "280", "{{listenAddrs.front}}", c.address(n, 1), "{{listenAddrs.readiness}}", c.address(n, 2), "{{listenAddrs.control}}", c.address(n, 1),
		"{{ip}}:{{internalPorts.0}}", c.address(n, 3), "{{ip}}:9464", c.address(n, 4), "{{seedNodes}}", strings.Join(seeds, ","), "{{bootstrap}}", "true",
		"{{advice}}", c.advice.address, "{{cloudApi.address}}", c.cloud.address, "{{bounds.maxHoldMs}}", "6000", "{{bounds.stopMs}}", "200").Replace(string(text))
	return os.WriteFile(n.settings, []byte(out), 0o600)
}

// start starts a process with the command of the deploy file.
func (c *cell) start(n *node) error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.command = exec.Command(c.binary, "-called", "BULRUSHWINCH_NODE_FILE")
	gogc := "50"
	if n.replica {
		gogc = "200"
	}
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BULRUSHWINCH_NODE_FILE=" + n.settings, "GOGC=" + gogc}
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	ended, started := make(chan struct{}), make(chan error)
	n.ended = ended
	command := n.command
	go func() {
		// The signal at the parent's death is sent when the thread that started the process ends.
		runtime.LockOSThread()
		defer close(ended)
		err := command.Start()
		started <- err
		if err == nil {
			_ = command.Wait()
		}
		_ = log.Close()
	}()
	return <-started
}

// stop kills all processes that were started.
func (c *cell) stop() {
	for _, n := range c.nodes {
		if n.command != nil && n.command.Process != nil {
			_ = n.command.Process.Kill()
			<-n.ended
		}
	}
}

func (c *cell) controls() (out []string) {
	for _, n := range c.nodes[:replicas] {
		out = append(out, c.address(n, 1))
	}
	return out
}

func (c *cell) fronts() (out []string) {
	for _, n := range c.nodes[replicas:] {
		out = append(out, c.address(n, 1))
	}
	return out
}

// send makes a call and returns the status, zero if there was no answer, and the body.
func send(client *http.Client, method, url string, header map[string]string, body any) (int, []byte) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	for k, v := range header {
		req.Header.Set(k, v)
		if k == "Host" {
			req.Host = v
		}
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	out, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, out
}

// Names of the deployment.
const (
	host = "nony24.example"
	key  = "6x73d3zji9n73hh2b9wu"
)

// capCPU and capMem are the cap of the tenant, in thousandths of a core and in MB.
const (
	capCPU int64 = 6_000_000
	capMem int64 = 24_000_000
)

// route is a queue of the configuration.
type route struct {
	prefix      string
	priority    int
	maxAttempts int
	stretch     float64
	target      int
	advice      map[string]any
}

// configure sends a configuration until it is acknowledged.
func (c *cell) configure(routes ...route) bool {
	c.version++
	var list []map[string]any
	for i, r := range routes {
		m := map[string]any{"name": fmt.Sprintf("r-%d", i), "host": host, "pathPrefix": r.prefix, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": r.target,
			"priority": r.priority, "service": "lomera", "maxAttempts": r.maxAttempts, "stretch": r.stretch, "public": false}
		if r.advice != nil {
			m["advice"] = r.advice
		}
		list = append(list, m)
	}
	body := map[string]any{"version": c.version, "routes": list,
		"services": []map[string]any{{"name": "lomera", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
			"enforcesCapacity": false, "standby": false}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "kaje80", "apiKeys": []string{key}, "priority": 1, "weight": 12, "cap": map[string]int64{"cpu": capCPU, "memMb": capMem, "gpus": 0}}}}
	client := &http.Client{Timeout: time.Second}
	for i := range 200 {
		to := c.controls()[i%replicas]
		if status, _ := send(client, http.MethodPut, "http://"+to+"/api/config", nil, body); status == http.StatusOK {
			c.w.note("configuration %d acknowledged by %s", c.version, to)
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// submit hands in a job as clients do, until it is accepted.
func (c *cell) submit(prefix string, j *job) bool {
	j.done, j.ends = make(map[string]bool), make(map[string]int)
	c.w.mu.Lock()
	c.w.jobs[j.id] = j
	c.w.mu.Unlock()
	client := &http.Client{Timeout: 3 * time.Second}
	for i := range 20 {
		to := c.fronts()[i%entries]
		status, body := send(client, http.MethodPost, "http://"+to+prefix+j.id, c.headers(), j)
		c.w.note("POST %s%s at %s: %d %s", prefix, j.id, to, status, strings.TrimSpace(string(body)))
		if status/100 == 2 {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

func (c *cell) headers() map[string]string {
	return map[string]string{"Host": host, "Authorization": "Token " + key, "Bulrushwinch-Deadline-Ms": "3000"}
}

// state asks for the state of a job.
func (c *cell) state(prefix, id string) string {
	client := &http.Client{Timeout: 3 * time.Second}
	to := c.fronts()[int(time.Now().UnixNano()/1000)%entries]
	status, body := send(client, http.MethodGet, "http://"+to+prefix+id, c.headers(), nil)
	var out struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(body, &out)
	c.w.note("GET %s%s at %s: %d %s", prefix, id, to, status, strings.TrimSpace(string(body)))
	if status != http.StatusOK {
		return fmt.Sprint(status)
	}
	return out.State
}
