// Package wal is a write-ahead log that keeps the durable state of one raft
// replica in one data folder.
//
// The folder holds an identity file, log segments and snapshot files. All
// content is covered by CRC-32C. Append returns only after the data is synced:
//
//	l, restored, err := wal.Open(dir)
//	err = l.Append(hardState, entries)
//
// StoreSnapshot writes a snapshot to its own file and may be called from any
// goroutine. UseSnapshot then installs it between two appends:
//
//	err = l.StoreSnapshot(snapshot, wal.Local, func(w io.Writer) error { ... })
//	err = l.UseSnapshot(snapshot, wal.Local)
//
// A write, sync or rename that fails makes the Log unusable, because the kernel
// may have discarded the data that it failed to write. Append, StoreSnapshot and
// UseSnapshot then return ErrFailed without writing anything, so that nothing is
// acknowledged after the failure, and the process has to stop. The exception is
// an error while a snapshot file is created or its content is written, which
// leaves the log usable; see StoreSnapshot.
//
// A full disk is no such failure: a write that finds no space before its sync
// was not acknowledged. The log removes what is left of it and returns
// ErrNoSpace; the call may be made again once there is space.
//
// Open truncates a torn tail, the partial frame that a crash leaves behind during
// an unacknowledged write. Damage anywhere else returns ErrCorrupt: entries that
// may have been acknowledged are never skipped. SetAside then moves the damaged
// files away, so that the folder can be used under a new identity.
package wal
