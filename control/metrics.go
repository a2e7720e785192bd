package control

import "expvar"

var (
	placementsTaken   = expvar.NewInt("placements_taken")
	placementsRefused = expvar.NewInt("placements_refused")
)
