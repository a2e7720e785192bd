package wal

import (
	"os"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ErrInUse tells that another process has claimed the data folder.
var ErrInUse = errors.New("wal: another process uses the data folder")

// Claim is the sole use of a data folder by one process. It ends with the process at
// the latest.
type Claim struct {
	dir *os.File
}

// ClaimFolder claims a data folder, which it creates if there is none. Two processes on
// one folder would vote twice under one identity. It returns ErrInUse if another process,
// or an earlier Claim of this one, holds the folder.
func ClaimFolder(dir string) (*Claim, error) {
	if err := os.MkdirAll(dir, folderPermissions); err != nil {
		return nil, errors.Wrap(err, "wal: create data folder")
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
		return nil, errors.Wrap(err, "wal: claim data folder")
	}
	return &Claim{f}, nil
}

// Release ends the claim.
func (c *Claim) Release() error { return errors.Wrap(c.dir.Close(), "wal: release data folder") }
