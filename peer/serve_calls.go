package peer

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/bulrushwinch/bulrushwinch/ingress"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"google.golang.org/protobuf/proto"
)

const (
	// maxOpenCalls is the maximum number of concurrent calls of one stream; further ones are
	// not read until one of them ends.
	maxOpenCalls = 32 << 10
	// openCallBytes is charged for each open call beside its size.
	openCallBytes = 512
	// replyQueueLength is the maximum number of replies that wait to be written.
	replyQueueLength = 1024
	// replyMargin is the time before the deadline of a call at which its handler ends, so that its response, which
	// tells whether anything was proposed, still arrives in time. Short calls keep three quarters of their time.
	replyMargin = 25 * time.Millisecond
)

// CallHandler handles one forwarded call and returns its response; ctx ends shortly before the
// deadline of the call, or with its stream.
type CallHandler func(ctx context.Context, req *peerv1.ForwardRequest) *peerv1.ForwardResponse

// ServeCalls handles the calls of a stream, each in its own goroutine. It returns the error with
// which the stream ended, after all handlers have returned.
func ServeCalls(ctx context.Context, stream *connect.BidiStream[peerv1.CallBatch, peerv1.ReplyBatch], handle CallHandler) error {
	ctx, cancel := context.WithCancel(ctx)
	var work sync.WaitGroup
	defer work.Wait()
	defer cancel()
	replies := make(chan *peerv1.Reply, replyQueueLength)
	open := make(chan struct{}, maxOpenCalls)
	work.Go(func() {
		defer cancel()
		writeReplies(ctx, stream, replies, open)
	})
	answerProbe(ctx, replies)
	for {
		batch, err := stream.Receive()
		if err != nil {
			return err
		}
		if len(batch.GetCalls()) == 0 {
			answerProbe(ctx, replies)
		}
		for _, c := range batch.GetCalls() {
			select {
			case open <- struct{}{}:
			case <-ctx.Done():
				return ctx.Err()
			}
			// What the call holds is charged before the next batch is read, which ends the charge of this one.
			release, err := ingress.Hold(ctx, openCallBytes+proto.Size(c))
			work.Go(func() {
				defer func() { <-open }()
				if err != nil {
					answerCall(ctx, c, refuseCall, replies)
					return
				}
				defer release()
				answerCall(ctx, c, handle, replies)
			})
		}
	}
}

// answerProbe queues the reply to a probe, which goes out as soon as replies do.
func answerProbe(ctx context.Context, replies chan<- *peerv1.Reply) {
	select {
	case replies <- &peerv1.Reply{Id: probeReplyID}:
	case <-ctx.Done():
	}
}

// refuseCall answers a call for which there is no room: nothing is proposed for it, as by a replica that does not lead.
func refuseCall(context.Context, *peerv1.ForwardRequest) *peerv1.ForwardResponse {
	return &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_NOT_LEADER}
}

func answerCall(ctx context.Context, c *peerv1.Call, handle CallHandler, replies chan<- *peerv1.Reply) {
	call := ctx
	if ms := c.GetTimeoutMs(); ms > 0 {
		var cancel context.CancelFunc
		limit := time.Duration(ms) * time.Millisecond
		if c.GetRequest().GetMethod() != peerv1.Method_METHOD_RELAY {
			// The bound of a relayed order allows for the round trip already.
			limit = max(limit-replyMargin, limit*3/4)
		}
		call, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	reply := &peerv1.Reply{Id: c.GetId(), Response: handle(call, c.GetRequest())}
	select {
	case replies <- reply:
	case <-ctx.Done():
	}
}

// writeReplies sends replies in batches until ctx or the stream ends; open holds an element for each
// call that is not answered yet.
func writeReplies(ctx context.Context, stream *connect.BidiStream[peerv1.CallBatch, peerv1.ReplyBatch], replies <-chan *peerv1.Reply, open <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-replies:
			if len(open) > gatherAbove {
				time.Sleep(gatherTime)
			}
			if stream.Send(&peerv1.ReplyBatch{Replies: drainBatch(first, replies, func(r *peerv1.Reply) int { return len(r.GetResponse().GetPayload()) })}) != nil {
				return
			}
		}
	}
}
