package state

import (
	"iter"
	"slices"
)

// jobsPerPage is the number of consecutive job numbers in one page of a jobTable.
const jobsPerPage = 256

// jobPage holds jobs with consecutive numbers. A page of an older epoch is shared with a
// capture and is copied before it is written.
type jobPage struct {
	epoch uint32
	live  int
	jobs  [jobsPerPage]*Job
}

// jobTable maps job numbers to jobs. Numbers grow, so that a directory of pages takes the
// place of a map; share hands out a frozen view at the cost of copying the directory.
type jobTable struct {
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

// put adds a job whose number is not in the table and not below the first page.
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
	p.live++
	t.count++
}

func (t *jobTable) remove(id JobID) {
	if t.get(id) == nil {
		return
	}
	i := uint64(id)/jobsPerPage - t.base
	p := t.writable(i)
	p.jobs[uint64(id)%jobsPerPage] = nil
	p.live--
	t.count--
	if p.live == 0 {
		t.pages[i] = nil
	}
	for len(t.pages) > 0 && t.pages[0] == nil {
		t.pages = t.pages[1:]
		t.base++
	}
}

// writable returns a page that no capture shares.
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

// share returns a view of the table that later changes do not touch.
func (t *jobTable) share() jobTable {
	frozen := jobTable{epoch: t.epoch, base: t.base, pages: slices.Clone(t.pages), count: t.count}
	t.epoch++
	return frozen
}

// all iterates over the jobs by number.
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
