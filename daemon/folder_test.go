package daemon

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/wal"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

const existingGroup = 77

// testFolder records the replicas that joined. If exists is not set, there is no group and no
// replica answers.
type testFolder struct {
	folder
	exists bool
	joined []raft.ID
}

func newTestFolder(t *testing.T, exists bool) *testFolder {
	f := &testFolder{exists: exists}
	f.folder = folder{dir: filepath.Join(t.TempDir(), "data"), log: zerolog.Nop(), self: raft.Member{Address: "10.0.0.1:7401"}}
	f.joinOnce = func(_ context.Context, id wal.Identity) uint64 {
		if !f.exists {
			return 0
		}
		f.joined = append(f.joined, id.Replica)
		return existingGroup
	}
	f.joinWithRetry = func(ctx context.Context, id wal.Identity) (uint64, error) {
		if group := f.joinOnce(ctx, id); group != 0 {
			return group, nil
		}
		return 0, context.DeadlineExceeded
	}
	return f
}

func (f *testFolder) mustOpen(t *testing.T, bootstrap bool) *openedFolder {
	t.Helper()
	opened, err := f.open(context.Background(), bootstrap)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = opened.storage.Close() })
	return opened
}

// write appends an entry to a folder as a member does, and closes it.
func (o *openedFolder) write(t *testing.T) {
	t.Helper()
	last := o.restored.Snapshot.Index + uint64(len(o.restored.Entries))
	err := o.storage.Append(raft.HardState{Term: 2, Commit: last}, []raft.Entry{{Index: last + 1, Term: 2, Data: []byte("x")}})
	if err != nil {
		t.Fatal(err)
	}
	_ = o.storage.Close()
}

func TestFolderKeepsItsIdentity(t *testing.T) {
	f := newTestFolder(t, true)
	first := f.mustOpen(t, false)
	first.write(t)
	second := f.mustOpen(t, false)
	if second.id != first.id || first.id.Group != existingGroup || len(second.restored.Entries) != 1 || len(f.joined) != 1 {
		t.Errorf("opened as %v, then %v with %d entries; joined %v", first.id, second.id, len(second.restored.Entries), f.joined)
	}
}

func TestBootstrapFoundsOneGroupOnly(t *testing.T) {
	f := newTestFolder(t, false)
	first := f.mustOpen(t, true)
	members := first.restored.Snapshot.Members
	if len(members) != 1 || members[0].ID != first.id.Replica || !members[0].Voter || first.id.Group == 0 {
		t.Fatalf("created %v with %v", first.id, members)
	}
	_ = first.storage.Close()
	if second := f.mustOpen(t, true); second.id != first.id {
		t.Errorf("a second start opened %v", second.id)
	}
	other := newTestFolder(t, true)
	if joined := other.mustOpen(t, true); joined.id.Group != existingGroup || joined.restored.Snapshot.Index != 0 {
		t.Errorf("bootstrap beside a group opened %v", joined.id)
	}
}

// TestDamagedFolderJoinsAnew damages a member's folder in several ways, with bootstrap still set.
// The replica must join under a new identity.
func TestDamagedFolderJoinsAnew(t *testing.T) {
	flip := func(pattern string) func(dir string) error {
		return func(dir string) error {
			paths, err := filepath.Glob(filepath.Join(dir, pattern))
			if err != nil || len(paths) == 0 {
				return errors.Errorf("no %s: %v", pattern, err)
			}
			data, err := os.ReadFile(paths[0])
			if err != nil {
				return err
			}
			data[len(data)/2] ^= 1
			return os.WriteFile(paths[0], data, 0o600)
		}
	}
	remove := func(pattern string) func(dir string) error {
		return func(dir string) error {
			paths, err := filepath.Glob(filepath.Join(dir, pattern))
			for _, p := range paths {
				if err == nil {
					err = os.Remove(p)
				}
			}
			return err
		}
	}
	for name, damage := range map[string]func(dir string) error{
		"log": flip("segment-*"), "snapshot": flip("snapshot-*"), "identity": flip("identity.json"),
		"no identity": remove("identity.json"), "no log": remove("s*"), "emptied": remove("*"),
	} {
		f := newTestFolder(t, false)
		first := f.mustOpen(t, true)
		first.write(t)
		if err := damage(f.dir); err != nil {
			t.Fatal(err)
		}
		f.exists = true
		again := f.mustOpen(t, true)
		if again.id.Replica == first.id.Replica || again.id.Group != existingGroup ||
			again.restored.Snapshot.Index != 0 || len(again.restored.Entries) != 0 {
			t.Errorf("%s: opened %v with snapshot %d after %v", name, again.id, again.restored.Snapshot.Index, first.id)
		}
		if aside, _ := filepath.Glob(filepath.Join(f.dir, "damaged-*")); len(aside) != 1 && name != "emptied" {
			t.Errorf("%s: set aside in %v", name, aside)
		}
	}
}

// TestCrashBeforeIdentityIsSaved joins and loses the result, as in a crash. The next start must
// join again under the same identity.
func TestCrashBeforeIdentityIsSaved(t *testing.T) {
	f := newTestFolder(t, true)
	id, _, err := wal.LoadIdentity(f.dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.joinWithRetry(context.Background(), id); err != nil {
		t.Fatal(err)
	}
	opened := f.mustOpen(t, false)
	if opened.id.Replica != id.Replica || len(f.joined) != 2 || f.joined[0] != f.joined[1] {
		t.Errorf("joined as %v, opened %v", f.joined, opened.id)
	}
}

// TestDamagedFolderFoundsNothing damages the only replica of a group. It must wait for a group
// and never create a new one.
func TestDamagedFolderFoundsNothing(t *testing.T) {
	f := newTestFolder(t, false)
	f.mustOpen(t, true).write(t)
	if err := os.Truncate(filepath.Join(f.dir, "identity.json"), 3); err != nil {
		t.Fatal(err)
	}
	if _, err := f.open(context.Background(), true); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("opened a damaged folder without a group: %v", err)
	}
}

// A replica that is not a seed waits for the group of the initial voters, also with bootstrap
// set. Such a replica once created a second group, which acknowledged changes that were then
// lost.
func TestBootstrapWithFoundersJoinsUnlessItIsOne(t *testing.T) {
	voters := initialVotersOf([]string{"10.0.0.3:7401", "10.0.0.2:7401", "10.0.0.4:7401"})
	outsider := newTestFolder(t, true)
	outsider.initialVoters = voters
	if opened := outsider.mustOpen(t, true); opened.id.Group != existingGroup || len(outsider.joined) != 1 {
		t.Errorf("a replica that is not a seed opened group %d; joined %v", opened.id.Group, outsider.joined)
	}
	alone := newTestFolder(t, false)
	alone.initialVoters = voters
	if _, err := alone.open(context.Background(), true); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a replica that is not a seed did not wait for the group: %v", err)
	}
}

// The initial voters write the same first membership, each under its own identity.
func TestFoundersFoundOneGroup(t *testing.T) {
	addresses := []string{"10.0.0.3:7401", "10.0.0.1:7401", "10.0.0.4:7401"}
	var first *openedFolder
	for _, address := range addresses {
		f := newTestFolder(t, false)
		f.self.Address, f.initialVoters = address, initialVotersOf(addresses)
		opened := f.mustOpen(t, true)
		if first == nil {
			first = opened
		} else if opened.id.Group != first.id.Group || opened.id.Replica == first.id.Replica {
			t.Errorf("%s created group %d as %d, another %d as %d", address, opened.id.Group, opened.id.Replica, first.id.Group, first.id.Replica)
		}
		if got := len(opened.restored.Snapshot.Members); got != len(addresses) {
			t.Errorf("%s created a group of %d members", address, got)
		}
	}
}

// TestCrashDuringFormationIsResumed ends the creation of a group after each of its steps, before the
// identity names the group. The restarted replica must be the member that it was to become, also if
// bootstrap is no longer set; otherwise seeds that are killed together never form a group.
func TestCrashDuringFormationIsResumed(t *testing.T) {
	seeds := initialVotersOf([]string{"10.0.0.3:7401", "10.0.0.1:7401", "10.0.0.4:7401"})
	for name, c := range map[string]struct {
		voters    []raft.Member
		hardState bool
		bootstrap bool
	}{
		"seed": {seeds, true, false}, "seed without hard state": {seeds, false, false}, "seed that bootstraps again": {seeds, false, true},
		"alone": {nil, true, false}, "alone without hard state": {nil, false, true},
	} {
		f := newTestFolder(t, false)
		f.initialVoters = c.voters
		id := f.crashDuringFormation(t, c.hardState)
		want := raft.ID(hashIdentity(f.self.Address))
		if c.voters == nil {
			want = id.Replica
		}
		opened, err := f.open(context.Background(), c.bootstrap)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		_ = opened.storage.Close()
		if opened.id.Replica != want || opened.restored.HardState != (raft.HardState{Term: 1, Commit: 1}) || opened.restored.Snapshot.Index != 1 {
			t.Errorf("%s: opened %v with %v, expected replica %d", name, opened.id, opened.restored, want)
		}
		if c.voters != nil && opened.id.Group != initialGroupID(seeds) || opened.id.Group == 0 {
			t.Errorf("%s: opened group %d", name, opened.id.Group)
		}
	}
}

// crashDuringFormation creates a group as open does, up to the snapshot or the hard state.
func (f *testFolder) crashDuringFormation(t *testing.T, hardState bool) wal.Identity {
	t.Helper()
	id, _, err := wal.LoadIdentity(f.dir)
	if err != nil {
		t.Fatal(err)
	}
	storage, _, err := wal.Open(f.dir)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = storage.Close() }()
	first := raft.BootstrapGroup(f.initialVoters)
	if f.initialVoters == nil {
		first = raft.Bootstrap(raft.Member{ID: id.Replica, Address: f.self.Address})
	}
	err = storage.StoreSnapshot(first.Snapshot, wal.Received, func(io.Writer) error { return nil })
	if err == nil {
		err = storage.UseSnapshot(first.Snapshot, wal.Received)
	}
	if err == nil && hardState {
		err = storage.Append(first.HardState, nil)
	}
	if err != nil {
		t.Fatal(err)
	}
	return id
}

// TestLogWithoutGroupIsNotResumed expects that a log that has been used is set aside if its identity
// names no group.
func TestLogWithoutGroupIsNotResumed(t *testing.T) {
	for name, use := range map[string]func(*wal.Log) error{
		"vote": func(l *wal.Log) error { return l.Append(raft.HardState{Term: 1, Vote: 5, Commit: 1}, nil) },
		"term": func(l *wal.Log) error { return l.Append(raft.HardState{Term: 2, Commit: 1}, nil) },
		"entry": func(l *wal.Log) error {
			return l.Append(raft.HardState{Term: 1, Commit: 1}, []raft.Entry{{Index: 2, Term: 1}})
		},
	} {
		f := newTestFolder(t, true)
		f.initialVoters = initialVotersOf([]string{"10.0.0.3:7401", "10.0.0.1:7401", "10.0.0.4:7401"})
		f.crashDuringFormation(t, true)
		storage, _, err := wal.Open(f.dir)
		if err == nil {
			err = use(storage)
		}
		if err != nil {
			t.Fatal(err)
		}
		_ = storage.Close()
		if opened := f.mustOpen(t, true); opened.id.Group != existingGroup || opened.restored.Snapshot.Index != 0 {
			t.Errorf("%s: opened %v with snapshot %d", name, opened.id, opened.restored.Snapshot.Index)
		}
	}
}

// TestFolderWaitsForSpace expects that a folder is opened once there is space, with one log line for the wait, that
// other errors end the wait, and that the process can stop during it.
func TestFolderWaitsForSpace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		f := &folder{log: zerolog.New(&lines)}
		left, began := 10, time.Now()
		got, err := retryWithoutSpace(t.Context(), f, func() (int, error) {
			if left--; left >= 0 {
				return 0, errors.Wrap(wal.ErrNoSpace, "open")
			}
			return 7, wal.ErrCorrupt
		})
		if got != 7 || !errors.Is(err, wal.ErrCorrupt) || time.Since(began) != 10*spaceRetryInterval {
			t.Errorf("returned %d, %v after %v", got, err, time.Since(began))
		}
		if n := bytes.Count(lines.Bytes(), []byte("\n")); n != 2 {
			t.Errorf("%d log lines, expected 2: %s", n, lines.String())
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err = retryWithoutSpace(ctx, f, func() (int, error) { return 0, wal.ErrNoSpace })
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("stopped with %v", err)
		}
	})
}
