package dispatch

// inFlight tracks proposals that are neither committed nor known to have failed, by a key such as the
// identity of an upstream. Calls whose answer depends on the outcome of such a proposal wait for it.
type inFlight map[string]*proposals

// proposals are those under one key.
type proposals struct {
	count   int
	waiting []func(error)
}

// begin records a proposal under a key. The returned function must be called once, with the error of the
// proposal or nil.
func (f inFlight) begin(key string) (end func(error)) {
	p := f[key]
	if p == nil {
		p = &proposals{}
		f[key] = p
	}
	p.count++
	return func(err error) {
		if p.count--; p.count > 0 {
			return
		}
		delete(f, key)
		for _, resume := range p.waiting {
			resume(err)
		}
	}
}

// has reports whether a proposal under the key is in flight.
func (f inFlight) has(key string) bool { return f[key] != nil }

// wait calls resume when no proposal under the key is in flight any more, with the error of the last one. It
// returns false, and never calls resume, if none is in flight now.
func (f inFlight) wait(key string, resume func(error)) bool {
	p := f[key]
	if p == nil {
		return false
	}
	p.waiting = append(p.waiting, resume)
	return true
}
