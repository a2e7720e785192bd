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
	// snapshotPartBytes is the size of the data in one part of a snapshot.
	snapshotPartBytes = 256 << 10
	// snapshotStall is the time without headway after which a transfer is given up.
	snapshotStall = 10 * time.Second
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// SendSnapshot implements replica.Transport. It uses a connection of its own, so that the
// bulk of a snapshot does not hold up heartbeats. HTTP/2 flow control lets the receiver
// set the pace; a transfer that stalls is given up and later started anew.
func (t *Transport) SendSnapshot(ctx context.Context, to raft.Member, m raft.Message, content io.Reader, progress func()) error {
	address := t.address(to)
	if address == "" {
		return errors.Errorf("peer: no address for replica %d", to.ID)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stall := time.AfterFunc(snapshotStall, cancel)
	defer stall.Stop()
	c := t.pool.dial(address)
	defer c.transport.CloseIdleConnections()
	s := &snapshotSender{stream: c.SendSnapshot(ctx), headway: func() {
		stall.Reset(snapshotStall)
		progress()
	}}
	announce := &peerv1.RaftBatch{Group: t.group, SenderId: uint64(t.self.ID), SenderAddress: t.self.Address,
		Messages: []*peerv1.RaftMessage{MessageToProto(m)}}
	err := s.send(&peerv1.SnapshotPart{Announce: announce})
	if err == nil {
		err = s.sendContent(content)
	}
	if _, closeErr := s.stream.CloseAndReceive(); err == nil || errors.Is(err, io.EOF) {
		// On io.EOF the receiver has ended the stream, and tells why here.
		err = closeErr
	}
	return errors.Wrap(err, "peer: send snapshot")
}

type snapshotSender struct {
	stream  *connect.ClientStreamForClient[peerv1.SnapshotPart, peerv1.RaftAck]
	headway func()
}

func (s *snapshotSender) send(part *peerv1.SnapshotPart) error {
	err := s.stream.Send(part)
	if err == nil {
		s.headway()
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

// SnapshotContent returns a function that writes the data of a snapshot stream, after its
// first part was received. It fails unless the stream ends with the right checksum.
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
		return errors.New("peer: snapshot is cut short")
	}
}
