package daemon

import (
	"context"

	"connectrpc.com/connect"
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/peer"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/pkg/errors"
)

// peerService serves the calls of other processes of the cell.
type peerService struct {
	d *Daemon
}

// Raft implements PeerService.
func (s *peerService) Raft(_ context.Context, stream *connect.BidiStream[peerv1.RaftBatch, peerv1.RaftAck]) error {
	return peer.ServeRaftStream(stream, s.receive)
}

// receive passes messages to the replica. Those of another group are ignored.
func (s *peerService) receive(batch *peerv1.RaftBatch) {
	r := s.d.currentReplica()
	if r == nil || r.group != batch.GetGroup() {
		return
	}
	r.transport.RecordAddress(raft.ID(batch.GetSenderId()), batch.GetSenderAddress())
	var messages []raft.Message
	for _, m := range batch.GetMessages() {
		// Snapshots are accepted by SendSnapshot only, which stores them first.
		if out := peer.MessageFromProto(m); out.Type != raft.MsgSnapshot {
			messages = append(messages, out)
		}
	}
	r.node.Receive(messages)
}

// SendSnapshot implements PeerService.
func (s *peerService) SendSnapshot(_ context.Context, stream *connect.ClientStream[peerv1.SnapshotPart]) (*connect.Response[peerv1.RaftAck], error) {
	if !stream.Receive() {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("snapshot stream has no first part"))
	}
	announce := stream.Msg().GetAnnounce()
	r := s.d.currentReplica()
	if r == nil || r.group != announce.GetGroup() || len(announce.GetMessages()) != 1 {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("no replica of this group"))
	}
	r.transport.RecordAddress(raft.ID(announce.GetSenderId()), announce.GetSenderAddress())
	m := peer.MessageFromProto(announce.GetMessages()[0])
	if err := r.node.ReceiveSnapshot(m, peer.SnapshotContent(stream)); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peerv1.RaftAck{}), nil
}

// Forward implements PeerService.
func (s *peerService) Forward(ctx context.Context, req *connect.Request[peerv1.ForwardRequest]) (*connect.Response[peerv1.ForwardResponse], error) {
	return connect.NewResponse(s.handleForwarded(ctx, req.Msg)), nil
}

// Calls implements PeerService.
func (s *peerService) Calls(ctx context.Context, stream *connect.BidiStream[peerv1.CallBatch, peerv1.ReplyBatch]) error {
	return peer.ServeCalls(ctx, stream, s.handleForwarded)
}

// handleForwarded passes a forwarded call to the replica of this process, or one of the leader to an
// upstream to the relay. Without a replica the response is NOT_LEADER.
func (s *peerService) handleForwarded(ctx context.Context, req *peerv1.ForwardRequest) (resp *peerv1.ForwardResponse) {
	defer s.d.contain.Recover(req.GetMethod().String(), func() {
		resp = &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_REFUSED,
			Refusal: &apiv1.Outcome{Kind: apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED, Detail: "unexpected error"}}
	})
	s.d.events.Clock().Observe(req.GetWallNs())
	resp = &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_NOT_LEADER}
	if req.GetMethod() == peerv1.Method_METHOD_RELAY {
		if s.d.relay != nil {
			resp = s.d.relay.Handle(ctx, req)
		}
		return resp
	}
	if r := s.d.currentReplica(); r != nil {
		resp = r.controller.Handle(ctx, req)
	}
	resp.WallNs = s.d.events.Clock().Now().WallNS
	return resp
}

// View implements PeerService. It returns the view that this process has in force.
func (s *peerService) View(ctx context.Context, req *connect.Request[peerv1.ViewRequest]) (*connect.Response[peerv1.ViewResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, viewHold)
	defer cancel()
	return connect.NewResponse(s.d.view.Serve(ctx, req.Msg)), nil
}

// Join implements PeerService.
func (s *peerService) Join(ctx context.Context, req *connect.Request[peerv1.JoinRequest]) (*connect.Response[peerv1.JoinResponse], error) {
	resp := &peerv1.JoinResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_NOT_LEADER}
	if r := s.d.currentReplica(); r != nil {
		resp = r.controller.Join(ctx, req.Msg, r.group)
	}
	return connect.NewResponse(resp), nil
}

// Events implements PeerService.
func (s *peerService) Events(_ context.Context, req *connect.Request[peerv1.EventsRequest]) (*connect.Response[peerv1.EventsResponse], error) {
	stamp := s.d.events.Clock().Observe(req.Msg.GetWallNs())
	return connect.NewResponse(&peerv1.EventsResponse{Events: s.d.events.Events(req.Msg.GetFilter()), WallNs: stamp.WallNS}), nil
}
