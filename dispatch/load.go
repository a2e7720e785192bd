package dispatch

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/placement"
	"github.com/rs/zerolog"
)

// loadInterval is the time between two log lines on the load of the leader.
const loadInterval = 2 * time.Second

// load measures the leader's work since the last log line on its load.
type load struct {
	next time.Duration
	// decision is the length of the scheduling rounds, inspected the number of upstreams and runs that
	// they looked at.
	decision  interval
	inspected int64
	// overloads counts the rounds with an overloaded service, backlog is the largest backlog of one, in seconds of all
	// its cores.
	overloads int64
	backlog   float64
	// controlDelay is how long results of calls waited for the control goroutine.
	controlDelay interval
	// overrun is how long after their timeout unanswered calls to upstreams returned. A process
	// with enough processor time returns within milliseconds.
	overrun interval
	// permitWait is how long permit questions waited for a caller, permitAsked how long after
	// that their answer arrived.
	permitWait, permitAsked interval
	// before are the counters at the last log line.
	before counters
}

// newLoad returns a load that is measured from now on.
func newLoad(now time.Duration) load { return load{next: now + loadInterval, before: countersNow()} }

// counters are values of metrics.
type counters struct {
	orders, unanswered, carriedOut, extended, statusRequests, runs int64
}

func countersNow() counters {
	return counters{orders: ordersSent.Value(), unanswered: ordersUnanswered.Value(), carriedOut: unansweredCarriedOut.Value(),
		extended: timeoutsExtended.Value(), statusRequests: statusRequestsSent.Value(), runs: runsPlaced.Value()}
}

// minus returns the growth since an earlier time.
func (c counters) minus(before counters) counters {
	return counters{orders: c.orders - before.orders, unanswered: c.unanswered - before.unanswered, carriedOut: c.carriedOut - before.carriedOut,
		extended: c.extended - before.extended, statusRequests: c.statusRequests - before.statusRequests, runs: c.runs - before.runs}
}

// interval summarizes the durations of one kind since the last log line.
type interval struct {
	count     int64
	sum, most time.Duration
}

func (i *interval) add(d time.Duration) {
	i.count++
	i.sum += d
	i.most = max(i.most, d)
}

// mean returns the mean of the durations, or zero if there are none.
func (i *interval) mean() time.Duration { return i.sum / time.Duration(max(1, i.count)) }

// log adds the mean and the longest duration to a log line.
func (i *interval) log(line *zerolog.Event, name string) *zerolog.Event {
	return line.Dur(name+"_mean", i.mean()).Dur(name+"_max", i.most)
}

// recordOverloads records the overloaded services of a round.
func (e *Engine) recordOverloads(list []placement.Overload) {
	if len(list) > 0 {
		roundsOverloaded.Add(1)
		e.load.overloads++
	}
	for _, o := range list {
		e.load.backlog = max(e.load.backlog, o.Backlog)
	}
}

// recordOverrun records how late a call without an answer has returned. Errors that came before
// the timeout don't count.
func (e *Engine) recordOverrun(took, timeout time.Duration, err error) {
	if err != nil && took >= timeout {
		e.load.overrun.add(took - timeout)
		timeoutOverrun.Record(took - timeout)
	}
}

// logLoad logs the load of the leader since the last such line; quantiles are since the start of
// the process.
func (e *Engine) logLoad(now time.Duration) {
	total := countersNow()
	since := total.minus(e.load.before)
	line := e.log.Info().Int("steps", len(e.cell.Steps)).Int("upstreams", len(e.sessions)).Int("unusable", e.countUnusable()).
		Int("relays", len(e.relays.list)).Int("callers", len(e.permits.callers)).Int("callers_busy", e.permits.countBusy()).Int("questions_waiting", len(e.permits.waiting)).
		Dur("decision_p50", decisionTime.Quantile(50)).Dur("decision_p99", decisionTime.Quantile(99)).
		Dur("permit_p50", permitTime.Quantile(50)).Dur("permit_p99", permitTime.Quantile(99)).Dur("first_start_p99", startTime.Quantile(99)).
		Int64("orders", total.orders).Int64("looks", total.statusRequests).
		Int64("orders_since", since.orders).Int64("unanswered_since", since.unanswered).Int64("carried_out_since", since.carriedOut).
		Int64("extended_since", since.extended).Int64("looks_since", since.statusRequests).Int64("runs_since", since.runs).
		Int64("rounds", e.load.decision.count).Int64("inspected_mean", e.load.inspected/max(1, e.load.decision.count))
	line = line.Int64("overloaded_rounds", e.load.overloads).Float64("backlog_seconds_max", e.load.backlog)
	line = e.load.decision.log(line, "decision")
	line = e.load.controlDelay.log(line, "control_delay")
	line = e.load.overrun.log(line, "overrun")
	line = e.load.permitWait.log(line, "permit_wait")
	line = e.load.permitAsked.log(line, "permit_asked")
	line.Dur("timeout", e.roundTrip.timeout()).Msg("leader load")
	e.load = newLoad(now)
}

// countUnusable returns the number of upstreams without an open session.
func (e *Engine) countUnusable() (n int) {
	for _, s := range e.sessions {
		if s.phase != lifecycle.SessionOpen {
			n++
		}
	}
	return n
}
