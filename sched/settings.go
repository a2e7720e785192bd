package sched

import "time"

// Settings are the parameters of the policies. Zero fields take their values from
// DefaultSettings.
type Settings struct {
	// Seed varies where searches over upstreams start, and so the choice among similar
	// ones.
	Seed uint64
	// SettleTime is how long a new Cell waits before it concludes from the known
	// upstreams that a job can never run.
	SettleTime time.Duration
	// AgeFactor is how many times its expected run time a task that fills a typical VM
	// lets later and shorter work of its team go first; smaller tasks proportionally
	// less.
	AgeFactor int
	// MaxAge bounds that time.
	MaxAge time.Duration
	// MaxReservationTime bounds one reservation of a gang or an overdue task until batch
	// on the held upstreams is checkpointed; the reservation then lasts four more
	// checkpoint times. ReservationRetryDelay is the time after an unsuccessful
	// reservation before the job may get another one.
	MaxReservationTime    time.Duration
	ReservationRetryDelay time.Duration
	// CheckpointTime is how long a checkpoint is expected to take.
	CheckpointTime time.Duration
	// DrainNotice is how long the tasks of a leaving upstream have to end by themselves
	// or to make a checkpoint.
	DrainNotice time.Duration
	// RampTime is the time over which a returned failure domain is filled.
	RampTime time.Duration
	// FlapWindow is the time within which another return of a failure domain counts as
	// flapping. FlapPause delays starts there; it doubles with every further return, to
	// at most 32 times its value.
	FlapWindow time.Duration
	FlapPause  time.Duration
	// QuarantinePause is the first pause of an upstream on which work fails; it doubles
	// with each further pause, up to MaxQuarantine.
	QuarantinePause time.Duration
	MaxQuarantine   time.Duration
	// SharePreemptDelay is how long a team below its share waits before work of teams
	// above their shares is checkpointed for it.
	SharePreemptDelay time.Duration
	// ShortPreemptDelay is how long short work waits before long batch is checkpointed
	// for it.
	ShortPreemptDelay time.Duration
	// ThrottleGrace is how long reported use may still exceed a VM's capacity after a
	// throttle before tasks are stopped.
	ThrottleGrace time.Duration
}

// DefaultSettings are suitable for a cell of any size.
var DefaultSettings = Settings{
	Seed:                  1,
	SettleTime:            15 * time.Second,
	AgeFactor:             40,
	MaxAge:                time.Hour,
	MaxReservationTime:    2 * time.Minute,
	ReservationRetryDelay: 30 * time.Second,
	CheckpointTime:        time.Second,
	DrainNotice:           30 * time.Second,
	RampTime:              10 * time.Second,
	FlapWindow:            5 * time.Minute,
	FlapPause:             5 * time.Second,
	QuarantinePause:       30 * time.Second,
	MaxQuarantine:         30 * time.Minute,
	SharePreemptDelay:     1 * time.Second,
	ThrottleGrace:         10 * time.Second,
	ShortPreemptDelay:     time.Second,
}

// withDefaults returns the settings with zero fields replaced by the defaults.
func (s Settings) withDefaults() Settings {
	d := DefaultSettings
	if s.Seed == 0 {
		s.Seed = d.Seed
	}
	if s.AgeFactor == 0 {
		s.AgeFactor = d.AgeFactor
	}
	for _, f := range []struct{ field, value *time.Duration }{
		{&s.SettleTime, &d.SettleTime}, {&s.MaxAge, &d.MaxAge}, {&s.MaxReservationTime, &d.MaxReservationTime}, {&s.ReservationRetryDelay, &d.ReservationRetryDelay},
		{&s.CheckpointTime, &d.CheckpointTime}, {&s.DrainNotice, &d.DrainNotice}, {&s.RampTime, &d.RampTime},
		{&s.FlapWindow, &d.FlapWindow}, {&s.FlapPause, &d.FlapPause}, {&s.QuarantinePause, &d.QuarantinePause},
		{&s.MaxQuarantine, &d.MaxQuarantine}, {&s.SharePreemptDelay, &d.SharePreemptDelay}, {&s.ThrottleGrace, &d.ThrottleGrace},
		{&s.ShortPreemptDelay, &d.ShortPreemptDelay},
	} {
		if *f.field == 0 {
			*f.field = *f.value
		}
	}
	return s
}
