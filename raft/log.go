package raft

// entryOverheadBytes is the memory of an entry besides its data.
const entryOverheadBytes = 48

// log holds the entries after the last snapshot, in memory.
type log struct {
	// snapIndex and snapTerm are the position that entries follow; the newest snapshot
	// covers at least as much.
	snapIndex uint64
	snapTerm  uint64
	entries   []Entry
	committed uint64
	// applied is the last index handed to the owner in Ready.Committed.
	applied uint64
	// stable is the last index known to be durable here, written the last that was handed out to
	// be made durable; it is above stable only while a leader's write is under way.
	stable, written uint64
}

func (l *log) lastIndex() uint64 {
	return l.snapIndex + uint64(len(l.entries))
}

func (l *log) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term at index i; false if i is compacted or not yet written.
func (l *log) term(i uint64) (uint64, bool) {
	if i == l.snapIndex {
		return l.snapTerm, true
	}
	if i < l.snapIndex || i > l.lastIndex() {
		return 0, false
	}
	return l.entries[i-l.snapIndex-1].Term, true
}

func (l *log) matches(i, term uint64) bool {
	t, ok := l.term(i)
	return ok && t == term
}

// slice returns the entries in (after, upTo], bounded to maxBytes but at least one.
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

// truncateAppend writes entries that follow index prev, dropping a conflicting suffix.
// Entries that are already present with the same term stay untouched.
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
			l.stable, l.written = min(l.stable, e.Index-1), min(l.written, e.Index-1)
		}
		l.entries = append(l.entries, entries[i:]...)
		return
	}
}

// unwritten returns the entries that have to be made durable next. There are none while a write is
// under way.
func (l *log) unwritten() []Entry {
	if l.written > l.stable {
		return nil
	}
	return l.slice(l.stable, l.lastIndex(), 1<<62)
}

func (l *log) commitTo(i uint64) {
	if i > l.committed {
		l.committed = min(i, l.lastIndex())
	}
}

// upToDate reports whether a candidate's last position is no older than ours.
func (l *log) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// compact drops entries up to and including i, which a snapshot covers.
func (l *log) compact(i uint64) {
	if i <= l.snapIndex {
		return
	}
	t, _ := l.term(i)
	l.entries = append([]Entry(nil), l.entries[i-l.snapIndex:]...)
	l.snapIndex, l.snapTerm = i, t
}

// tailStart returns the index up to which entries may go so that those up to i keep
// about keepBytes of data.
func (l *log) tailStart(i uint64, keepBytes int) uint64 {
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

// restore replaces the log by a snapshot.
func (l *log) restore(s *Snapshot) {
	l.entries = nil
	l.snapIndex, l.snapTerm = s.Index, s.Term
	l.committed, l.applied, l.stable, l.written = s.Index, s.Index, s.Index, s.Index
}
