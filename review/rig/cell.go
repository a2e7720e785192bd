package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the small deployment. The bounds are those of lomos-uy.
const (
	service  = "lomera"
	apiKey   = "6x73d3zji9n73hh2b9wu"
	host     = "nony24.example"
	prefix   = "/lohu930/"
	graceS   = 6
	maxHold  = 6000
	stopMS   = 200
	roomCPU  = 16000
	roomMem  = 32768
	leaderUp = 30 * time.Second
)

var zones = []string{"cordon", "prado", "pocitos"}

// cell is a small deployment on loopback addresses: three core machines, two front machines and some workers.
type cell struct {
	folder  string
	network string
	ports   map[string]int
	record  *recorder
	client  *http.Client

	mu    sync.Mutex
	procs []*process

	cores, fronts []*process
	vms           string
}

// process is one process of the cell.
type process struct {
	name, ip string
	args     []string
	env      []string
	cmd      *exec.Cmd
	done     chan struct{}
	lines    func(string)
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	w     io.Writer
	began time.Time
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func newCell(record *recorder) (*cell, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cell{folder: folder, record: record, client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
	return c, c.choosePorts()
}

// choosePorts chooses a part of the loopback network and ports that are free there.
func (c *cell) choosePorts() error {
	for range 50 {
		c.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(256))
		first := 20000 + rand.IntN(9000)
		c.ports = map[string]int{"front": first, "readiness": first + 1, "control": first + 2, "peer": first + 3, "worker": first + 4, "vms": first + 5}
		if c.portsFree() {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (c *cell) portsFree() bool {
	for _, last := range []int{11, 12, 13, 21, 22} {
		for _, p := range append([]int{9464}, c.ports["front"], c.ports["readiness"], c.ports["control"], c.ports["peer"], c.ports["worker"], c.ports["vms"]) {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", c.network, last, p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (c *cell) address(last int, port string) string {
	return fmt.Sprintf("%s.%d:%d", c.network, last, c.ports[port])
}

// controls are the addresses of the operator's interface.
func (c *cell) controls() []string {
	return []string{c.address(11, "control"), c.address(12, "control"), c.address(13, "control")}
}

// settings fills in a template of the deploy file.
func (c *cell) settings(template, name, zone string, last int, bootstrap bool) (string, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	dir := filepath.Join(c.folder, name)
	if err := os.MkdirAll(filepath.Join(dir, "data"), 0o755); err != nil {
		return "", err
	}
	out := strings.NewReplacer("{{nodeName}}", name, "{{zone}}", zone, "{{dataDir}}", filepath.Join(dir, "data"), "{{bounds.graceS}}", fmt.Sprint(graceS),
		"{{limits.memoryMb}}", "280", "{{listenAddrs.control}}", c.address(last, "control"), "{{listenAddrs.front}}", c.address(last, "front"),
		"{{listenAddrs.readiness}}", c.address(last, "readiness"), "{{ip}}:{{internalPorts.0}}", c.address(last, "peer"),
		"{{ip}}", fmt.Sprintf("%s.%d", c.network, last), "{{seedNodes}}", strings.Join(c.controls(), ","), "{{bootstrap}}", fmt.Sprint(bootstrap),
		"{{advice}}", "", "{{cloudApi.address}}", c.vms, "{{bounds.maxHoldMs}}", fmt.Sprint(maxHold), "{{bounds.stopMs}}", fmt.Sprint(stopMS)).Replace(string(text))
	path := filepath.Join(dir, "node.ini")
	return path, os.WriteFile(path, []byte(out), 0o644)
}

// launch starts a process. It ends with this one.
func (c *cell) launch(p *process) error {
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.folder}, p.env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	logFile, err := os.OpenFile(filepath.Join(c.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.cmd.Stderr = logFile
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(done chan struct{}, cmd *exec.Cmd) {
		for s := bufio.NewScanner(out); s.Scan(); {
			if p.lines != nil {
				p.lines(s.Text())
				continue
			}
			_, _ = fmt.Fprintln(logFile, s.Text())
		}
		_ = cmd.Wait()
		_ = logFile.Close()
		close(done)
	}(p.done, p.cmd)
	c.mu.Lock()
	c.procs = append(c.procs, p)
	c.mu.Unlock()
	return nil
}

// end ends all processes and removes the folder.
func (c *cell) end() {
	for _, p := range c.procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range c.procs {
		<-p.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	} else {
		fmt.Fprintln(os.Stderr, c.folder)
	}
}

func (c *cell) startSystem() error {
	for i, zone := range zones {
		if err := c.startNode(fmt.Sprintf("core-%d", i+1), "deploy/replica.ini", zone, 11+i, &c.cores); err != nil {
			return err
		}
	}
	for i := range 2 {
		if err := c.startNode(fmt.Sprintf("front-%d", i+1), "deploy/entry.ini", zones[i], 21+i, &c.fronts); err != nil {
			return err
		}
	}
	return nil
}

func (c *cell) startNode(name, template, zone string, last int, to *[]*process) error {
	path, err := c.settings(template, name, zone, last, true)
	if err != nil {
		return err
	}
	p := &process{name: name, ip: fmt.Sprintf("%s.%d", c.network, last), args: []string{"target/bulrushwinchd", "-called", "BULRUSHWINCH_NODE_FILE"},
		env: []string{"BULRUSHWINCH_NODE_FILE=" + path}}
	*to = append(*to, p)
	return c.launch(p)
}

// startWorker starts a worker process; each event of its tasks is passed to seen.
func (c *cell) startWorker(n int, seen func(worker string, at int64, what, task string, run int, more string), more ...string) (*process, error) {
	id := fmt.Sprintf("i-%08x", n)
	p := &process{name: fmt.Sprintf("worker-%d", n), args: []string{os.Args[0], "worker", "-id", id, "-machine", fmt.Sprintf("m-%d", n),
		"-address", c.address(100+n, "worker"), "-zone", zones[n%len(zones)], "-service", service, "-rack", fmt.Sprintf("r%d", n/4), "-controls",
		strings.Join(c.controls(), ","), "-cpu", fmt.Sprint(roomCPU), "-mem", fmt.Sprint(roomMem)}}
	p.args = append(p.args, more...)
	p.lines = func(line string) {
		var at int64
		var what, task, more string
		var run int
		if _, err := fmt.Sscan(line, &at, &what, &task, &run, &more); err == nil || what != "" {
			c.record.add("%s: %s %s run %d %s", p.name, what, task, run, more)
			seen(p.name, at, what, task, run, more)
		}
	}
	return p, c.launch(p)
}

// do makes a call and records it.
func (c *cell) do(method, address, path, hostName, key string, body any) (int, map[string]any) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	if hostName != "" {
		req.Host = hostName
	}
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Bulrushwinch-Deadline-Ms", "3000")
	resp, err := c.client.Do(req)
	if err != nil {
		c.record.add("%s %s: %v", method, path, err)
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(resp.Body)
	var out map[string]any
	_ = json.Unmarshal(answer, &out)
	c.record.add("%s %s -> %d %s", method, path, resp.StatusCode, strings.TrimSpace(string(answer[:min(len(answer), 200)])))
	return resp.StatusCode, out
}

// config is the configuration of the cell: one queue of one tenant.
func config(version int) map[string]any {
	return map[string]any{"version": version,
		"routes": []any{map[string]any{"name": "r-cpihhac", "host": host, "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 2500,
			"priority": 1, "service": service, "maxAttempts": 3, "stretch": 2.2, "public": false}},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
			"enforcesCapacity": false, "standby": false}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "kaje80", "apiKeys": []string{apiKey}, "priority": 1, "weight": 12, "cap": map[string]any{"cpu": 0, "memMb": 0, "gpus": 0}}}}
}

// configure sends the configuration until it is accepted.
func (c *cell) configure() error {
	for until := time.Now().Add(leaderUp); time.Now().Before(until); time.Sleep(300 * time.Millisecond) {
		for _, a := range c.controls() {
			if status, _ := c.do(http.MethodPut, a, "/api/config", "", "", config(7)); status == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("no configuration was accepted")
}

// submit sends a job until it is accepted.
func (c *cell) submit(id string, job any) error {
	for i := range 20 {
		status, _ := c.do(http.MethodPost, c.address(21+i%2, "front"), prefix+id, host, apiKey, job)
		if status/100 == 2 {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// state asks for a job's state; it is empty if there is no clear answer.
func (c *cell) state(id string) (int, string) {
	status, body := c.do(http.MethodGet, c.address(21, "front"), prefix+id, host, apiKey, nil)
	s, _ := body["state"].(string)
	return status, s
}
