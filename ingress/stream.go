package ingress

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
)

// envelopeBytes is the size of what precedes a message of a stream: a byte of flags and the length.
const envelopeBytes = 5

// MaxMessageBytes bounds a message or unary body of HTTP/2 in bytes. The largest one of a cell is a batch of raft messages:
// 4 MiB, and beyond that one log entry that holds a configuration of 8 MiB behind other commands of 4 MiB.
const MaxMessageBytes = 32 << 20

// streamsPerConnection is the mean number of open streams for each connection that a listener may have. Processes of a
// cell use up to five to each other.
const streamsPerConnection = 4

// stream is the body of an HTTP/2 request, whose bytes are charged to the budget: each message of a stream until the
// handler reads the next one, and the body of a unary call until its handler ends. Until a message or body is complete, it
// can be refused for others. Bodies and messages of more than a block are held back until then, as the buffer that the
// handler reads them into leaves garbage of twice their size whenever one is refused.
type stream struct {
	io.ReadCloser
	listener *Listener
	client   string
	holder   holder
	// messages is set if the body is a sequence of messages with envelopes. Of the one that is read, envelope holds the
	// first got bytes of its envelope, and left bytes are still to come.
	messages  bool
	envelope  [envelopeBytes]byte
	got, left int
	// blocks are bytes that were held back, and of which the first is to be delivered from offset. ended is set at the
	// end of a unary body.
	blocks [][]byte
	offset int
	ended  bool
}

// streamKey is the context key of the listener of a stream.
type streamKey struct{}

// serveStream serves one HTTP/2 request.
func (l *Listener) serveStream(next http.Handler, w http.ResponseWriter, r *http.Request) {
	defer l.streams.Add(-1)
	if l.streams.Add(1) > int64(l.maxConns)*streamsPerConnection {
		l.budget.log.refused(l.name, refusalStreams.reason, r.RemoteAddr, time.Now())
		w.WriteHeader(refusalStreams.status)
		return
	}
	kind := r.Header.Get("Content-Type")
	s := &stream{ReadCloser: r.Body, listener: l, client: r.RemoteAddr,
		messages: strings.HasPrefix(kind, "application/connect+") || strings.HasPrefix(kind, "application/grpc")}
	control := http.NewResponseController(w)
	s.holder.priority, s.holder.wake = l.priority, func() { _ = control.SetReadDeadline(time.Unix(1, 0)) }
	// The deadline must not be set once the handler has returned.
	defer l.budget.leave(&s.holder)
	r = r.WithContext(context.WithValue(r.Context(), streamKey{}, l))
	r.Body = s
	next.ServeHTTP(w, r)
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	if n := s.deliver(p); n > 0 {
		return n, nil
	}
	switch {
	case s.ended:
		return 0, io.EOF
	case !s.messages || s.got == envelopeBytes && s.left > blockBytes:
		if err := s.collect(); err != nil {
			return 0, s.fail(err)
		}
		if n := s.deliver(p); n > 0 {
			return n, nil
		}
		return 0, io.EOF
	case s.got == 0:
		s.listener.budget.release(&s.holder)
	}
	wanted := s.left
	if s.got < envelopeBytes {
		wanted = envelopeBytes - s.got
	}
	n, err := s.ReadCloser.Read(p[:min(len(p), wanted)])
	s.holder.progress.Store(time.Now().UnixNano())
	if refused := s.take(p[:n]); refused != nil {
		return 0, s.fail(refused)
	}
	return n, s.fail(err)
}

// deliver returns bytes that were held back.
func (s *stream) deliver(p []byte) int {
	if len(s.blocks) == 0 {
		return 0
	}
	n := copy(p, s.blocks[0][s.offset:])
	if s.offset += n; s.offset == len(s.blocks[0]) {
		freeBlock(s.blocks[0])
		s.blocks, s.offset = s.blocks[1:], 0
	}
	return n
}

// take charges bytes of an envelope or a message.
func (s *stream) take(p []byte) error {
	if s.got < envelopeBytes {
		if s.got += copy(s.envelope[s.got:], p); s.got < envelopeBytes {
			return nil
		}
		if s.left = int(binary.BigEndian.Uint32(s.envelope[1:])); s.left > MaxMessageBytes {
			return refusalBody
		}
	} else {
		if err := s.listener.budget.charge(&s.holder, int64(len(p))); err != nil {
			return err
		}
		s.left -= len(p)
	}
	if s.left > 0 {
		return nil
	}
	s.got = 0
	return s.listener.budget.begin(&s.holder)
}

// collect holds back the rest of a message, or a unary body.
func (s *stream) collect() error {
	for s.left > 0 || !s.messages {
		last := len(s.blocks) - 1
		if len(s.blocks) > MaxMessageBytes/blockBytes {
			return refusalBody
		}
		if last < 0 || len(s.blocks[last]) == blockBytes {
			if err := s.listener.budget.charge(&s.holder, blockBytes); err != nil {
				return err
			}
			s.blocks = append(s.blocks, takeBlock(blockBytes))
			last++
		}
		free := s.blocks[last][len(s.blocks[last]):blockBytes]
		if s.messages {
			free = free[:min(len(free), s.left)]
		}
		n, err := s.ReadCloser.Read(free)
		s.holder.progress.Store(time.Now().UnixNano())
		s.blocks[last] = s.blocks[last][:len(s.blocks[last])+n]
		if s.messages {
			s.left -= n
		} else if errors.Is(err, io.EOF) {
			s.ended = true
			break
		}
		if err != nil && (s.left > 0 || !s.messages) {
			return err
		}
	}
	s.got = 0
	return s.listener.budget.begin(&s.holder)
}

// fail returns the error of a read, and frees what was held back. A refusal is logged.
func (s *stream) fail(err error) error {
	if err == nil {
		return nil
	}
	for _, b := range s.blocks {
		freeBlock(b)
	}
	s.blocks, s.offset = nil, 0
	if refused := s.listener.budget.refusalOf(&s.holder); refused != nil {
		err = refused
	}
	var r *refusal
	if errors.As(err, &r) {
		s.listener.budget.log.refused(s.listener.name, r.reason, s.client, time.Now())
	}
	return err
}

// Hold charges n bytes that a call of the stream with this context holds until release is called. An error means that the
// budget has no room, and that the call must not begin. Without a stream nothing is charged.
func Hold(ctx context.Context, n int) (release func(), err error) {
	l, ok := ctx.Value(streamKey{}).(*Listener)
	if !ok {
		return func() {}, nil
	}
	h := &holder{priority: l.priority}
	if err := l.budget.hold(h, int64(n)); err != nil {
		l.budget.log.refused(l.name, refusalBudget.reason, "", time.Now())
		return nil, err
	}
	return func() { l.budget.release(h) }, nil
}
