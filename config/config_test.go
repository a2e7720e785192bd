package config

import (
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

const secretText = "a-cluster-secret-that-nobody-may-see"

const valid = `[node]
name = vm1
failure_domain = cordon
roles = entry, replica
data_folder = /var/lib/bulrushwinch
[listen]
public = 127.0.0.1:7400
peer = 127.0.0.1:7401
admin = 127.0.0.1:7402
[cluster]
replicas = 127.0.0.1:7401
secret_file = secret
`

// fakeFiles serves the files that the settings of the tests name.
func fakeFiles(path string) ([]byte, fs.FileMode, error) {
	switch path {
	case "secret":
		return []byte(secretText + "\n"), 0o600, nil
	case "open-secret":
		return []byte(secretText), 0o644, nil
	case "short":
		return []byte("short"), 0o600, nil
	}
	return nil, 0, errors.Errorf("open %s: no such file", path)
}

// TestErrorsNameEverything changes one line at a time and expects an error that names the file,
// the section, the key, the problem and the allowed values.
func TestErrorsNameEverything(t *testing.T) {
	for _, c := range []struct{ old, line, section, key, problem, allowed string }{
		{"name = vm1", "name = two words", "node", "name", "is not a valid name", "printable"},
		{"name = vm1", "", "node", "name", "is not a valid name", "printable"},
		{"name = vm1", "name = a\nname = b", "node", "name", "more than once", "one value"},
		{"name = vm1", "name = a\ncolour = red", "node", "colour", "is unknown", "data_folder, failure_domain, name, roles"},
		{"[node]", "[house]\na = 1\n[node]", "house", "a", "is unknown", "cluster, entry, limits, listen, log, node, operator, replica, tls"},
		{"roles = entry, replica", "roles = entry, king", "node", "roles", "king", "entry, replica"},
		{"roles = entry, replica", "roles = entry", "node", "data_folder", "without the role", "no value"},
		{"data_folder = /var/lib/bulrushwinch", "", "node", "data_folder", "missing", "a folder"},
		{"public = 127.0.0.1:7400", "public = localhost:7400", "listen", "public", "not a valid address", "an IP address"},
		{"public = 127.0.0.1:7400", "public = 127.0.0.1:7401", "listen", "admin", "equal", "different"},
		{"replicas = 127.0.0.1:7401", "replicas =", "cluster", "replicas", "empty", "peer addresses"},
		{"replicas = 127.0.0.1:7401", "replicas = 127.0.0.9:7401", "cluster", "replicas", "own peer address", "replicas"},
		{"[cluster]", "[cluster]\nvoters = 4", "cluster", "voters", "even", "1, 3, 5 or 7"},
		{"[cluster]", "[cluster]\nvoters = many", "cluster", "voters", "out of range", "from 1 to 7"},
		{"[cluster]", "[cluster]\nview_sources = 127.0.0.1:7401", "cluster", "view_sources", "itself", "other processes"},
		{"secret_file = secret", "secret_file = nowhere", "cluster", "secret_file", "no such file", "readable file"},
		{"secret_file = secret", "secret_file = short", "cluster", "secret_file", "too short", "at least 16"},
		{"[cluster]", "[operator]\nkey_sha256 = 12\n[cluster]", "operator", "key_sha256", "not a SHA-256 hash", "64 hexadecimal"},
		{"[cluster]", "[replica]\npoll_hold = 9s\n[cluster]", "replica", "poll_hold", "out of range", "1.5s"},
		{"[cluster]", "[replica]\nretention = 9s\n[cluster]", "replica", "retention", "equal on all replicas", "no value"},
		{"[cluster]", "[entry]\ndrain_delay = -1s\n[cluster]", "entry", "drain_delay", "out of range", "from 0s to 1m"},
		{"[cluster]", "[entry]\nteam_mib = 0\n[cluster]", "entry", "team_mib", "out of range", "from 1 to 4096"},
		{"[cluster]", "[limits]\nhead_kib = 8\n[cluster]", "limits", "head_kib", "out of range", "from 16 to 1024"},
		{"[cluster]", "[limits]\nstall_ms = 100\n[cluster]", "limits", "stall_ms", "out of range", "from 3s to 5m"},
		{"[cluster]", "[log]\nlevel = loud\n[cluster]", "log", "level", "unknown", "debug, info, warn, error"},
		{"[cluster]", "[tls]\npublic_certificate = x\n[cluster]", "tls", "public_certificate", "together", "both or none"},
		{"[cluster]", "[tls]\npeer_ca = secret\n[cluster]", "tls", "peer_ca", "holds no certificate", "PEM"},
		{"[cluster]", "[tls]\npublic_certificate = secret\npublic_key = secret\n[cluster]", "tls", "public_certificate", "PEM", "belongs to"},
	} {
		_, err := parse("vm1.ini", []byte(strings.Replace(valid, c.old, c.line, 1)), fakeFiles)
		var e *Error
		if !errors.As(err, &e) {
			t.Errorf("%q: %v", c.line, err)
			continue
		}
		if e.File != "vm1.ini" || e.Section != c.section || e.Key != c.key || !strings.Contains(e.Problem, c.problem) || !strings.Contains(e.Allowed, c.allowed) {
			t.Errorf("%q: %v", c.line, err)
		}
	}
}

// TestSecretsAreHidden prints settings and errors in every usual way and searches the output for
// the secret.
func TestSecretsAreHidden(t *testing.T) {
	s, err := parse("vm1.ini", []byte(strings.Replace(valid, "= secret", "= open-secret", 1)), fakeFiles)
	if err != nil {
		t.Fatal(err)
	}
	if s.Secret.Reveal() != secretText {
		t.Errorf("the secret was read as %q", s.Secret.Reveal())
	}
	if len(s.Warnings) != 1 || !strings.Contains(s.Warnings[0], "secret_file") {
		t.Errorf("warnings: %q", s.Warnings)
	}
	var out strings.Builder
	log := zerolog.New(&out)
	log.Info().Interface("settings", s).Stringer("secret", s.Secret).Strs("warnings", s.Warnings).Msg("")
	encoded, _ := json.Marshal(s.Secret)
	fmt.Fprintf(&out, "%s %v %+v %#v %q", encoded, s, s, s.Secret, s.Secret)
	if strings.Contains(out.String(), secretText) {
		t.Errorf("the secret is printed: %s", out.String())
	}
}

func TestNamedFilesAreRegularAndSmall(t *testing.T) {
	big := t.TempDir() + "/big"
	if err := os.WriteFile(big, make([]byte, maxFileBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"/dev/zero", t.TempDir(), big} {
		if _, _, err := readFile(path); err == nil {
			t.Errorf("%s was read, want an error", path)
		}
	}
}

// FuzzParse expects that every input gives either consistent settings or one error that names the
// file.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := parse("fuzz.ini", data, fakeFiles)
		switch {
		case err != nil && !strings.Contains(err.Error(), "fuzz.ini"):
			t.Errorf("the error names no file: %v", err)
		case err == nil && (s.Name == "" || len(s.Replicas) == 0 || s.Voters%2 == 0 || len(s.Secret) < minSecretBytes):
			t.Errorf("inconsistent settings were accepted: %+v", s)
		}
	})
}
