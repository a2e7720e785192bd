package retry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// A process that has no time to process an answer does not take its server for silent.
func TestStalledProcessTakesItsServerForSilent(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer server.Close()
	call := func() error {
		ctx, cancel := withTimeout(t.Context(), 60*time.Millisecond, time.Minute, func() {})
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
		if err != nil {
			return err
		}
		resp, err := server.Client().Do(req)
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var stop atomic.Bool
	defer stop.Store(true)
	for range 2 {
		go func() {
			for !stop.Load() {
			}
		}()
	}
	for range 3 {
		if err := call(); err != nil {
			t.Fatal(err)
		}
	}
}

// stallTest is a timeout in a process that can be stalled in virtual time.
type stallTest struct {
	ctx    context.Context
	delay  atomic.Int64
	stalls atomic.Int64
}

func newStallTest(timeout time.Duration) *stallTest {
	s := &stallTest{}
	ctx, cancel := context.WithCancelCause(context.Background())
	s.ctx = ctx
	newStallTimer(timeout, maxStallTime, func() time.Duration { return time.Duration(s.delay.Load()) }, cancel, func() { s.stalls.Add(1) })
	return s
}

// expect checks whether the context has timed out and how often its timeout was extended.
func (s *stallTest) expect(t *testing.T, timedOut bool, stalls int64) {
	t.Helper()
	synctest.Wait()
	if got := errors.Is(context.Cause(s.ctx), context.DeadlineExceeded); got != timedOut || s.stalls.Load() != stalls {
		t.Errorf("timed out: %v after %d stalls; expected %v after %d", got, s.stalls.Load(), timedOut, stalls)
	}
}

func TestTimeoutWithoutStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStallTest(100 * time.Millisecond)
		s.delay.Store(int64(stallTolerance))
		time.Sleep(99 * time.Millisecond)
		s.expect(t, false, 0)
		time.Sleep(time.Millisecond)
		s.expect(t, true, 0)
	})
}

func TestStallExtendsTheTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStallTest(100 * time.Millisecond)
		s.delay.Store(int64(50 * time.Millisecond))
		time.Sleep(100 * time.Millisecond)
		s.expect(t, false, 1)
		s.delay.Store(0)
		time.Sleep(stallFactor*50*time.Millisecond - time.Millisecond)
		s.expect(t, false, 1)
		time.Sleep(time.Millisecond)
		s.expect(t, true, 1)
	})
}

func TestLastingStallDoesNotExtendTheTimeoutForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStallTest(100 * time.Millisecond)
		s.delay.Store(int64(100 * time.Millisecond))
		time.Sleep(100*time.Millisecond + maxStallTime + stallFactor*100*time.Millisecond)
		s.expect(t, true, 3)
	})
}

func TestOneLongStallAddsMoreThanASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStallTest(100 * time.Millisecond)
		s.delay.Store(int64(900 * time.Millisecond))
		time.Sleep(100*time.Millisecond + maxStallTime)
		s.expect(t, true, 1)
	})
}
