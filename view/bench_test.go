package view

import (
	"fmt"
	"testing"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"google.golang.org/protobuf/proto"
)

// fullView returns a configuration of 370 teams with three keys and two queues each.
func fullView(revision uint64) *peerv1.ViewResponse {
	v := &peerv1.ViewResponse{Status: statusOK, Revision: revision, LeaderAddress: "10.0.0.1:7401"}
	for i := range 370 {
		team := fmt.Sprintf("team-%d", i)
		v.Teams = append(v.Teams, &apiv1.Team{Name: team, Share: int64(i%7 + 1)})
		for k := range 3 {
			hash := make([]byte, 32)
			hash[0], hash[1], hash[2] = byte(i), byte(i>>8), byte(k)
			v.Keys = append(v.Keys, &peerv1.KeyRecord{KeyId: fmt.Sprintf("%s-key-%d", team, k), Team: team, KeySha256: hash, Role: apiv1.KeyRole_KEY_ROLE_CALLER})
		}
		for k := range 2 {
			v.Queues = append(v.Queues, &apiv1.Queue{Name: fmt.Sprintf("%s-queue-%d", team, k), Team: team})
		}
	}
	return v
}

// BenchmarkChange applies one change of a full configuration at the leader's process, serves it
// as a delta to a process with the previous revision, and applies it there.
func BenchmarkChange(b *testing.B) {
	clock := &fakeClock{}
	root, leaf := New(clock, DefaultStaleAfter), New(clock, DefaultStaleAfter)
	full := fullView(1)
	_ = root.Update(full, 0, FromLeader)
	_ = leaf.Update(root.Serve(cancelledContext(), &peerv1.ViewRequest{}), 0, FromProcess)
	var delta *peerv1.ViewResponse
	revision := uint64(1)
	for b.Loop() {
		revision++
		next := fullView(revision)
		next.Teams[7].Share = int64(revision)
		_ = root.Update(next, 0, FromLeader)
		delta = root.Serve(cancelledContext(), &peerv1.ViewRequest{KnownRevision: leaf.Revision()})
		_ = leaf.Update(delta, 0, FromProcess)
	}
	b.ReportMetric(float64(proto.Size(full)), "bytes/full")
	b.ReportMetric(float64(proto.Size(delta)), "bytes/change")
	b.ReportMetric(float64(proto.Size(root.Serve(cancelledContext(), &peerv1.ViewRequest{KnownRevision: revision}))), "bytes/confirmation")
}
