package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

const damagedPattern = "damaged-%04d"

// SetAside moves the content of a damaged data folder, its identity first, into a new
// folder inside it, whose path is returned. The data folder is then empty for a new
// identity. A crash on the way leaves no identity behind, so that it can be repeated.
func SetAside(dir string) (string, error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return "", errors.Wrap(err, "wal: list folder")
	}
	aside, err := makeDamagedFolder(dir)
	if err != nil {
		return "", err
	}
	names := []string{identityFile}
	for _, f := range files {
		if f.Name() != identityFile && !f.IsDir() {
			names = append(names, f.Name())
		}
	}
	for _, name := range names {
		err := os.Rename(filepath.Join(dir, name), filepath.Join(aside, name))
		if err != nil && !os.IsNotExist(err) {
			return "", errors.Wrap(err, "wal: set file aside")
		}
		if err := (osFiles{}).SyncDir(dir); err != nil {
			return "", errors.Wrap(err, "wal: sync folder")
		}
	}
	return aside, errors.Wrap(osFiles{}.SyncDir(aside), "wal: sync folder")
}

func makeDamagedFolder(dir string) (string, error) {
	for n := 1; ; n++ {
		path := filepath.Join(dir, fmt.Sprintf(damagedPattern, n))
		err := os.Mkdir(path, folderPermissions)
		if err == nil {
			return path, nil
		}
		if !os.IsExist(err) {
			return "", errors.Wrap(err, "wal: create folder")
		}
	}
}

// HasLog reports whether the folder holds a log or snapshots.
func HasLog(dir string) (bool, error) {
	files, err := os.ReadDir(dir)
	if os.IsNotExist(err) {
		return false, nil
	}
	for _, f := range files {
		if strings.HasPrefix(f.Name(), "segment-") || strings.HasPrefix(f.Name(), "snapshot-") {
			return true, nil
		}
	}
	return false, errors.Wrap(err, "wal: list folder")
}
