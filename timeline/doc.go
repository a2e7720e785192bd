// Package timeline records the events of one process and merges those of several.
//
// Events are stamped by a hybrid logical clock, so that an event caused by a
// message is sorted after the event that sent it, even if the physical clocks of
// the processes differ; Clock.Observe names an exception:
//
//	clock := timeline.NewClock(time.Now)
//	rec := timeline.NewRecorder("entry1", clock, 4096)
//	rec.Add(&apiv1.Event{Kind: "submit", Team: "lagos"})
//	merged := timeline.Merge(filter, rec.Events(filter), others)
package timeline
