// Package allowance lends one upper limit to several groups, so that each goes on within
// what it holds while it is cut off, and the sum of what all may use never passes the limit.
//
// A Borrower reports what it holds and wants; a Lender answers each report with a Grant that
// is valid for a lease. Both are pure: no clock, I/O or goroutine. Time is passed in, from a
// clock that counts suspend; the clocks need not agree. Messages may be lost, delayed,
// doubled and reordered:
//
//	lender := allowance.NewLender(limit, terms)
//	borrower := allowance.NewBorrower("south")
//	report := borrower.Report(now, used, wanted) // send it to the lender
//	grant, ok := lender.Handle(lenderNow, report) // send it back
//	borrower.Take(now, grant)
//	usable := borrower.Usable(now)
//
// The group must have stopped what it runs under the limit when its lease ends, within
// lease.Terms.StopGrace.
package allowance
