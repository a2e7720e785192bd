package config

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"

	"github.com/bulrushwinch/bulrushwinch/state"
	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// Role is a part that a daemon plays.
type Role string

// Roles.
const (
	RoleEntry   Role = "entry"
	RoleReplica Role = "replica"
)

// Settings are the checked settings of one daemon.
type Settings struct {
	Name          string
	FailureDomain string
	Roles         []Role
	// DataFolder is set for replicas only.
	DataFolder string
	// PublicAddress serves callers, operators and upstreams; AdminAddress serves
	// health and metrics; PeerAddress serves other processes of the cell.
	PublicAddress string
	PeerAddress   string
	AdminAddress  string
	// Replicas are the peer addresses of the VMs with a data folder.
	Replicas []string
	Voters   int
	Secret   string
	// OperatorKey is the SHA-256 of the first operator's key; nil if absent.
	OperatorKey []byte
	LogLevel    string
}

// HasRole reports whether the daemon plays a role.
func (s *Settings) HasRole(r Role) bool { return slices.Contains(s.Roles, r) }

// Error tells what is wrong with one setting.
type Error struct {
	File, Section, Key string
	// Problem says what was wrong, Allowed what is allowed.
	Problem, Allowed string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: [%s] %s: %s; allowed: %s", e.File, e.Section, e.Key, e.Problem, e.Allowed)
}

// Load reads and checks a file. Relative paths in it are taken as they are.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "config")
	}
	return Parse(path, data)
}

// Parse checks the content of a file; the path is used in errors.
func Parse(path string, data []byte) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, data)
	if err != nil {
		return nil, errors.Wrapf(err, "config: %s", path)
	}
	r := &reader{path: path, file: file, known: make(map[string]bool)}
	s := r.settings()
	r.refuseUnknown()
	if r.err != nil {
		return nil, r.err
	}
	return s, nil
}

// reader remembers the first error and the keys that were read.
type reader struct {
	path  string
	file  *ini.File
	known map[string]bool
	err   error
}

func (r *reader) settings() *Settings {
	s := &Settings{
		Name:          r.name("node", "name"),
		FailureDomain: r.name("node", "failure_domain"),
		Roles:         r.roles("node", "roles"),
		DataFolder:    r.text("node", "data_folder", ""),
		PublicAddress: r.address("listen", "public"),
		PeerAddress:   r.address("listen", "peer"),
		AdminAddress:  r.address("listen", "admin"),
		Replicas:      r.addresses("cluster", "replicas"),
		Voters:        r.integer("cluster", "voters", 3, 1, 7),
		OperatorKey:   r.sha256("operator", "key_sha256"),
		LogLevel:      r.choice("log", "level", "info", "debug", "info", "warn", "error"),
	}
	s.Secret = r.secret("cluster", "secret_file")
	if s.HasRole(RoleReplica) && s.DataFolder == "" {
		r.fail("node", "data_folder", "is missing", "a folder on a disk, as the roles include replica")
	}
	if !s.HasRole(RoleReplica) && s.DataFolder != "" {
		r.fail("node", "data_folder", "is set without the role replica", "no value")
	}
	if s.Voters%2 == 0 {
		r.fail("cluster", "voters", "is even", "1, 3, 5 or 7")
	}
	return s
}

func (r *reader) fail(section, key, problem, allowed string) {
	if r.err == nil {
		r.err = &Error{r.path, section, key, problem, allowed}
	}
}

func (r *reader) text(section, key, fallback string) string {
	r.known[section+"."+key] = true
	sec, err := r.file.GetSection(section)
	if err != nil || !sec.HasKey(key) {
		return fallback
	}
	return sec.Key(key).String()
}

func (r *reader) name(section, key string) string {
	v := r.text(section, key, "")
	if !state.ValidName(v) {
		r.fail(section, key, fmt.Sprintf("%q is no name", v), "1 to 128 printable characters without spaces")
	}
	return v
}

func (r *reader) roles(section, key string) []Role {
	var roles []Role
	for _, v := range splitList(r.text(section, key, "entry")) {
		role := Role(v)
		if role != RoleEntry && role != RoleReplica {
			r.fail(section, key, fmt.Sprintf("%q is no role", v), "entry, replica, or both with a comma")
		}
		roles = append(roles, role)
	}
	return roles
}

func splitList(v string) []string {
	var out []string
	for _, part := range strings.Split(v, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

func (r *reader) address(section, key string) string {
	v := r.text(section, key, "")
	r.checkAddress(section, key, v)
	return v
}

func (r *reader) checkAddress(section, key, v string) {
	if a, err := netip.ParseAddrPort(v); err != nil || a.Port() == 0 {
		r.fail(section, key, fmt.Sprintf("%q is no address", v), "an IP number and a port, like 10.0.0.1:7400")
	}
}

func (r *reader) addresses(section, key string) []string {
	list := splitList(r.text(section, key, ""))
	if len(list) == 0 {
		r.fail(section, key, "is empty", "the peer addresses of all replicas, with commas")
	}
	for _, v := range list {
		r.checkAddress(section, key, v)
	}
	return list
}

func (r *reader) integer(section, key string, fallback, low, high int) int {
	text := r.text(section, key, "")
	if text == "" {
		return fallback
	}
	var v int
	if n, err := fmt.Sscanf(text, "%d", &v); n != 1 || err != nil || fmt.Sprint(v) != text || v < low || v > high {
		r.fail(section, key, fmt.Sprintf("%q is out of range", text), fmt.Sprintf("a whole number from %d to %d", low, high))
	}
	return v
}

func (r *reader) choice(section, key, fallback string, allowed ...string) string {
	v := r.text(section, key, fallback)
	if !slices.Contains(allowed, v) {
		r.fail(section, key, fmt.Sprintf("%q is unknown", v), strings.Join(allowed, ", "))
	}
	return v
}

func (r *reader) sha256(section, key string) []byte {
	text := r.text(section, key, "")
	if text == "" {
		return nil
	}
	sum, err := hex.DecodeString(text)
	if err != nil || len(sum) != len(state.KeyHash{}) {
		r.fail(section, key, "is no SHA-256", "64 hexadecimal digits, as printed by: bulrushwinch key-hash")
	}
	return sum
}

// minSecretBytes is the shortest cluster secret that is taken.
const minSecretBytes = 16

func (r *reader) secret(section, key string) string {
	path := r.text(section, key, "")
	data, err := os.ReadFile(path)
	if err != nil {
		r.fail(section, key, err.Error(), "a readable file that holds the cluster secret")
		return ""
	}
	secret := strings.TrimSpace(string(data))
	if len(secret) < minSecretBytes {
		r.fail(section, key, "the secret is too short", fmt.Sprintf("at least %d characters", minSecretBytes))
	}
	return secret
}

func (r *reader) refuseUnknown() {
	for _, section := range r.file.Sections() {
		for _, key := range section.Keys() {
			if !r.known[section.Name()+"."+key.Name()] {
				r.fail(section.Name(), key.Name(), "is unknown", r.allowedKeys(section.Name()))
			}
		}
	}
}

func (r *reader) allowedKeys(section string) string {
	var keys []string
	for k := range r.known {
		if s, key, _ := strings.Cut(k, "."); s == section {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return "sections node, listen, cluster, operator and log"
	}
	slices.Sort(keys)
	return strings.Join(keys, ", ")
}
