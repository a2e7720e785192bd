package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/bulrushwinch/bulrushwinch/dispatch"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
)

const (
	// adminVariable is the environment variable that gives the default of -admin.
	adminVariable = "BULRUSHWINCH_ADMIN"
	// maxWhereAnswer bounds an answer in bytes.
	maxWhereAnswer = 4 << 20
	// whereTimeout is the default time limit: one process that does not answer must not keep the others from being asked.
	whereTimeout = 10 * time.Second
	// whereAttempt bounds the call to one process.
	whereAttempt = 3 * time.Second
)

// whereFlags are the flags of where. They describe one job.
type whereFlags struct {
	admin, file, queue, team string
	tasks                    int
	cores                    float64
	memoryMiB                int64
	gang, lasting            bool
	expected                 time.Duration
}

func whereCommand() *command {
	var v whereFlags
	return &command{name: "where", synopsis: "show where a job of steps would go now, without submitting it", ownTimeout: whereTimeout,
		usage: `where -admin ADDRESSES -team T -queue Q [flags] | where -admin ADDRESSES -team T -f FILE |
       where -admin ADDRESSES REQUEST_ID
  Shows whether the leader would accept a job now, which upstreams its tasks would get or be asked
  about, and why they would wait; with REQUEST_ID, the same of the waiting tasks of a job that was
  accepted. Nothing is submitted. ADDRESSES are admin addresses of replicas; the one that leads
  answers, one question a second. FILE holds a pipeline.v1.JobSpec as JSON.
  Example: bulrushwinch where -admin 127.0.0.1:9464 -team montevideo -queue labels -tasks 4 -cores 2
  Example: bulrushwinch where -admin 127.0.0.1:9464 -team montevideo -f job.json
  Example: bulrushwinch where -admin 127.0.0.1:9464 5c0e7a21d94b36f8
`,
		bind: v.bind,
		run: func(ctx context.Context, s *session, args []string) error {
			if v.admin == "" {
				v.admin = s.env(adminVariable)
			}
			query := url.Values{"team": {v.team}}
			if len(args) == 1 {
				query = url.Values{"request": args}
			}
			spec, err := v.spec(args)
			if err != nil {
				return err
			}
			data, err := askWhere(ctx, strings.Split(v.admin, ","), query, spec)
			if err != nil {
				return err
			}
			return s.printWhere(data)
		}}
}

func (v *whereFlags) bind(f *flag.FlagSet) {
	f.StringVar(&v.admin, "admin", "", "comma-separated admin `addresses` of replicas; the default is the variable "+adminVariable)
	f.StringVar(&v.file, "f", "", "JSON `file` with the whole job; unknown fields are refused")
	f.StringVar(&v.queue, "queue", "", "`queue` for the job")
	f.StringVar(&v.team, "team", "", "`team` that would submit it; none for a call without a key on an open queue")
	f.IntVar(&v.tasks, "tasks", 1, "`number` of tasks")
	f.Float64Var(&v.cores, "cores", 1, "cores per task")
	f.Int64Var(&v.memoryMiB, "memory", 256, "memory per task in `MiB`")
	f.BoolVar(&v.gang, "gang", false, "all tasks start together or not at all")
	f.BoolVar(&v.lasting, "lasting", false, "tasks run until the job is cancelled")
	f.DurationVar(&v.expected, "expected", time.Second, "expected run `time` of a task")
}

// spec returns the job that the flags describe; nil if an argument names a request.
func (v *whereFlags) spec(args []string) (*pipelinev1.JobSpec, error) {
	given := len(args)
	for _, source := range []string{v.file, v.queue} {
		if source != "" {
			given++
		}
	}
	switch {
	case v.admin == "" || given != 1:
		return nil, usageError("where takes -admin and one of -f, -queue and REQUEST_ID")
	case len(args) == 1:
		return nil, nil
	case v.file == "":
		return &pipelinev1.JobSpec{Queue: v.queue, Steps: []*pipelinev1.Step{{Count: int32(v.tasks), Gang: v.gang, Lasting: v.lasting, EstimateMs: v.expected.Milliseconds(),
			Need: &pipelinev1.Resources{MilliCores: int64(v.cores * 1000), MemoryMib: v.memoryMiB}}}}, nil
	}
	data, err := os.ReadFile(v.file)
	if err != nil {
		return nil, usageError(err.Error())
	}
	spec := &pipelinev1.JobSpec{}
	if err := protojson.Unmarshal(data, spec); err != nil {
		return nil, usageError(v.file + ": " + strings.ReplaceAll(err.Error(), noBreakSpace, " "))
	}
	return spec, nil
}

// askWhere asks one address after the other until one that leads answers, and returns its answer.
func askWhere(ctx context.Context, addresses []string, query url.Values, spec *pipelinev1.JobSpec) ([]byte, error) {
	body, err := protojson.Marshal(spec)
	if err != nil {
		return nil, errors.Wrap(err, "encode the job")
	}
	last := errors.New("no admin address was given")
	for _, address := range addresses {
		data, status, err := postWhere(ctx, address, query, body)
		switch {
		case err == nil && status == http.StatusOK:
			return data, nil
		case err == nil && status != http.StatusMisdirectedRequest && status != http.StatusServiceUnavailable:
			return nil, errors.Errorf("%s: %s", address, bytes.TrimSpace(data))
		case err == nil:
			last = errors.Errorf("%s: %s", address, bytes.TrimSpace(data))
		default:
			last = err
		}
	}
	return nil, errors.Wrap(last, "no process that leads answered; the last one")
}

func postWhere(ctx context.Context, address string, query url.Values, body []byte) ([]byte, int, error) {
	ctx, cancel := context.WithTimeout(ctx, whereAttempt)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: "/debug/where", RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, 0, usageError(err.Error())
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxWhereAnswer))
	return data, resp.StatusCode, err
}

// printWhere prints an answer, as it is if -json is set.
func (s *session) printWhere(data []byte) error {
	if s.json {
		s.printf("%s\n", data)
		return nil
	}
	w := &dispatch.Where{}
	if err := json.Unmarshal(data, w); err != nil {
		return errors.Wrap(err, "read the answer")
	}
	if !w.Confirmed {
		s.printf("the answering replica's leadership is not confirmed; another one may lead already\n")
	}
	if !w.Admitted {
		s.printf("refused (%s): %s\n", w.Verdict, w.Reason)
		if w.RetryAfterMS > 0 {
			s.printf("its caller would be asked to return after %v\n", milliseconds(w.RetryAfterMS))
		}
		return nil
	}
	s.printf("%s: queue %s of priority %d, service %s, configuration %d\n", cmp.Or(w.State, "accepted"), w.Queue, w.Priority, w.Service, w.ConfigVersion)
	if w.Route != "" {
		s.printf("accepted at %s%s\n", w.Route, goneText(w.QueueGone))
	}
	s.printf("team %s uses %s of %s\n", orDash(w.Team), needsText(w.TeamUse), limitText(w.TeamLimit))
	if len(w.Now) == 0 {
		s.printf("no task of a step that is ready waits\n")
	}
	for _, step := range w.Now {
		s.printWhereStep("now", step)
	}
	for _, step := range w.Next {
		if len(step.Upstreams) == 0 && len(step.Stops) == 0 && step.Reserved == 0 {
			continue
		}
		s.printWhereStep("later, if all upstreams that are asked about are allowed", step)
	}
	return nil
}

// goneText says what the settings of a job are that has lost its queue.
func goneText(gone bool) string {
	if gone {
		return ", where no queue is now: name, service and priority are those at acceptance"
	}
	return ""
}

func (s *session) printWhereStep(when string, w dispatch.WhereStep) {
	if w.DueMS > 0 {
		s.printf("step %d of occurrence %d is due in %v\n", w.Step, w.Occurrence, milliseconds(w.DueMS))
		return
	}
	s.printf("step %d %s: turn %d of %d, expected %v, %v to spare%s\n", w.Step, when, w.Turn, w.Of, milliseconds(w.RemainingMS), milliseconds(w.SlackMS), notesOf(w))
	s.printf("  %.1f of %.1f cores are free\n", coresOf(w.Free), coresOf(w.Total))
	for _, reason := range slices.Sorted(maps.Keys(w.Obstacles)) {
		s.printf("  %d upstreams: %s\n", w.Obstacles[reason], reason)
	}
	if w.Rack != "" {
		s.printf("  prefers rack %s\n", w.Rack)
	}
	for _, u := range w.Upstreams {
		s.printf("  %d tasks on %s\n", u.Tasks, upstreamText(u))
	}
	for _, u := range w.Asks {
		s.printf("  would ask about %s\n", upstreamText(u))
	}
	for _, r := range w.Stops {
		s.printf("  would stop step %d, task %d of request %s on %s\n", r.Step, r.Task, r.Request, r.Upstream)
	}
	if w.Reserved > 0 {
		s.printf("  would reserve %d upstreams\n", w.Reserved)
	}
	if w.Waiting > 0 {
		s.printf("  %d tasks wait: %s\n", w.Waiting, w.Why)
	}
}

// notesOf names what is unusual about a step's urgency.
func notesOf(w dispatch.WhereStep) (out string) {
	for _, note := range []struct {
		set  bool
		text string
	}{{!w.InTime && w.Useful, ", late"}, {!w.Useful, ", too late to be of use"}, {w.OverShare, ", team over its share"}, {w.Overloaded, ", service overloaded"}} {
		if note.set {
			out += note.text
		}
	}
	return out
}
