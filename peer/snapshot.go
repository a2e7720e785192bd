package peer

import (
	"context"
	"hash/crc32"
	"io"
	"time"

	"connectrpc.com/connect"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/pkg/errors"
)

const (
	// snapshotPartBytes is the maximum size of the data in one part of a snapshot.
	snapshotPartBytes = 256 << 10
	// snapshotStallTimeout is the time without progress after which a transfer is aborted.
	snapshotStallTimeout = 10 * time.Second
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// SendSnapshot implements replica.Transport. It sends message m, then content in parts, and calls
// progress after each part. It uses a separate connection, so that the snapshot does not delay
// heartbeats. HTTP/2 flow control lets the receiver set the rate. A transfer without progress
// for 10 s is aborted with an error, and the caller starts it again later.
func (t *Transport) SendSnapshot(ctx context.Context, to raft.Member, m raft.Message, content io.Reader, progress func()) error {
	address := t.address(to)
	if address == "" {
		return errors.Errorf("peer: no address for replica %d", to.ID)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stall := time.AfterFunc(snapshotStallTimeout, cancel)
	defer stall.Stop()
	c := t.pool.dial(address)
	defer c.transport.CloseIdleConnections()
	s := &snapshotSender{stream: c.SendSnapshot(ctx), onProgress: func() {
		stall.Reset(snapshotStallTimeout)
		progress()
	}}
	announce := &peerv1.RaftBatch{Group: t.group, SenderId: uint64(t.self.ID), SenderAddress: t.self.Address,
		Messages: []*peerv1.RaftMessage{MessageToProto(m)}}
	err := s.send(&peerv1.SnapshotPart{Announce: announce})
	if err == nil {
		err = s.sendContent(content)
	}
	if _, closeErr := s.stream.CloseAndReceive(); err == nil || errors.Is(err, io.EOF) {
		// io.EOF means that the receiver has ended the stream; its error is returned here.
		err = closeErr
	}
	return errors.Wrap(err, "peer: send snapshot")
}

type snapshotSender struct {
	stream     *connect.ClientStreamForClient[peerv1.SnapshotPart, peerv1.RaftAck]
	onProgress func()
}

func (s *snapshotSender) send(part *peerv1.SnapshotPart) error {
	err := s.stream.Send(part)
	if err == nil {
		s.onProgress()
	}
	return err
}

func (s *snapshotSender) sendContent(content io.Reader) error {
	buf := make([]byte, snapshotPartBytes)
	sum := crc32.New(castagnoli)
	for {
		n, err := io.ReadFull(content, buf)
		_, _ = sum.Write(buf[:n])
		last := err == io.EOF || err == io.ErrUnexpectedEOF
		if err != nil && !last {
			return err
		}
		if sendErr := s.send(&peerv1.SnapshotPart{Data: buf[:n], Last: last, Checksum: sum.Sum32()}); sendErr != nil || last {
			return sendErr
		}
	}
}

// SnapshotContent returns a function that writes the content of a snapshot stream to a writer;
// the first part must have been received already. The function returns an error if the writer
// fails, or if the stream ends early or with a wrong checksum.
func SnapshotContent(stream *connect.ClientStream[peerv1.SnapshotPart]) func(io.Writer) error {
	return func(w io.Writer) error {
		sum := crc32.New(castagnoli)
		out := io.MultiWriter(w, sum)
		for stream.Receive() {
			part := stream.Msg()
			if _, err := out.Write(part.GetData()); err != nil {
				return err
			}
			if !part.GetLast() {
				continue
			}
			if part.GetChecksum() != sum.Sum32() {
				return errors.New("peer: snapshot does not match its checksum")
			}
			return nil
		}
		if err := stream.Err(); err != nil {
			return errors.Wrap(err, "peer: receive snapshot")
		}
		return errors.New("peer: snapshot stream ended before its last part")
	}
}
