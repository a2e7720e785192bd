// Package allowance divides one resource limit among several groups by leases. A group that
// can't reach the lender keeps using the amount granted to it until its lease ends, and what
// all groups use never adds up to more than the limit, except for a time after
// Lender.SetLimit has lowered it.
//
// A Borrower reports what its group uses and could use; a Lender answers each report with a
// Grant that is valid for the duration of a lease. Neither has a clock, I/O or goroutines of
// its own. The caller passes the time as a reading of a clock that also advances while the
// machine is suspended. The clocks of lender and borrowers need not show the same time; the
// rates at which they run may differ by at most lease.Terms.DriftPartsPerMillion. Messages may
// be lost, delayed, duplicated and reordered:
//
//	lender := allowance.NewLender(limit, terms)
//	borrower := allowance.NewBorrower("south")
//	report := borrower.Report(now, used, wanted) // send it to the lender
//	grant, ok := lender.Handle(lenderNow, report) // send it back
//	borrower.Accept(now, grant)
//	usable := borrower.Usable(now)
//
// When its lease ends, the group must stop everything that it runs under the limit, and must
// be done within lease.Terms.StopGrace.
package allowance
