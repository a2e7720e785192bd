package daemon

import (
	"slices"
	"testing"
)

// TestSourcesReachTheLeader lets processes give hints that are empty or outdated. The leader must
// be asked within a few tries nevertheless.
func TestSourcesReachTheLeader(t *testing.T) {
	list := []string{"a", "b", "c", "d"}
	for name, c := range map[string]struct {
		own   string
		hints map[string]string
	}{
		"nobody knows":                   {"", nil},
		"one knows":                      {"", map[string]string{"b": "d"}},
		"own replica is out of date":     {"c", nil},
		"all are out of date":            {"c", map[string]string{"b": "c", "c": "b"}},
		"hints go in a circle":           {"", map[string]string{"b": "c", "c": "b"}},
		"hint at an address not listed":  {"x", map[string]string{"b": "x"}},
		"hint at the process that asks":  {"a", map[string]string{"b": "a", "c": "a"}},
		"own replica names it correctly": {"d", nil},
	} {
		s := &sourceSelector{self: "a", list: list}
		var asked []string
		for range 12 {
			s.setHint(c.own)
			address := s.pick()
			asked = append(asked, address)
			if address == "d" {
				s.succeeded()
				break
			}
			s.failed(c.hints[address])
		}
		if !slices.Contains(asked, "d") || slices.Contains(asked, "a") {
			t.Errorf("%s: asked %v", name, asked)
		}
	}
}
