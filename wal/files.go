package wal

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// file is an open file that is written sequentially.
type file interface {
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

// fileSystem holds the operations that change a folder; tests inject faults into them.
type fileSystem interface {
	// Create creates a file for appending; it must not exist yet.
	Create(path string) (file, error)
	// Truncate cuts a file to size bytes and syncs it.
	Truncate(path string, size int64) error
	// Rename renames a file, replacing the target if it exists.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(path string) error
	// Mkdir creates a folder; it must not exist yet.
	Mkdir(path string) error
	// SyncDir syncs a folder, which makes the files created, renamed and removed in it durable.
	SyncDir(dir string) error
}

// osFiles is the fileSystem of the operating system.
type osFiles struct{}

// Create implements fileSystem.
func (osFiles) Create(path string) (file, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, filePermissions)
}

// Truncate implements fileSystem.
func (osFiles) Truncate(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_WRONLY, filePermissions)
	if err != nil {
		return err
	}
	err = f.Truncate(size)
	return syncAndClose(f, err)
}

// Rename implements fileSystem.
func (osFiles) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements fileSystem.
func (osFiles) Remove(path string) error { return os.Remove(path) }

// Mkdir implements fileSystem.
func (osFiles) Mkdir(path string) error { return os.Mkdir(path, folderPermissions) }

// SyncDir implements fileSystem.
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

// syncAndClose syncs and closes a file, and returns the first error. If err is not nil, it
// only closes the file and returns err.
func syncAndClose(f file, err error) error {
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// writeAtomic writes a file so that after a crash it has either its complete new content or its
// old content, or is absent if there was no old one. Without space it returns ErrNoSpace.
func writeAtomic(fs fileSystem, path string, data []byte) error {
	tmp := path + temporarySuffix
	if err := fs.Remove(tmp); err != nil && !os.IsNotExist(err) {
		return errors.Wrap(err, "wal: remove temporary file")
	}
	f, err := fs.Create(tmp)
	if err != nil {
		return asNoSpace(errors.Wrap(err, "wal: create file"))
	}
	if _, err = f.Write(data); err != nil {
		_ = f.Close()
		_ = fs.Remove(tmp)
		return asNoSpace(errors.Wrap(err, "wal: write file"))
	}
	if err := syncAndClose(f, nil); err != nil {
		return errors.Wrap(err, "wal: sync file")
	}
	if err := fs.Rename(tmp, path); err != nil {
		return asNoSpace(errors.Wrap(err, "wal: rename file"))
	}
	return errors.Wrap(fs.SyncDir(filepath.Dir(path)), "wal: sync folder")
}
