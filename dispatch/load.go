package dispatch

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/rs/zerolog"
)

// loadInterval is the time between two log lines on the load of the leader.
const loadInterval = 2 * time.Second

// load measures the leader's work since the last log line on its load.
type load struct {
	next time.Duration
	// decision is the length of the scheduling rounds.
	decision interval
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

// counters are values of the metrics of the same names.
type counters struct {
	orders, unanswered, carriedOut, extended, statusRequests, runs int64
}

func countersNow() counters {
	return counters{orders: ordersSent.Value(), unanswered: ordersUnanswered.Value(), carriedOut: unansweredCarriedOut.Value(), extended: timeoutsExtended.Value(),
		statusRequests: statusRequestsSent.Value(), runs: runsPlaced.Value()}
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
	l := &e.load
	unusable := 0
	for _, s := range e.sessions {
		if s.phase != lifecycle.SessionOpen {
			unusable++
		}
	}
	busy := 0
	for _, c := range e.permits.callers {
		if c.current != nil {
			busy++
		}
	}
	total := countersNow()
	line := e.log.Info().Int("steps", len(e.steps)).Int("upstreams", len(e.sessions)).Int("unusable", unusable).Int("callers", len(e.permits.callers)).
		Int("callers_busy", busy).Int("questions_waiting", len(e.permits.waiting)).
		Dur("decision_p50", decisionTime.Quantile(50)).Dur("decision_p99", decisionTime.Quantile(99)).
		Dur("permit_p50", permitTime.Quantile(50)).Dur("permit_p99", permitTime.Quantile(99)).Dur("first_start_p99", startTime.Quantile(99)).
		Int64("orders", total.orders).Int64("looks", total.statusRequests).
		Int64("orders_since", total.orders-l.before.orders).Int64("unanswered_since", total.unanswered-l.before.unanswered).
		Int64("carried_out_since", total.carriedOut-l.before.carriedOut).Int64("extended_since", total.extended-l.before.extended).Int64("looks_since", total.statusRequests-l.before.statusRequests).
		Int64("runs_since", total.runs-l.before.runs).Int64("rounds", l.decision.count)
	line = l.decision.log(line, "decision")
	line = l.controlDelay.log(line, "control_delay")
	line = l.overrun.log(line, "overrun")
	line = l.permitWait.log(line, "permit_wait")
	line = l.permitAsked.log(line, "permit_asked")
	line.Dur("timeout", e.roundTrip.timeout()).Msg("leader load")
	e.load = newLoad(now)
}
