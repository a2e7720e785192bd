package daemon

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/bulrushwinch/bulrushwinch/config"
	"github.com/bulrushwinch/bulrushwinch/lease"
	"github.com/bulrushwinch/bulrushwinch/timeline"
	"github.com/bulrushwinch/bulrushwinch/view"
	"github.com/rs/zerolog"
)

// TestWhereWithoutAReplica expects a process that decides nothing to send the command on to others, to refuse bodies
// that are no job or too large, and to go on with its other duties at the admin address.
func TestWhereWithoutAReplica(t *testing.T) {
	events := timeline.NewRecorder("n", timeline.NewClock(nil), 1)
	d := &Daemon{settings: &config.Settings{Name: "n"}, log: zerolog.Nop()}
	d.health = newHealth(d.log, events, view.New(lease.BootClock{}, view.DefaultStaleAfter))
	for _, c := range []struct {
		method, path, body string
		want               int
	}{
		{http.MethodPost, "/debug/where?team=t", `{"queue":"q","steps":[{"count":1}]}`, http.StatusMisdirectedRequest},
		{http.MethodPost, "/debug/where?request=5c0e7a21d94b36f8", "", http.StatusMisdirectedRequest},
		{http.MethodPost, "/debug/where?team=t", `{"queues":"q"}`, http.StatusBadRequest},
		{http.MethodPost, "/debug/where?team=t", strings.Repeat(" ", maxWhereBody+1), http.StatusRequestEntityTooLarge},
		{http.MethodGet, "/debug/where", "", http.StatusNotFound},
		{http.MethodGet, "/healthz", "", http.StatusOK},
	} {
		w := httptest.NewRecorder()
		d.adminHandler().ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
		if w.Code != c.want {
			t.Errorf("%s %s: status %d, want %d: %s", c.method, c.path, w.Code, c.want, w.Body)
		}
	}
}
