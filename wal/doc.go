// Package wal keeps a replica's durable state in one data folder.
//
// The folder holds an identity file, log segments and snapshot files. All
// content is covered by CRC-32C. Append returns only after the data is synced:
//
//	l, restored, err := wal.Open(dir)
//	err = l.Append(hardState, entries)
//
// A snapshot is stored beside the log, from any goroutine, and then taken into
// use between two appends:
//
//	err = l.StoreSnapshot(snapshot, wal.Local, func(w io.Writer) error { ... })
//	err = l.UseSnapshot(snapshot, wal.Local)
//
// A write, sync or rename that fails makes the Log unusable, because the kernel
// may have dropped the data that it failed to write. All later calls return
// ErrFailed and the process has to stop; nothing is acknowledged after it.
//
// Open repairs a torn tail, the mark of a crash during an unacknowledged
// write. Damage anywhere else returns ErrCorrupt: entries that may have been
// acknowledged are never skipped. SetAside then clears the folder for a new
// identity.
package wal
