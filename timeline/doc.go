// Package timeline records events of one process and merges those of many.
//
// Events are stamped by a hybrid logical clock, so that an event caused by a
// message sorts after the event that sent it, whatever the physical clocks say:
//
//	clock := timeline.NewClock(time.Now)
//	rec := timeline.NewRecorder("entry1", clock, 4096)
//	rec.Add(&apiv1.Event{Kind: "submit", Team: "lagos"})
//	merged := timeline.Merge(filter, rec.Events(filter), others)
package timeline
