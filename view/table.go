package view

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"
)

// row is one record with the revision at which this process noticed its last change.
type row[M proto.Message] struct {
	record  M
	changed uint64
}

// table holds the records of one type by name, and the names of deleted ones with the revision
// of their deletion.
type table[M proto.Message] struct {
	name    func(M) string
	rows    map[string]row[M]
	deleted map[string]uint64
}

func newTable[M proto.Message](name func(M) string) *table[M] {
	return &table[M]{name: name, rows: make(map[string]row[M]), deleted: make(map[string]uint64)}
}

// replace sets the whole content as of a revision; records that did not change keep the
// revision of their last change.
func (t *table[M]) replace(records []M, revision uint64) {
	present := make(map[string]bool, len(records))
	for _, m := range records {
		present[t.name(m)] = true
		t.put(m, revision)
	}
	for name := range t.rows {
		if !present[name] {
			t.remove(name, revision)
		}
	}
}

func (t *table[M]) put(m M, revision uint64) {
	name := t.name(m)
	if old, ok := t.rows[name]; ok && proto.Equal(old.record, m) {
		return
	}
	t.rows[name] = row[M]{m, revision}
	delete(t.deleted, name)
}

func (t *table[M]) remove(name string, revision uint64) {
	if _, ok := t.rows[name]; ok {
		delete(t.rows, name)
		t.deleted[name] = revision
	}
}

// since returns the records that were changed and the names of those that were deleted after a
// revision, sorted by name.
func (t *table[M]) since(revision uint64) (changed []M, deleted []string) {
	for _, name := range slices.Sorted(maps.Keys(t.rows)) {
		if r := t.rows[name]; r.changed > revision {
			changed = append(changed, r.record)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.deleted)) {
		if t.deleted[name] > revision {
			deleted = append(deleted, name)
		}
	}
	return changed, deleted
}

func (t *table[M]) get(name string) (M, bool) {
	r, ok := t.rows[name]
	return r.record, ok
}

// applyDelta applies the changes that lead to a revision.
func applyDelta[M proto.Message](t *table[M], changed []M, deleted []string, revision uint64) {
	for _, m := range changed {
		t.put(m, revision)
	}
	for _, name := range deleted {
		t.remove(name, revision)
	}
}
