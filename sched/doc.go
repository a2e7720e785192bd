// Package sched decides which task runs on which upstream, when tasks are stopped, and
// why.
//
// The package performs no I/O, starts no goroutines and reads no clock. Its owner
// describes the cluster by facts (PutTeam, PutUpstream, AddJob, SetTask and others),
// asks for a decision at a given time, carries it out, and reports the results as
// further facts. Decide only proposes, so a decision that was not carried out needs
// no undoing:
//
//	c := sched.NewCell(sched.DefaultSettings)
//	c.PutTeam(sched.Team{Name: "lagos", Share: 1, Limit: unlimited})
//	c.PutDomain(sched.Domain{Name: "ikeja"})
//	c.PutUpstream(sched.Upstream{Name: "w1", Domain: "ikeja", Capacity: vm, Active: true})
//	c.AddJob(sched.Job{ID: 1, Team: "lagos", Policy: sched.Batch, Needs: needs})
//	d := c.Decide(now, 1000)
//	for _, p := range d.Placements { ... }
//	sentences := c.Explain(1, now)
package sched
