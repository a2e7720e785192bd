package faults

import (
	"crypto/sha256"
	"slices"
	"testing"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/resource"
)

// epoch is when the histories of this file begin.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// second returns the time s seconds after epoch.
func second(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

func oneSlot() resource.Vector { return resource.Vector{resource.Slots: 1} }

// goodRun returns a run of one task; from and to are in seconds after epoch.
func goodRun(request string, index int32, attempt uint32, upstream string, from, to float64) run {
	return run{job: 1, index: index, attempt: attempt, upstream: upstream, vm: "vm-" + upstream, domain: "prado",
		work: work{bigTeam, request, time.Second}, reserved: oneSlot(), spans: []span{{second(from), second(to)}}}
}

func outcome(k apiv1.OutcomeKind) *apiv1.Outcome { return &apiv1.Outcome{Kind: k} }

// answered returns a task with the right answer to its payload.
func answered(payload []byte, index int32) *apiv1.TaskView {
	body := answerOf(payload, index)
	sum := sha256.Sum256(body)
	return &apiv1.TaskView{Index: index, Outcome: outcome(apiv1.OutcomeKind_OUTCOME_KIND_ANSWERED),
		Answer: &apiv1.Answer{Body: body, Length: uint64(len(body)), Sha256: sum[:]}}
}

// goodHistory returns a history without a breach.
func goodHistory() *history {
	payload := work{bigTeam, "a", time.Second}.payload()
	return &history{
		began:  epoch,
		vms:    map[string]resource.Vector{"vm-w1": oneSlot(), "vm-w2": oneSlot()},
		limits: map[string]resource.Vector{bigTeam: {resource.Slots: 2}},
		runs:   []run{goodRun("a", 0, 1, "w1", 1, 2), goodRun("a", 1, 1, "w2", 1, 2), goodRun("b", 0, 1, "w1", 2, 3)},
		submissions: []submission{
			{request: "a", key: bigKey, keyTeam: bigTeam, queueTeam: bigTeam, repeatable: true, payloads: [][]byte{payload, payload},
				sent: second(0), done: second(1), outcome: outcome(apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED), job: 1,
				end: &apiv1.JobView{State: apiv1.JobState_JOB_STATE_ENDED, Outcome: outcome(apiv1.OutcomeKind_OUTCOME_KIND_ANSWERED),
					Tasks: []*apiv1.TaskView{answered(payload, 0), answered(payload, 1)}}},
			{request: "b", key: bigKey, keyTeam: bigTeam, queueTeam: bigTeam, payloads: [][]byte{payload}, sent: second(0), done: second(1),
				outcome: outcome(apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED), job: 2,
				end: &apiv1.JobView{State: apiv1.JobState_JOB_STATE_ENDED, Outcome: outcome(apiv1.OutcomeKind_OUTCOME_KIND_FAILED)}},
			{request: "c", key: smallKey, keyTeam: smallTeam, queueTeam: bigTeam, payloads: [][]byte{payload}, sent: second(0), done: second(1),
				outcome: outcome(apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN)},
		},
		outages:    []outage{{"prado", span{second(4), second(20)}}},
		departures: []departure{{"w1", span{second(4), second(20)}}},
		changes: []change{
			{client: 1, operation: "x", base: 1, team: raceTeam, share: 7, sent: second(0), done: second(1), applied: true, revision: 2},
			{client: 2, operation: "y", base: 1, team: raceTeam, share: 8, sent: second(0), done: second(1), revision: 2},
		},
		reads: []configRead{{client: 3, sent: second(2), done: second(2.1), revision: 2, shares: map[string]int64{raceTeam: 7}}},
		views: []viewSeen{{"entry-1", 2, second(8)}},
	}
}

// breaches holds, for each check, changes of the good history that the check has to report.
var breaches = map[string][]func(h *history){
	"no VM is overcommitted": {
		func(h *history) { h.runs = append(h.runs, goodRun("d", 0, 1, "w1", 1.5, 1.6)) },
		func(h *history) { h.runs[0].reserved[resource.Memory] = 1 },
	},
	"no task runs in two places": {
		func(h *history) { h.runs = append(h.runs, goodRun("a", 0, 2, "w2", 1.9, 3)) },
		func(h *history) {
			h.runs[0].spans = append(h.runs[0].spans, span{second(10), second(10.1)})
			h.runs = append(h.runs, goodRun("a", 0, 2, "w2", 9, 11))
		},
	},
	"work is taken only for the team of the key, and a withdrawn key stops working": {
		func(h *history) { h.submissions[2].outcome = outcome(apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED) },
		func(h *history) { h.submissions[0].withdrawn, h.submissions[0].sent = second(1), second(7) },
		func(h *history) { h.runs[0].work.team = smallTeam },
	},
	"no team is above its upper limit": {
		func(h *history) { h.runs = append(h.runs, goodRun("d", 0, 1, "w3", 1.5, 1.6)) },
	},
	"no task starts in a failure domain that is out": {
		func(h *history) { h.runs = append(h.runs, goodRun("d", 0, 1, "w2", 9.1, 9.2)) },
	},
	"every caller gets the whole answer to its own request": {
		func(h *history) { h.submissions[0].end.Tasks[1].Answer = h.submissions[0].end.Tasks[0].Answer },
		func(h *history) { h.submissions[0].end.Tasks[0].Answer.Length-- },
		func(h *history) { h.submissions[0].end.Tasks[0].Answer.Sha256[0]++ },
		func(h *history) { h.submissions[0].end.Tasks = h.submissions[0].end.Tasks[:1] },
	},
	"a refusal that says not run is true": {
		func(h *history) { h.submissions[1].outcome = outcome(apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN) },
		func(h *history) { h.submissions[1].end.Outcome = outcome(apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN) },
		func(h *history) {
			h.submissions[0].end.Tasks[1].Outcome = outcome(apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN)
		},
	},
	"work that may not be repeated runs at most once": {
		func(h *history) { h.runs = append(h.runs, goodRun("b", 0, 2, "w2", 9, 10)) },
	},
	"a leaving upstream gets no new work": {
		func(h *history) { h.runs = append(h.runs, goodRun("d", 0, 1, "w1", 9.1, 9.2)) },
	},
	"a graceful shutdown cuts no request": {
		func(h *history) { h.recordDrained("entry-2", "wait", errReset) },
	},
	"accepted configuration is in force within seconds and never reverts": {
		func(h *history) { h.reads[0].revision, h.reads[0].sent = 1, second(6.1) },
		func(h *history) { h.reads[0].shares[raceTeam] = 8 },
		func(h *history) {
			h.reads = append(h.reads, configRead{sent: second(3), done: second(3.1), revision: 1})
		},
		func(h *history) { h.views[0].revision = 1 },
		func(h *history) {
			h.views = []viewSeen{{"entry-1", 2, second(2)}, {"entry-1", 1, second(3)}}
		},
	},
	"operations on the configuration are linearizable": {
		func(h *history) { h.changes[1].applied, h.changes[1].revision = true, 3 },
		func(h *history) { h.reads[0].revision = 1 },
	},
	"all accepted work ends": {
		func(h *history) { h.submissions[0].end = nil },
		func(h *history) { h.submissions[0].end.Outcome = outcome(apiv1.OutcomeKind_OUTCOME_KIND_FAILED) },
		func(h *history) { h.unfinished = []string{"a call has no answer"} },
	},
}

// TestChecksFindBreaches expects every check to report nothing on a good history, and to report
// each of the breaches defined for it.
func TestChecksFindBreaches(t *testing.T) {
	for _, c := range checks {
		if found := c.find(goodHistory()); len(found) > 0 {
			t.Errorf("%s: a good history has breaches: %q", c.name, found)
		}
		if len(breaches[c.name]) == 0 {
			t.Errorf("%s: no breach is defined for it", c.name)
		}
		for i, breach := range breaches[c.name] {
			h := goodHistory()
			breach(h)
			if len(c.find(h)) == 0 {
				t.Errorf("%s: breach %d was not found", c.name, i)
			}
		}
	}
	names := slices.Collect(func(yield func(string) bool) {
		for _, c := range checks {
			yield(c.name)
		}
	})
	for name := range breaches {
		if !slices.Contains(names, name) {
			t.Errorf("breaches are defined for %q, which is not a check", name)
		}
	}
}
