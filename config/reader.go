package config

import (
	"encoding/hex"
	"fmt"
	"io/fs"
	"maps"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/bulrushwinch/bulrushwinch/state"
)

// fail records a problem with a setting, unless an earlier one is recorded already.
func (r *reader) fail(section, key, problem, allowed string) {
	if r.err == nil {
		r.err = &Error{r.path, section, key, problem, allowed}
	}
}

// text returns the value of a key, or fallback if the file does not set it.
func (r *reader) text(section, key, fallback string) string {
	r.readKeys[section+"."+key] = true
	sec, err := r.file.GetSection(section)
	if err != nil || !sec.HasKey(key) {
		return fallback
	}
	if len(sec.Key(key).ValueWithShadows()) > 1 {
		r.fail(section, key, "is set more than once", "one value")
	}
	return sec.Key(key).String()
}

// filePath returns a path. A relative one is relative to the folder of the INI file.
func (r *reader) filePath(section, key string) string {
	path := r.text(section, key, "")
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(r.path), path)
}

func (r *reader) name(section, key string) string {
	v := r.text(section, key, "")
	if !state.ValidName(v) {
		r.fail(section, key, fmt.Sprintf("%q is not a valid name", v), "1 to 128 printable characters without spaces")
	}
	return v
}

func (r *reader) roles(section, key string) []Role {
	var roles []Role
	for _, v := range splitList(r.text(section, key, "entry")) {
		role := Role(v)
		if role != RoleEntry && role != RoleReplica {
			r.fail(section, key, fmt.Sprintf("%q is not a role", v), "entry, replica, or both, comma-separated")
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
		r.fail(section, key, fmt.Sprintf("%q is not a valid address", v), "an IP address and a port, like 10.0.0.1:7400")
	}
}

func (r *reader) addresses(section, key string) []string {
	list := splitList(r.text(section, key, ""))
	if len(list) == 0 {
		r.fail(section, key, "is empty", "the peer addresses of all replicas, comma-separated")
	}
	for _, v := range list {
		r.checkAddress(section, key, v)
	}
	return list
}

func (r *reader) optionalAddresses(section, key string) []string {
	if r.text(section, key, "") == "" {
		return nil
	}
	return r.addresses(section, key)
}

func (r *reader) duration(section, key string, fallback, low, high time.Duration) time.Duration {
	text := r.text(section, key, "")
	if text == "" {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < low || d > high {
		r.fail(section, key, fmt.Sprintf("%q is out of range", text), fmt.Sprintf("a time from %s to %s, like 1500ms", low, high))
	}
	return d
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
		r.fail(section, key, "is not a SHA-256 hash", "64 hexadecimal digits, as printed by: bulrushwinch key-hash")
	}
	return sum
}

// minSecretBytes is the length of the shortest cluster secret that is accepted.
const minSecretBytes = 16

func (r *reader) secret(section, key string) Secret {
	secret := strings.TrimSpace(string(r.privateFile(section, key, "a readable file that holds the cluster secret")))
	if len(secret) < minSecretBytes {
		r.fail(section, key, "the secret is too short", fmt.Sprintf("at least %d characters", minSecretBytes))
	}
	return Secret(secret)
}

// privateFile reads a file and adds a warning if others than its owner have access to it.
func (r *reader) privateFile(section, key, allowed string) []byte {
	data, mode := r.namedFile(section, key, allowed)
	if mode&0o077 != 0 {
		r.warnings = append(r.warnings, fmt.Sprintf("%s: [%s] %s: the file is accessible to others than its owner (mode %04o); 0600 is safer",
			r.path, section, key, mode.Perm()))
	}
	return data
}

func (r *reader) namedFile(section, key, allowed string) ([]byte, fs.FileMode) {
	data, mode, err := r.read(r.filePath(section, key))
	if err != nil {
		r.fail(section, key, err.Error(), allowed)
		return nil, 0
	}
	return data, mode
}

// fixedKeys are constants of the build, not settings: their values must be equal on all replicas
// at all times, or the replicas' states or leases would diverge.
var fixedKeys = map[string]bool{
	"retention": true, "clock_margin": true, "max_waiting": true, "max_attempts": true, "max_tasks": true,
	"max_payload": true, "max_answer": true, "lease": true, "lease_duration": true, "stop_grace": true, "start_window": true,
}

// rejectUnknown reports a key that is not a setting, and thereby an unknown section. An unknown
// section without keys is ignored.
func (r *reader) rejectUnknown() {
	for _, section := range r.file.Sections() {
		for _, key := range section.Keys() {
			switch {
			case r.readKeys[section.Name()+"."+key.Name()]:
			case fixedKeys[key.Name()]:
				r.fail(section.Name(), key.Name(), "must be equal on all replicas and can't be set for one process", "no value")
			default:
				r.fail(section.Name(), key.Name(), "is unknown", r.allowedKeys(section.Name()))
			}
		}
	}
}

// allowedKeys lists the keys of a section or, if it has none, the sections.
func (r *reader) allowedKeys(section string) string {
	var keys []string
	sections := make(map[string]bool)
	for k := range r.readKeys {
		s, key, _ := strings.Cut(k, ".")
		sections[s] = true
		if s == section {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return "the sections " + strings.Join(slices.Sorted(maps.Keys(sections)), ", ")
	}
	slices.Sort(keys)
	return strings.Join(keys, ", ")
}
