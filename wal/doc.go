// Package wal keeps a replica's durable state in one data folder.
//
// The folder holds an identity file, log segments and snapshot files. Every
// record carries a CRC-32C. Append returns only after the data is synced; a
// failed write or sync makes the Log unusable, because the kernel may have
// dropped the data that it failed to write:
//
//	l, restored, err := wal.Open(dir)
//	err = l.Append(hardState, entries)
//	err = l.SaveSnapshot(snapshot)
//
// Open repairs a torn tail, the mark of a crash during an unacknowledged
// write. Damage anywhere else returns ErrCorrupt: entries that may have been
// acknowledged are never skipped.
package wal
