// Package view holds the configuration in force at one process, called its view, and serves
// it to other processes.
//
// A Store is updated with responses that a leader with a quorum has confirmed. It knows the
// time since that confirmation, on a clock that includes suspended time, also if the response
// was relayed by other processes: each hop adds the time that it held the view, so the age is
// never understated.
//
//	store := view.New(lease.BootClock{}, view.DefaultStaleAfter)
//	err := store.Update(resp, sent, view.FromLeader)
//	if store.Fresh() { ... }
//
// Other processes fetch the view by Serve, which returns the changes since the revision that
// they know. If there are none, it holds the call until the next confirmation.
package view
