package peer

import (
	"testing"

	"github.com/bulrushwinch/bulrushwinch/raft"
)

// Batches stay below what a server takes, whatever waits: each is closed at batchBytes, and none is empty.
func TestBatchesAreBounded(t *testing.T) {
	message := func(size int) raft.Message { return raft.Message{Entries: []raft.Entry{{Data: make([]byte, size)}}} }
	messages := []raft.Message{message(1), message(batchBytes - 2), message(12 << 20), message(12 << 20), message(0)}
	for _, want := range []int{3, 1, 1} {
		if n := prefixOfBytes(messages, batchBytes); n != want {
			t.Fatalf("%d messages in a batch, not %d", n, want)
		}
		messages = messages[want:]
	}
	queue := make(chan int, 10)
	for range 3 {
		queue <- batchBytes / 2
	}
	if got := drainBatch(batchBytes/2, queue, func(n int) int { return n }); len(got) != 2 {
		t.Errorf("%d calls in a batch", len(got))
	}
}
