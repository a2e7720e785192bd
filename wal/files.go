package wal

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// file is an open file that is written from start to end.
type file interface {
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

// fileSystem holds the operations that change a folder; tests let them fail.
type fileSystem interface {
	// Create opens a new file for appending.
	Create(path string) (file, error)
	Truncate(path string, size int64) error
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes created, renamed and removed names durable.
	SyncDir(dir string) error
}

// osFiles is the fileSystem of the operating system.
type osFiles struct{}

func (osFiles) Create(path string) (file, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, filePermissions)
}

// Truncate cuts a file and syncs it.
func (osFiles) Truncate(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_WRONLY, filePermissions)
	if err != nil {
		return err
	}
	err = f.Truncate(size)
	return syncAndClose(f, err)
}

func (osFiles) Rename(from, to string) error { return os.Rename(from, to) }

func (osFiles) Remove(path string) error { return os.Remove(path) }

func (osFiles) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return syncAndClose(d, nil)
}

const (
	filePermissions   = 0o600
	folderPermissions = 0o700
)

// syncAndClose ends the writing of a file. It returns the first error, or err if that is set.
func syncAndClose(f file, err error) error {
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// writeAtomic writes a file so that it is either absent, old or complete after a crash.
func writeAtomic(fs fileSystem, path string, data []byte) error {
	tmp := path + temporarySuffix
	if err := fs.Remove(tmp); err != nil && !os.IsNotExist(err) {
		return errors.Wrap(err, "wal: remove temporary file")
	}
	f, err := fs.Create(tmp)
	if err != nil {
		return errors.Wrap(err, "wal: create file")
	}
	_, err = f.Write(data)
	if err := syncAndClose(f, err); err != nil {
		return errors.Wrap(err, "wal: write file")
	}
	if err := fs.Rename(tmp, path); err != nil {
		return errors.Wrap(err, "wal: rename file")
	}
	return errors.Wrap(fs.SyncDir(filepath.Dir(path)), "wal: sync folder")
}
