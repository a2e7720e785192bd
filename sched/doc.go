// Package sched decides which task runs where, when and why.
//
// It is pure: the owner describes the cell by facts (PutTeam, PutUpstream,
// AddJob, SetTask ...), asks for decisions with the time passed in, and feeds
// back as facts what became of them. Decide changes nothing by itself, so a
// decision that was not carried out needs no undoing:
//
//	c := sched.NewCell(sched.DefaultSettings)
//	c.PutTeam(sched.Team{Name: "lagos", Share: 1, Limit: unlimited})
//	c.PutDomain(sched.Domain{Name: "ikeja"})
//	c.PutUpstream(sched.Upstream{Name: "w1", Domain: "ikeja", Capacity: vm, Active: true})
//	c.AddJob(sched.Job{ID: 1, Team: "lagos", Policy: sched.Batch, Tasks: tasks})
//	d := c.Decide(now, 1000)
//	for _, p := range d.Placements { ... }
//	sentences := c.Explain(1, now)
package sched
