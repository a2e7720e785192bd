package config

import (
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/ingress"
	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// PushSettings are the checked settings of a process in push mode: the leader sends its calls to
// the upstreams, which do not poll.
type PushSettings struct {
	// Name identifies the process, FailureDomain is the failure domain of its VM and Roles are
	// the parts that it plays.
	Name          string
	FailureDomain string
	Roles         []Role
	// DataFolder is the path of a replica's data; empty without that role.
	DataFolder string
	// FrontAddress serves callers and ReadinessAddress the load balancer; both are set for
	// entries.
	FrontAddress     string
	ReadinessAddress string
	// ControlAddress serves operators and upstreams; it is set for replicas.
	ControlAddress string
	// PeerAddress serves other processes of the cell, AdminAddress health checks and metrics.
	PeerAddress  string
	AdminAddress string
	// Seeds are the control addresses of some replicas, SeedPeers the peer addresses of the same
	// replicas.
	Seeds     []string
	SeedPeers []string
	// Bootstrap is set for the first start of the whole system.
	Bootstrap bool
	// PermitAddress is the address of the permit service; empty where there is none.
	PermitAddress string
	// VMsAddress is the address of the VM service; empty where there is none.
	VMsAddress string
	// MaxHold is the longest lease that an upstream grants, StopGrace the longest time that it
	// needs for a stop, and DrainTime the time from the stop signal until the process is killed.
	MaxHold   time.Duration
	StopGrace time.Duration
	DrainTime time.Duration
	// MemoryBytes is the memory of the VM that the process may use; zero if it is not known.
	MemoryBytes int64
	// Ingress bounds what unfinished requests may hold.
	Ingress ingress.Limits
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

// HasRole reports whether the process has the role r.
func (s *PushSettings) HasRole(r Role) bool { return slices.Contains(s.Roles, r) }

// Bounds of the settings of push mode.
const (
	minHold   = 500 * time.Millisecond
	maxHold   = time.Minute
	maxStop   = 10 * time.Second
	minDrain  = time.Second
	maxDrain  = 5 * time.Minute
	maxMillis = 600_000
	maxMemory = 1 << 20 // MiB
)

// LoadPush reads and checks a file. Relative paths in it are relative to its folder.
func LoadPush(path string) (*PushSettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "config")
	}
	return ParsePush(path, data)
}

// ParsePush checks the content of a file; the path is used in errors and for relative paths.
func ParsePush(path string, data []byte) (*PushSettings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, SkipUnrecognizableLines: false}, data)
	if err != nil {
		return nil, errors.Wrapf(err, "config: %s", path)
	}
	r := &reader{path: path, file: file, read: readFile, readKeys: make(map[string]bool)}
	s := r.pushSettings()
	r.rejectUnknown()
	if r.err != nil {
		return nil, r.err
	}
	return s, nil
}

func (r *reader) pushSettings() *PushSettings {
	s := &PushSettings{
		Name:             r.name("node", "name"),
		FailureDomain:    r.name("node", "failure_domain"),
		Roles:            r.roles("node", "roles"),
		DataFolder:       r.filePath("node", "data_folder"),
		FrontAddress:     r.optionalAddress("listen", "front"),
		ReadinessAddress: r.optionalAddress("listen", "readiness"),
		ControlAddress:   r.optionalAddress("listen", "control"),
		PeerAddress:      r.address("listen", "peer"),
		AdminAddress:     r.address("listen", "admin"),
		Seeds:            r.addresses("cluster", "seeds"),
		Bootstrap:        r.choice("cluster", "bootstrap", "false", "true", "false") == "true",
		PermitAddress:    r.optionalAddress("permits", "address"),
		VMsAddress:       r.optionalAddress("vms", "address"),
		MaxHold:          r.millis("upstreams", "max_hold_ms", 6*time.Second, minHold, maxHold),
		StopGrace:        r.millis("upstreams", "stop_ms", time.Second, 0, maxStop),
		DrainTime:        time.Duration(r.integer("node", "grace_s", 30, int(minDrain/time.Second), int(maxDrain/time.Second))) * time.Second,
		MemoryBytes:      int64(r.integer("node", "memory_mb", 0, 0, maxMemory)) << 20,
		Ingress:          r.ingressLimits(),
		LogLevel:         r.choice("log", "level", "info", "debug", "info", "warn", "error"),
	}
	s.SeedPeers = r.seedPeers(s)
	r.checkPushCombinations(s)
	return s
}

func (r *reader) optionalAddress(section, key string) string {
	if r.text(section, key, "") == "" {
		return ""
	}
	return r.address(section, key)
}

// millis returns a time that is set in milliseconds.
func (r *reader) millis(section, key string, fallback, low, high time.Duration) time.Duration {
	ms := r.integer(section, key, int(fallback.Milliseconds()), 0, maxMillis)
	d := time.Duration(ms) * time.Millisecond
	if d < low || d > high {
		r.fail(section, key, "is out of range", "milliseconds from "+low.String()+" to "+high.String())
	}
	return d
}

// seedPeers returns the seeds' peer addresses. It uses this process's peer port, because ports
// are the same on all VMs.
func (r *reader) seedPeers(s *PushSettings) []string {
	own, err := netip.ParseAddrPort(s.PeerAddress)
	if err != nil {
		return nil
	}
	var out []string
	for _, seed := range s.Seeds {
		if a, err := netip.ParseAddrPort(seed); err == nil {
			out = append(out, netip.AddrPortFrom(a.Addr(), own.Port()).String())
		}
	}
	return out
}

// checkPushCombinations checks settings that depend on each other.
func (r *reader) checkPushCombinations(s *PushSettings) {
	switch {
	case s.HasRole(RoleReplica) && (s.DataFolder == "" || s.ControlAddress == ""):
		r.fail("node", "data_folder", "or the control address is missing", "both, as the roles include replica")
	case !s.HasRole(RoleReplica) && s.DataFolder != "":
		r.fail("node", "data_folder", "is set without the role replica", "no value")
	case s.HasRole(RoleEntry) && (s.FrontAddress == "" || s.ReadinessAddress == ""):
		r.fail("listen", "front", "or the readiness address is missing", "both, as the roles include entry")
	}
}
