package wal

import (
	"syscall"
	"testing"

	"github.com/pkg/errors"
)

// unsyncableFiles fails the syncs of files that were created while failing is set.
type unsyncableFiles struct {
	osFiles
	failing bool
}

type unsyncableFile struct {
	file
	fs *unsyncableFiles
}

func (u *unsyncableFiles) Create(path string) (file, error) {
	f, err := u.osFiles.Create(path)
	return &unsyncableFile{f, u}, err
}

func (u *unsyncableFile) Sync() error {
	if u.fs.failing {
		return syscall.ENOSPC
	}
	return u.file.Sync()
}

// TestFrameOfAFailedSyncIsNotReadAgain expects that lack of space which only the sync reports ends the log, and
// that the next process does not take the frame, which the kernel may have dropped, for durable.
func TestFrameOfAFailedSyncIsNotReadAgain(t *testing.T) {
	dir, fs := t.TempDir(), &unsyncableFiles{}
	log, _, err := open(dir, fs)
	if err != nil {
		t.Fatal(err)
	}
	m := &model{log: log}
	if err := m.append(1, 1, 2); err != nil {
		t.Fatal(err)
	}
	fs.failing = true
	if err := m.append(1, 3, 1); !errors.Is(err, ErrFailed) || errors.Is(err, ErrNoSpace) {
		t.Errorf("append with a failed sync: %v", err)
	}
	m.unacknowledged = nil
	_ = log.Close()
	m.check(t, dir)
}
