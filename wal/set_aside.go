package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

const damagedPattern = "damaged-%04d"

// SetAside moves the files of a damaged data folder into a new subfolder and returns its path.
// The data folder can then take a new identity. The identity file is moved first, so that after
// a crash, or ErrNoSpace, the folder has no identity and SetAside can be called again.
func SetAside(dir string) (string, error) { return setAside(dir, osFiles{}) }

func setAside(dir string, fs fileSystem) (string, error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return "", errors.Wrap(err, "wal: list folder")
	}
	aside, err := makeDamagedFolder(dir, fs)
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
		err := fs.Rename(filepath.Join(dir, name), filepath.Join(aside, name))
		if err != nil && !os.IsNotExist(err) {
			_ = fs.Remove(aside) // It is removed only while it is empty.
			return "", asNoSpace(errors.Wrap(err, "wal: move damaged file"))
		}
		if err := fs.SyncDir(dir); err != nil {
			return "", errors.Wrap(err, "wal: sync folder")
		}
	}
	return aside, errors.Wrap(fs.SyncDir(aside), "wal: sync folder")
}

// makeDamagedFolder creates the first subfolder damaged-0001, damaged-0002 and so on that does
// not exist yet.
func makeDamagedFolder(dir string, fs fileSystem) (string, error) {
	for n := 1; ; n++ {
		path := filepath.Join(dir, fmt.Sprintf(damagedPattern, n))
		err := fs.Mkdir(path)
		if err == nil {
			return path, nil
		}
		if !os.IsExist(err) {
			return "", asNoSpace(errors.Wrap(err, "wal: create folder"))
		}
	}
}

// HasLog reports whether the folder holds log segments or snapshots. It is false if
// the folder does not exist.
func HasLog(dir string) (bool, error) {
	files, err := os.ReadDir(dir)
	if os.IsNotExist(err) {
		return false, nil
	}
	for _, f := range files {
		if strings.HasSuffix(f.Name(), temporarySuffix) {
			continue // It is not complete, so that nothing in it was acknowledged.
		}
		if strings.HasPrefix(f.Name(), "segment-") || strings.HasPrefix(f.Name(), "snapshot-") {
			return true, nil
		}
	}
	return false, errors.Wrap(err, "wal: list folder")
}
