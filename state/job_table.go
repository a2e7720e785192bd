package state

import (
	"iter"
	"slices"
)

// jobsPerPage is the number of consecutive job IDs in one page of a jobTable.
const jobsPerPage = 256

// jobPage holds jobs with consecutive IDs. A page of an epoch older than that of its table is
// shared with a capture and must be copied before it is changed.
type jobPage struct {
	epoch uint32
	// count is the number of jobs on the page.
	count int
	jobs  [jobsPerPage]*Job
}

// jobTable maps job IDs to jobs. Since IDs only grow, it is a directory of pages rather than a
// map, so that share can return an immutable view at the cost of copying the directory.
type jobTable struct {
	// epoch counts the calls of share.
	epoch uint32
	// base is the page number of the first element of pages.
	base  uint64
	pages []*jobPage
	count int
}

func (t *jobTable) get(id JobID) *Job {
	n := uint64(id) / jobsPerPage
	if n < t.base || n-t.base >= uint64(len(t.pages)) || t.pages[n-t.base] == nil {
		return nil
	}
	return t.pages[n-t.base].jobs[uint64(id)%jobsPerPage]
}

// put adds a job whose ID is not in the table.
func (t *jobTable) put(j *Job) {
	n := uint64(j.ID) / jobsPerPage
	if len(t.pages) == 0 {
		t.base = n
	}
	if n < t.base {
		t.pages = append(make([]*jobPage, t.base-n), t.pages...)
		t.base = n
	}
	for n-t.base >= uint64(len(t.pages)) {
		t.pages = append(t.pages, nil)
	}
	p := t.writable(n - t.base)
	p.jobs[uint64(j.ID)%jobsPerPage] = j
	p.count++
	t.count++
}

func (t *jobTable) remove(id JobID) {
	if t.get(id) == nil {
		return
	}
	i := uint64(id)/jobsPerPage - t.base
	p := t.writable(i)
	p.jobs[uint64(id)%jobsPerPage] = nil
	p.count--
	t.count--
	if p.count == 0 {
		t.pages[i] = nil
	}
	for len(t.pages) > 0 && t.pages[0] == nil {
		t.pages = t.pages[1:]
		t.base++
	}
}

// writable returns the page at index i of the directory, after replacing it by a new page if it
// is nil and by a copy if a capture shares it.
func (t *jobTable) writable(i uint64) *jobPage {
	p := t.pages[i]
	switch {
	case p == nil:
		p = &jobPage{epoch: t.epoch}
	case p.epoch != t.epoch:
		c := *p
		c.epoch = t.epoch
		p = &c
	default:
		return p
	}
	t.pages[i] = p
	return p
}

// share returns a view of the table that later changes to the table do not affect.
func (t *jobTable) share() jobTable {
	frozen := jobTable{epoch: t.epoch, base: t.base, pages: slices.Clone(t.pages), count: t.count}
	t.epoch++
	return frozen
}

// all iterates over the jobs in ascending order of ID.
func (t *jobTable) all() iter.Seq2[JobID, *Job] {
	return func(yield func(JobID, *Job) bool) {
		for _, p := range t.pages {
			if p == nil {
				continue
			}
			for _, j := range p.jobs {
				if j != nil && !yield(j.ID, j) {
					return
				}
			}
		}
	}
}
