package sched

// spread counts the live tasks of a service class per upstream, rack and failure domain.
type spread struct {
	upstreams map[*upstream]int
	racks     map[*rack]int
	domains   map[*domain]int
}

// add adds n to the counts of an upstream, its rack and its failure domain.
func (s *spread) add(u *upstream, n int) {
	if s.racks == nil {
		s.upstreams, s.racks, s.domains = make(map[*upstream]int), make(map[*rack]int), make(map[*domain]int)
	}
	addCount(s.upstreams, u, n)
	addCount(s.racks, u.rack, n)
	addCount(s.domains, u.domain, n)
}

// addCount adds n to a count and deletes counts that become zero.
func addCount[K comparable](counts map[K]int, key K, n int) {
	counts[key] += n
	if counts[key] == 0 {
		delete(counts, key)
	}
}

// score is the penalty of an upstream for the tasks already in its failure domain, in its
// rack and on its VM.
func (s *spread) score(u *upstream) float64 {
	return float64(domainWeight*s.domains[u.domain] + rackWeight*s.racks[u.rack] + vmWeight*s.upstreams[u])
}
