package metrics

import (
	"encoding/json"
	"testing"
	"time"
)

func TestHistogram(t *testing.T) {
	h := NewHistogram("test_histogram")
	for i := range 100 {
		h.Record(time.Duration(i+1) * time.Millisecond)
	}
	h.Record(-time.Second)
	h.Record(100 * 24 * time.Hour)
	var got struct {
		Count int     `json:"count"`
		P50   float64 `json:"p50_ms"`
		Max   float64 `json:"max_ms"`
	}
	if err := json.Unmarshal([]byte(h.String()), &got); err != nil {
		t.Fatal(err)
	}
	if got.Count != 102 || got.P50 < 49 || got.P50 > 52 || got.Max < float64(longest/time.Millisecond) {
		t.Errorf("got %+v", got)
	}
}
