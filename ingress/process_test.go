package ingress_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// answerTimeout only keeps a hanging process from hanging the test.
	answerTimeout = 20 * time.Second
	// releaseTimeout ends the wait for memory to be given back.
	releaseTimeout = 6 * time.Second
	// spareFiles are descriptors beside those of the crowd, and releaseMargin what may stay resident of what a crowd
	// made the process use.
	spareFiles    = 40
	releaseMargin = 32 << 20
	// runtimeMargin is what a crowd may cost beside the budget: buffers of connections and garbage.
	runtimeMargin = 48 << 20
	// defaultBudget is the budget of a process whose memory is not set.
	defaultBudget = 32 << 20
)

// Memory in MB of the smallest VMs, and what a crowd may cost there: an eighth of it, and the margin.
const (
	entryMemory, replicaMemory = 184, 408
	entryBound                 = entryMemory<<20/8 + runtimeMargin
	replicaBound               = replicaMemory<<20/8 + runtimeMargin
)

// Offsets of the ports of a process.
const (
	portFront = iota
	portReadiness
	portPeer
	portAdmin
	portCount
)

// program is the daemon, built once for all tests.
var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "ingress-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "bulrushwinchd")
	out, err := exec.Command("go", "build", "-o", path, "../cmd/bulrushwinchd").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := program(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// process is one process of the system on loopback.
type process struct {
	host  string
	ports [portCount]int
	pid   int
	ended chan struct{}
}

func (p *process) address(port int) string { return fmt.Sprintf("%s:%d", p.host, p.ports[port]) }

// startProcess starts the daemon with settings that name its addresses, and waits for its health check.
func startProcess(t *testing.T, flags []string, settings func(p *process, dir string) string) *process {
	t.Helper()
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{ended: make(chan struct{})}
	p.choosePorts(t)
	dir := t.TempDir()
	file := filepath.Join(dir, "settings.ini")
	if err := os.WriteFile(file, []byte(settings(p, dir)), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(path, flags...)
	command.Args = append(command.Args, file)
	if flags[0] == "-called" {
		command.Args = []string{path, "-called", "INGRESS_SETTINGS"}
	}
	command.Env = append(os.Environ(), "INGRESS_SETTINGS="+file)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	go func() {
		// The kernel sends the parent-death signal when the thread that started the process ends.
		runtime.LockOSThread()
		defer close(p.ended)
		started <- command.Start()
		_ = command.Wait()
		_ = log.Close()
	}()
	if err := <-started; err != nil {
		t.Fatal(err)
	}
	p.pid = command.Process.Pid
	t.Cleanup(func() {
		if t.Failed() {
			text, _ := os.ReadFile(log.Name())
			t.Logf("%s", text[max(0, len(text)-4096):])
		}
		_ = command.Process.Kill()
		<-p.ended
	})
	p.awaitHealth(t)
	return p
}

// hosts counts the addresses that processes were given.
var hosts int

// choosePorts chooses ports that are free, on a loopback address of the process's own: on 127.0.0.1, from which all
// clients connect, a connection of another test may take a port before the process listens.
func (p *process) choosePorts(t *testing.T) {
	t.Helper()
	hosts++
	p.host = fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()/250%100, os.Getpid()%250+1, hosts%250+1)
	for i := range p.ports {
		l, err := net.Listen("tcp", p.host+":0")
		if err != nil {
			t.Fatal(err)
		}
		p.ports[i] = l.Addr().(*net.TCPAddr).Port
		defer func() { _ = l.Close() }()
	}
}

// awaitHealth waits until the process serves.
func (p *process) awaitHealth(t *testing.T) {
	t.Helper()
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(answerTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if resp, err := client.Get("http://" + p.address(portAdmin) + "/healthz"); err == nil {
			_ = resp.Body.Close()
			return
		}
	}
	t.Fatal("the process does not serve")
}

// memory returns a figure in bytes of the process's status; it fails if the process has ended.
func (p *process) memory(t *testing.T, name string) int {
	t.Helper()
	select {
	case <-p.ended:
		t.Fatal("the process has ended")
	default:
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) == 3 && f[0] == name+":" {
			kb, _ := strconv.Atoi(f[1])
			return kb << 10
		}
	}
	t.Fatalf("no %s in the status of the process", name)
	return 0
}

// files returns the number of open descriptors.
func (p *process) files(t *testing.T) int {
	t.Helper()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}

// mustRelease waits until the process's resident memory is within bound bytes.
func (p *process) mustRelease(t *testing.T, bound int) {
	t.Helper()
	var now int
	for until := time.Now().Add(releaseTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if now = p.memory(t, "VmRSS"); now <= bound {
			return
		}
	}
	t.Errorf("%d MB stay resident after the clients have gone, over the bound of %d MB", now>>20, bound>>20)
}

// startPush starts a process in push mode with the memory of a small VM.
func startPush(role string, memory int) func(*testing.T) *process {
	return func(t *testing.T) *process {
		return startProcess(t, []string{"-called"}, func(p *process, dir string) string {
			listen, data := fmt.Sprintf("front = %s\nreadiness = %s", p.address(portFront), p.address(portReadiness)), ""
			if role == "replica" {
				listen, data = "control = "+p.address(portFront), "data_folder = "+filepath.Join(dir, "data")
			}
			return fmt.Sprintf("[node]\nname = one\nfailure_domain = prado\nroles = %s\n%s\nmemory_mb = %d\ngrace_s = 6\n[listen]\n%s\npeer = %s\nadmin = %s\n"+
				"[cluster]\nseeds = %s\nbootstrap = true\n", role, data, memory, listen, p.address(portPeer), p.address(portAdmin), p.address(portFront))
		})
	}
}

// startPolled starts a process of a cell whose upstreams poll.
func startPolled(t *testing.T) *process {
	return startProcess(t, []string{"-bootstrap", "-config"}, func(p *process, dir string) string {
		secret := filepath.Join(dir, "secret")
		if err := os.WriteFile(secret, []byte("a-secret-of-the-ingress-test"), 0o600); err != nil {
			t.Fatal(err)
		}
		return fmt.Sprintf("[node]\nname = one\nfailure_domain = prado\nroles = entry,replica\ndata_folder = %s\n[listen]\npublic = %s\npeer = %s\nadmin = %s\n"+
			"[cluster]\nreplicas = %s\nvoters = 1\nsecret_file = %s\n", filepath.Join(dir, "data"), p.address(portFront), p.address(portPeer), p.address(portAdmin),
			p.address(portPeer), secret)
	})
}
