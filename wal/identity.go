package wal

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/pkg/errors"
)

const identityFile = "identity.json"

// Identity identifies a data folder. It is created with the folder.
type Identity struct {
	// Replica is the replica's ID. It is random, so that a folder whose content was lost
	// never comes back under its old ID.
	Replica raft.ID
	// Group is the group that the folder belongs to; zero until it has joined one.
	Group uint64
}

// identityRecord is the content of the identity file.
type identityRecord struct {
	Identity
	// Checksum is the CRC-32C of Replica and Group.
	Checksum uint32
}

func (r identityRecord) checksum() uint32 {
	b := binary.LittleEndian.AppendUint64(nil, uint64(r.Replica))
	return crc32.Checksum(binary.LittleEndian.AppendUint64(b, r.Group), castagnoli)
}

// LoadIdentity reads the folder's identity, or creates the folder and a new identity if there
// is neither an identity nor a log. It returns ErrCorrupt, wrapped, for a damaged identity, for
// a log without an identity, which a crash in SetAside can leave behind, and for a folder
// without an identity that can't be listed. It returns ErrNoSpace if there is no space for a new identity.
func LoadIdentity(dir string) (id Identity, created bool, err error) {
	return loadIdentity(dir, osFiles{})
}

func loadIdentity(dir string, fs fileSystem) (id Identity, created bool, err error) {
	if err := os.MkdirAll(dir, folderPermissions); err != nil {
		return id, false, asNoSpace(errors.Wrap(err, "wal: create data folder"))
	}
	data, err := os.ReadFile(filepath.Join(dir, identityFile))
	if os.IsNotExist(err) {
		if hasLog, err := HasLog(dir); hasLog || err != nil {
			return id, false, errors.Wrap(ErrCorrupt, "the data folder holds a log without an identity")
		}
		if err := syncParent(dir, fs); err != nil {
			return id, false, err
		}
		id = Identity{Replica: raft.ID(RandomID())}
		return id, true, saveIdentity(dir, fs, id)
	}
	if err != nil {
		return id, false, errors.Wrap(err, "wal: read identity")
	}
	var record identityRecord
	if err := json.Unmarshal(data, &record); err != nil || record.Checksum != record.checksum() || record.Replica == raft.None {
		return id, false, errors.Wrap(ErrCorrupt, identityFile)
	}
	return record.Identity, false, nil
}

// syncParent makes the name of a new data folder durable. A parent that can't be read is left alone:
// the folder was then not created by this process.
func syncParent(dir string, fs fileSystem) error {
	err := fs.SyncDir(filepath.Dir(filepath.Clean(dir)))
	if os.IsPermission(err) {
		return nil
	}
	return errors.Wrap(err, "wal: sync the parent of the data folder")
}

// SaveIdentity replaces the folder's identity and syncs it. Without space it returns ErrNoSpace and
// keeps the old identity.
func SaveIdentity(dir string, id Identity) error { return saveIdentity(dir, osFiles{}, id) }

func saveIdentity(dir string, fs fileSystem, id Identity) error {
	record := identityRecord{Identity: id}
	record.Checksum = record.checksum()
	data, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "wal: encode identity")
	}
	return writeAtomic(fs, filepath.Join(dir, identityFile), data)
}

// RandomID returns a random non-zero number of at most 63 bits for use as an identity.
func RandomID() uint64 {
	for {
		var b [8]byte
		if _, err := rand.Read(b[:]); err != nil {
			panic("wal: read random bytes: " + err.Error())
		}
		if n := binary.LittleEndian.Uint64(b[:]) >> 1; n != 0 {
			return n
		}
	}
}
