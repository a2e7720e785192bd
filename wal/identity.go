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

// Identity belongs to a data folder from its creation on.
type Identity struct {
	// Replica is random, so that an emptied folder never returns under its old identity.
	Replica raft.ID
	// Group is the group that the folder belongs to; zero before it has joined one.
	Group uint64
}

// identityRecord is the content of the identity file.
type identityRecord struct {
	Identity
	// Checksum is the CRC-32C of the identity.
	Checksum uint32
}

func (r identityRecord) checksum() uint32 {
	b := binary.LittleEndian.AppendUint64(nil, uint64(r.Replica))
	return crc32.Checksum(binary.LittleEndian.AppendUint64(b, r.Group), castagnoli)
}

// LoadIdentity reads the folder's identity, or creates folder and identity if both are
// missing. A log without an identity, as a crash in SetAside leaves it, is ErrCorrupt.
func LoadIdentity(dir string) (id Identity, created bool, err error) {
	if err := os.MkdirAll(dir, folderPermissions); err != nil {
		return id, false, errors.Wrap(err, "wal: create data folder")
	}
	data, err := os.ReadFile(filepath.Join(dir, identityFile))
	if os.IsNotExist(err) {
		if hasLog, err := HasLog(dir); hasLog || err != nil {
			return id, false, errors.Wrap(ErrCorrupt, "the data folder holds a log without an identity")
		}
		id = Identity{Replica: raft.ID(RandomID())}
		return id, true, SaveIdentity(dir, id)
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

// SaveIdentity makes the folder's identity durable.
func SaveIdentity(dir string, id Identity) error {
	record := identityRecord{Identity: id}
	record.Checksum = record.checksum()
	data, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "wal: encode identity")
	}
	return writeAtomic(osFiles{}, filepath.Join(dir, identityFile), data)
}

// RandomID returns a random non-zero number for identities.
func RandomID() uint64 {
	for {
		var b [8]byte
		if _, err := rand.Read(b[:]); err != nil {
			panic("wal: no randomness: " + err.Error())
		}
		if n := binary.LittleEndian.Uint64(b[:]) >> 1; n != 0 {
			return n
		}
	}
}
