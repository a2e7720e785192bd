package sched

// spread counts the live tasks of a class of services per upstream, rack and failure domain.
type spread struct {
	upstreams map[*upstream]int
	racks     map[*rack]int
	domains   map[*domain]int
}

func (s *spread) add(u *upstream, n int) {
	if s.racks == nil {
		s.upstreams, s.racks, s.domains = make(map[*upstream]int), make(map[*rack]int), make(map[*domain]int)
	}
	addCount(s.upstreams, u, n)
	addCount(s.racks, u.rack, n)
	addCount(s.domains, u.domain, n)
}

func addCount[K comparable](counts map[K]int, key K, n int) {
	counts[key] += n
	if counts[key] == 0 {
		delete(counts, key)
	}
}

// score weighs an upstream by the tasks that its domain, rack and VM already hold.
func (s *spread) score(u *upstream) float64 {
	return float64(domainWeight*s.domains[u.domain] + rackWeight*s.racks[u.rack] + vmWeight*s.upstreams[u])
}
