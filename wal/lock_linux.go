package wal

import (
	"os"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ErrInUse is returned when the data folder is locked already.
var ErrInUse = errors.New("wal: another process uses the data folder")

// FolderLock is an exclusive lock on a data folder. The operating system releases it when the
// process ends.
type FolderLock struct {
	dir *os.File
}

// LockFolder locks a data folder, and creates it if it does not exist. Without the lock, two
// processes on one folder would vote twice under one identity. It returns ErrInUse, wrapped, if
// another process, or an earlier call in this one, holds the lock, and ErrNoSpace if the folder can't be
// created for lack of space.
func LockFolder(dir string) (*FolderLock, error) {
	if err := os.MkdirAll(dir, folderPermissions); err != nil {
		return nil, asNoSpace(errors.Wrap(err, "wal: create data folder"))
	}
	f, err := os.Open(dir)
	if err != nil {
		return nil, errors.Wrap(err, "wal: open data folder")
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, errors.Wrap(ErrInUse, dir)
		}
		return nil, errors.Wrap(err, "wal: lock data folder")
	}
	return &FolderLock{f}, nil
}

// Release releases the lock.
func (l *FolderLock) Release() error { return errors.Wrap(l.dir.Close(), "wal: unlock data folder") }
