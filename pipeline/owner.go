package pipeline

import "bytes"

// owner is whose a job is: the team that submitted it, and the key that it was submitted with.
type owner struct {
	// team is empty for a submission without a known key.
	team string
	// keySHA256 is empty for a submission without a key, and where an older version has not recorded it.
	keySHA256 []byte
}

// ownerOf returns the owner of what a call submits.
func ownerOf(a Access) owner { return owner{a.Team.GetName(), a.KeySHA256} }

// admits reports whether a call on a queue that asks for keys may access what the owner has submitted: its key is one of
// the owner's team, or the very key that was used, which another team may hold by now. What was submitted without a key
// belongs to no team.
func (o owner) admits(a Access) bool {
	return o.team == "" || o.team == a.Team.GetName() || len(o.keySHA256) > 0 && bytes.Equal(o.keySHA256, a.KeySHA256)
}
