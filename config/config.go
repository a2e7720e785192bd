package config

import (
	"crypto/tls"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/entry"
	"github.com/bulrushwinch/bulrushwinch/ingress"
	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// Role is a part that a process plays in the cell.
type Role string

// The roles of a process.
const (
	// RoleEntry accepts the calls of callers, operators and upstreams and forwards them to the
	// leader.
	RoleEntry Role = "entry"
	// RoleReplica holds a copy of the replicated state in a data folder.
	RoleReplica Role = "replica"
)

// Settings are the checked settings of one daemon of a cell whose upstreams poll.
type Settings struct {
	// Name identifies the daemon, FailureDomain is the failure domain of its VM and Roles are the
	// parts that it plays.
	Name          string
	FailureDomain string
	Roles         []Role
	// DataFolder is the path of a replica's data; empty without that role.
	DataFolder string
	// PublicAddress serves callers, operators and upstreams, PeerAddress other processes of the
	// cell, and AdminAddress health checks and metrics.
	PublicAddress string
	PeerAddress   string
	AdminAddress  string
	// Replicas are the peer addresses of the VMs with a data folder.
	Replicas []string
	// ViewSources are the peer addresses of the processes that an entry asks for the configuration
	// in force, in order, before it asks the replicas. A replica doesn't use them.
	ViewSources []string
	// Voters is the number of voting replicas that the group aims for; it is odd.
	Voters int
	// Secret is the cluster secret, which authenticates the processes of the cell to each other.
	Secret Secret
	// OperatorKey is the SHA-256 hash of the first operator's key; nil if not set.
	OperatorKey []byte
	// PollHold is how long the leader holds a poll for which it has nothing new.
	PollHold time.Duration
	// DrainDelay is the time from the moment when a draining daemon becomes unready until its
	// public address closes.
	DrainDelay time.Duration
	// Limits are the admission limits of the entry.
	Limits entry.Limits
	// Ingress bounds what unfinished requests may hold.
	Ingress ingress.Limits
	// PublicTLS, PeerServerTLS and PeerClientTLS are nil for plain TCP.
	PublicTLS     *tls.Config
	PeerServerTLS *tls.Config
	PeerClientTLS *tls.Config
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// Warnings describe settings that are allowed but unsafe.
	Warnings []string
}

// Secret is a text that is replaced by a placeholder when it is printed, formatted or encoded.
type Secret string

const redacted = "[hidden]"

// Reveal returns the text itself.
func (s Secret) Reveal() string { return string(s) }

// String implements fmt.Stringer.
func (Secret) String() string { return redacted }

// GoString implements fmt.GoStringer.
func (Secret) GoString() string { return redacted }

// MarshalText implements encoding.TextMarshaler.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// HasRole reports whether the daemon has the role r.
func (s *Settings) HasRole(r Role) bool { return slices.Contains(s.Roles, r) }

// Error describes what is wrong with one setting.
type Error struct {
	// File is the path of the INI file; Section and Key locate the setting in it.
	File, Section, Key string
	// Problem says what is wrong with the value, Allowed which values are allowed.
	Problem, Allowed string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: [%s] %s: %s; allowed: %s", e.File, e.Section, e.Key, e.Problem, e.Allowed)
}

// fileReader reads a file that a setting names.
type fileReader func(path string) (data []byte, mode fs.FileMode, err error)

// maxFileBytes bounds a file that a setting names.
const maxFileBytes = 1 << 20

func readFile(path string) ([]byte, fs.FileMode, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, 0, err
	}
	if !info.Mode().IsRegular() || info.Size() > maxFileBytes {
		return nil, 0, errors.Errorf("%s is not a regular file of at most %d bytes", path, maxFileBytes)
	}
	data, err := os.ReadFile(path)
	return data, info.Mode(), err
}

// Load reads and checks a file. Relative paths in it are relative to its folder.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "config")
	}
	return Parse(path, data)
}

// Parse checks the content of a file; the path is used in errors and for relative paths.
func Parse(path string, data []byte) (*Settings, error) { return parse(path, data, readFile) }

func parse(path string, data []byte, read fileReader) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, SkipUnrecognizableLines: false}, data)
	if err != nil {
		return nil, errors.Wrapf(err, "config: %s", path)
	}
	r := &reader{path: path, file: file, read: read, readKeys: make(map[string]bool)}
	s := r.settings()
	r.rejectUnknown()
	if r.err != nil {
		return nil, r.err
	}
	s.Warnings = r.warnings
	return s, nil
}

// reader reads settings. It keeps the first error, the warnings and the keys that were read.
type reader struct {
	path     string
	file     *ini.File
	read     fileReader
	readKeys map[string]bool
	err      error
	warnings []string
}

// Bounds of the settings.
const (
	minPollHold   = 100 * time.Millisecond
	maxPollHold   = 1500 * time.Millisecond
	maxDrainDelay = time.Minute
	maxLimitValue = 1 << 20
)

func (r *reader) settings() *Settings {
	s := &Settings{
		Name:          r.name("node", "name"),
		FailureDomain: r.name("node", "failure_domain"),
		Roles:         r.roles("node", "roles"),
		DataFolder:    r.filePath("node", "data_folder"),
		PublicAddress: r.address("listen", "public"),
		PeerAddress:   r.address("listen", "peer"),
		AdminAddress:  r.address("listen", "admin"),
		Replicas:      r.addresses("cluster", "replicas"),
		ViewSources:   r.optionalAddresses("cluster", "view_sources"),
		Voters:        r.integer("cluster", "voters", 3, 1, 7),
		Secret:        r.secret("cluster", "secret_file"),
		OperatorKey:   r.sha256("operator", "key_sha256"),
		PollHold:      r.duration("replica", "poll_hold", time.Second, minPollHold, maxPollHold),
		DrainDelay:    r.duration("entry", "drain_delay", 5*time.Second, 0, maxDrainDelay),
		Limits:        r.limits(),
		Ingress:       r.ingressLimits(),
		LogLevel:      r.choice("log", "level", "info", "debug", "info", "warn", "error"),
	}
	r.tls(s)
	r.checkCombinations(s)
	return s
}

func (r *reader) limits() entry.Limits {
	d := entry.DefaultLimits
	return entry.Limits{
		MaxCalls:    r.integer("entry", "max_calls", d.MaxCalls, 16, maxLimitValue),
		MaxHeld:     r.integer("entry", "max_held", d.MaxHeld, 16, maxLimitValue),
		TeamRate:    float64(r.integer("entry", "team_rate", int(d.TeamRate), 1, maxLimitValue)),
		TeamBurst:   r.integer("entry", "team_burst", d.TeamBurst, 1, maxLimitValue),
		TeamCalls:   r.integer("entry", "team_calls", d.TeamCalls, 1, maxLimitValue),
		TeamBytes:   int64(r.integer("entry", "team_mib", int(d.TeamBytes>>20), 1, 4096)) << 20,
		UnknownRate: float64(r.integer("entry", "unknown_rate", int(d.UnknownRate), 1, maxLimitValue)),
	}
}

// checkCombinations checks settings that depend on each other.
func (r *reader) checkCombinations(s *Settings) {
	if s.HasRole(RoleReplica) && s.DataFolder == "" {
		r.fail("node", "data_folder", "is missing", "a folder on a disk, as the roles include replica")
	}
	if !s.HasRole(RoleReplica) && s.DataFolder != "" {
		r.fail("node", "data_folder", "is set without the role replica", "no value")
	}
	if s.HasRole(RoleReplica) && !slices.Contains(s.Replicas, s.PeerAddress) {
		r.fail("cluster", "replicas", "lacks this replica's own peer address "+s.PeerAddress, "the peer addresses of all replicas, comma-separated")
	}
	if s.Voters%2 == 0 {
		r.fail("cluster", "voters", "is even", "1, 3, 5 or 7")
	}
	if slices.Contains(s.ViewSources, s.PeerAddress) {
		r.fail("cluster", "view_sources", "names this process itself", "peer addresses of other processes")
	}
	if s.PublicAddress == s.PeerAddress || s.PeerAddress == s.AdminAddress || s.PublicAddress == s.AdminAddress {
		r.fail("listen", "admin", "two addresses are equal", "three different addresses")
	}
}
