package raft

// entryOverheadBytes is the memory that an entry takes besides its data.
const entryOverheadBytes = 48

// log is the in-memory part of the replicated log: the entries that are not compacted.
type log struct {
	// snapIndex and snapTerm are the index and term of the last compacted entry, which precedes
	// entries. The newest snapshot covers at least that index.
	snapIndex uint64
	snapTerm  uint64
	entries   []Entry
	committed uint64
	// applied is the last index that the owner has applied; see Ready.Committed.
	applied uint64
	// stable is the last index that is durable on this replica. writeIssued is the last index
	// whose write was started; it exceeds stable only while a write of a leader is in progress.
	stable, writeIssued uint64
}

func (l *log) lastIndex() uint64 {
	return l.snapIndex + uint64(len(l.entries))
}

func (l *log) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index i. It returns false if i is compacted or beyond the log.
func (l *log) term(i uint64) (uint64, bool) {
	if i == l.snapIndex {
		return l.snapTerm, true
	}
	if i < l.snapIndex || i > l.lastIndex() {
		return 0, false
	}
	return l.entries[i-l.snapIndex-1].Term, true
}

// matches reports whether the entry at index i is known and has the given term.
func (l *log) matches(i, term uint64) bool {
	t, ok := l.term(i)
	return ok && t == term
}

// slice returns the entries with indexes in (after, upTo], as many as fit into maxBytes of data but at
// least one.
func (l *log) slice(after, upTo uint64, maxBytes int) []Entry {
	if after >= upTo || after < l.snapIndex {
		return nil
	}
	all := l.entries[after-l.snapIndex : upTo-l.snapIndex]
	size := 0
	for i := range all {
		size += len(all[i].Data)
		if i > 0 && size > maxBytes {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// truncateAppend adds entries received from a leader and removes a suffix of the log that conflicts
// with them. Entries that are already present with the same term are kept as they are.
func (l *log) truncateAppend(entries []Entry) {
	for i := range entries {
		e := entries[i]
		if l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.committed {
			panic("raft: conflict with a committed entry")
		}
		if e.Index <= l.lastIndex() {
			keep := e.Index - l.snapIndex - 1
			l.entries = append([]Entry(nil), l.entries[:keep]...)
			l.stable, l.writeIssued = min(l.stable, e.Index-1), min(l.writeIssued, e.Index-1)
		}
		l.entries = append(l.entries, entries[i:]...)
		return
	}
}

// entriesToWrite returns the entries to make durable next. There are none while a write is in
// progress.
func (l *log) entriesToWrite() []Entry {
	if l.writeIssued > l.stable {
		return nil
	}
	return l.slice(l.stable, l.lastIndex(), 1<<62)
}

// commitTo raises the commit index to i, but not beyond the end of the log.
func (l *log) commitTo(i uint64) {
	if i > l.committed {
		l.committed = min(i, l.lastIndex())
	}
}

// upToDate reports whether the log of a candidate, which ends at the given index and term, is at least
// as up-to-date as this one.
func (l *log) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// compact removes the entries up to and including i, which a snapshot covers.
func (l *log) compact(i uint64) {
	if i <= l.snapIndex {
		return
	}
	t, _ := l.term(i)
	l.entries = append([]Entry(nil), l.entries[i-l.snapIndex:]...)
	l.snapIndex, l.snapTerm = i, t
}

// compactionIndex returns the index up to which to compact so that the entries after it, up to and
// including the snapshot index i, take at most keepBytes with their overhead.
func (l *log) compactionIndex(i uint64, keepBytes int) uint64 {
	kept := 0
	for i > l.snapIndex {
		kept += len(l.entries[i-l.snapIndex-1].Data) + entryOverheadBytes
		if kept > keepBytes {
			return i
		}
		i--
	}
	return i
}

// restore replaces the whole log with a snapshot.
func (l *log) restore(s *Snapshot) {
	l.entries = nil
	l.snapIndex, l.snapTerm = s.Index, s.Term
	l.committed, l.applied, l.stable, l.writeIssued = s.Index, s.Index, s.Index, s.Index
}
