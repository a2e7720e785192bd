package wal

import (
	"fmt"
	"io"
	"testing"

	"github.com/bulrushwinch/bulrushwinch/raft"
)

// BenchmarkAppend reports the time of one synced write of entries of 100 bytes.
func BenchmarkAppend(b *testing.B) {
	for _, size := range []int{1, 16, 256, 1024} {
		b.Run(fmt.Sprint("entries=", size), func(b *testing.B) {
			log, _, err := Open(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = log.Close() }()
			next := uint64(1)
			entries := make([]raft.Entry, size)
			for b.Loop() {
				for i := range entries {
					entries[i] = raft.Entry{Index: next, Term: 1, Data: make([]byte, 100)}
					next++
				}
				if err := log.Append(raft.HardState{Term: 1}, entries); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "fsyncs/s")
			b.ReportMetric(float64(b.N*size)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}

// BenchmarkOpen reports the recovery time of a log with entries of 1 KiB.
func BenchmarkOpen(b *testing.B) {
	for _, length := range []int{1_000, 10_000, 50_000} {
		b.Run(fmt.Sprint("entries=", length), func(b *testing.B) {
			dir := b.TempDir()
			log, _, err := Open(dir)
			if err != nil {
				b.Fatal(err)
			}
			var entries []raft.Entry
			for i := range uint64(length) {
				entries = append(entries, raft.Entry{Index: i + 1, Term: 1, Data: make([]byte, 1024)})
			}
			for len(entries) > 0 {
				n := min(1000, len(entries))
				if err := log.Append(raft.HardState{Term: 1}, entries[:n]); err != nil {
					b.Fatal(err)
				}
				entries = entries[n:]
			}
			_ = log.Close()
			for b.Loop() {
				log, _, err := Open(dir)
				if err != nil {
					b.Fatal(err)
				}
				_ = log.Close()
			}
		})
	}
}

// BenchmarkStoreSnapshot measures writing and installing a received snapshot of 100 MiB.
func BenchmarkStoreSnapshot(b *testing.B) {
	log, _, err := Open(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	part := make([]byte, 1<<20)
	index := uint64(0)
	b.SetBytes(100 << 20)
	for b.Loop() {
		index++
		s := raft.Snapshot{Index: index, Term: 1, Members: testMembers}
		err := log.StoreSnapshot(s, Received, func(w io.Writer) error {
			for range 100 {
				if _, err := w.Write(part); err != nil {
					return err
				}
			}
			return nil
		})
		if err != nil {
			b.Fatal(err)
		}
		if err := log.UseSnapshot(s, Received); err != nil {
			b.Fatal(err)
		}
	}
}
