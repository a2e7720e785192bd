package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bulrushwinch/bulrushwinch/control"
	"github.com/bulrushwinch/bulrushwinch/dispatch"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
)

const (
	// maxWhereBody bounds the body of a question about a job in bytes, as that of a caller's submission.
	maxWhereBody = 256 << 10
	// whereTimeout bounds the time that a question waits for the control goroutine and for a commit.
	whereTimeout = 2 * time.Second
)

// errNoPipelines is the answer of a process that never leads, or whose upstreams poll it.
var errNoPipelines = errors.New("daemon: this process does not decide where jobs of steps go")

// whereEngine answers where a job would go; see dispatch.Engine.Where.
type whereEngine interface {
	Where(q dispatch.WhereQuestion, done func(*dispatch.Where, error))
}

// adminHandler serves health checks, metrics and questions about jobs.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", d.health.handler())
	mux.HandleFunc("POST /debug/where", d.serveWhere)
	return mux
}

// serveWhere answers where a job would go. The parameter "request" is the identity of a known job. Without it, the body
// is a pipeline.v1.JobSpec as JSON with its queue, and the parameter "team" names the team.
func (d *Daemon) serveWhere(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxWhereBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	query := r.URL.Query()
	q := dispatch.WhereQuestion{Request: query.Get("request"), Team: query.Get("team"), Spec: &pipelinev1.JobSpec{}}
	if err := protojson.Unmarshal(body, q.Spec); err != nil && q.Request == "" {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), whereTimeout)
	defer cancel()
	answer, err := d.askWhere(ctx, q)
	if err != nil {
		refuseWhere(w, err)
		return
	}
	data, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// refuseWhere answers a question that was not decided: 421 from a process that does not lead, 429 to one too many.
func refuseWhere(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, control.ErrNotLeader), errors.Is(err, errNoPipelines):
		status = http.StatusMisdirectedRequest
	case errors.Is(err, dispatch.ErrWhereBusy):
		status = http.StatusTooManyRequests
		w.Header().Set("Retry-After", strconv.Itoa(1))
	}
	http.Error(w, err.Error(), status)
}

// askWhere has the engine of this process's replica answer on the control goroutine.
func (d *Daemon) askWhere(ctx context.Context, q dispatch.WhereQuestion) (*dispatch.Where, error) {
	role := d.currentReplica()
	if role == nil || role.where == nil {
		return nil, errNoPipelines
	}
	type result struct {
		answer *dispatch.Where
		err    error
	}
	answered := make(chan result, 1)
	if err := role.node.Post(ctx, func() {
		role.where.Where(q, func(a *dispatch.Where, err error) { answered <- result{a, err} })
	}); err != nil {
		return nil, errors.Wrap(err, "daemon: ask where a job would go")
	}
	select {
	case r := <-answered:
		return r.answer, r.err
	case <-role.node.Done():
		return nil, control.ErrNotLeader
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "daemon: ask where a job would go")
	}
}

// Where implements whereEngine.
func (e tunedEngine) Where(q dispatch.WhereQuestion, done func(*dispatch.Where, error)) {
	if w, ok := e.Engine.(whereEngine); ok {
		w.Where(q, done)
		return
	}
	done(nil, errNoPipelines)
}
