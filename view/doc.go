// Package view holds the configuration in force at one process and serves it to others.
//
// A Store is filled by responses that a quorum-backed leader confirmed. It knows how
// long ago that was on a clock that counts suspend, also when the response came
// through other processes: each hop adds the time that it held the view, so an age is
// never understated.
//
//	store := view.New(lease.BootClock{}, view.DefaultStaleAfter)
//	err := store.Update(resp, sent, view.FromLeader)
//	if store.Fresh() { ... }
//
// Other processes fetch from Serve, which answers with what changed since the
// revision that they know and holds the call until the next confirmation.
package view
