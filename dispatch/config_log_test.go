package dispatch

import (
	"bytes"
	"strings"
	"testing"
	"time"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/rs/zerolog"
)

// From a job's line on, the log leads to the configuration that renamed its queue or its team: where it is counted, and
// under which name it ends. The names at acceptance alone led nowhere.
func TestLogTellsWhatAConfigurationRenames(t *testing.T) {
	h := newHarness(t, "w1")
	var log bytes.Buffer
	h.engine.log = zerolog.New(&log)
	h.submitSpec(jobID(1), lasting())
	h.run(time.Second)
	h.putConfig(func(cfg *pipelinev1.Config) {
		renameQueue(cfg)
		cfg.Teams[0].Name = "another"
	})
	where := h.whereRequest(jobID(1))
	h.cancel(jobID(1))
	for _, want := range []string{
		`"version":2,"queues":1,"added":0,"removed":0,"renamed":1,"teams_changed":1,"message":"configuration in force"`,
		`"route":"h/labels/","from":"labels","queue":"renamed","message":"queue has another name"`,
		`"from":"montevideo","team":"another","jobs":1,"message":"jobs go to another team"`,
		`"queue":"renamed","route":"h/labels/","state":"cancelled"`,
	} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("no line has %s", want)
		}
	}
	if where.Queue != "renamed" || where.Team != "another" || where.Route != "h/labels/" || where.QueueGone {
		t.Errorf("where: %+v", where)
	}
}

// A job whose queue is gone is shown with the settings that it has, which are those at its acceptance.
func TestWhereShowsThatTheQueueIsGone(t *testing.T) {
	h := newHarness(t, "w1")
	h.submitSpec(jobID(1), lasting())
	h.putConfig(func(cfg *pipelinev1.Config) { cfg.Queues = nil })
	if w := h.whereRequest(jobID(1)); !w.QueueGone || w.Queue != testQueue || w.Service != "print" {
		t.Errorf("%+v", w)
	}
}

// whereRequest asks where the tasks of a known job would go.
func (h *harness) whereRequest(id string) *Where {
	h.t.Helper()
	var answer *Where
	h.engine.Where(WhereQuestion{Request: id, Spec: &pipelinev1.JobSpec{}}, func(w *Where, err error) {
		if err != nil {
			h.t.Fatal(err)
		}
		answer = w
	})
	h.drain()
	return answer
}
