package ingress_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/binary"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"
)

// peerKind is a kind of client that speaks the peer protocol: each sends its body, which stops short of its end, and
// leaves the stream open.
type peerKind struct {
	name, call, contentType, encoding string
	body                              []byte
}

// peerKinds returns the kinds of clients of the peer protocol.
func peerKinds(t *testing.T) []peerKind {
	message := make([]byte, crowdBytes)
	binary.BigEndian.PutUint32(message[1:], 256<<20-1)
	fitting := bytes.Clone(message)
	binary.BigEndian.PutUint32(fitting[1:], crowdBytes)
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	for range 64 {
		if _, err := w.Write(make([]byte, 1<<20)); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return []peerKind{
		{"large messages of raft", "Raft", "application/connect+proto", "", message},
		{"messages of raft", "Raft", "application/connect+proto", "", fitting},
		{"batches of calls", "Calls", "application/connect+proto", "", fitting},
		{"unary calls", "Forward", "application/proto", "", message},
		{"compressed calls", "Forward", "application/proto", "gzip", packed.Bytes()},
	}
}

// stoppingBody is a body that is at its end only once ctx has ended; sent is closed when all of it was read.
type stoppingBody struct {
	ctx  context.Context
	rest *bytes.Reader
	sent func()
	end  bool
}

func (b *stoppingBody) Read(p []byte) (int, error) {
	if n, _ := b.rest.Read(p); n > 0 {
		return n, nil
	}
	b.sent()
	if !b.end {
		<-b.ctx.Done()
	}
	return 0, io.EOF
}

// send runs one client until it has sent all, or is refused, or the process takes nothing for a while.
func (k peerKind) send(ctx context.Context, address string) {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	sent, finish := context.WithTimeout(ctx, 3*crowdPatience)
	body := &stoppingBody{ctx: ctx, rest: bytes.NewReader(k.body), sent: finish, end: k.encoding != ""}
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/peer.v1.PeerService/"+k.call, body)
	req.Header.Set("Content-Type", k.contentType)
	if k.encoding != "" {
		req.Header.Set("Content-Encoding", k.encoding)
	}
	go func() {
		defer transport.CloseIdleConnections()
		defer finish()
		if resp, err := transport.RoundTrip(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}()
	<-sent.Done()
}

// Clients that speak the peer protocol, which has no secret in push mode, don't end or fill a replica.
func TestCrowdOfPeers(t *testing.T) {
	target := listener{portPeer, "POST /peer.v1.PeerService/View", "{}", []int{200}, controlBody, replicaBound}
	for _, k := range peerKinds(t) {
		t.Run(k.name, func(t *testing.T) {
			p := startPush("replica", replicaMemory)(t)
			target.mustAnswer(t, p)
			rest, restFiles := p.memory(t, "VmRSS"), p.files(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var crowd sync.WaitGroup
			for range crowdSize {
				crowd.Go(func() { k.send(ctx, p.address(portPeer)) })
			}
			crowd.Wait()
			time.Sleep(crowdPatience / 2)
			target.mustAnswer(t, p)
			peak, files := p.memory(t, "VmHWM"), p.files(t)
			cancel()
			t.Logf("%d MB at rest, %d MB at most (bound %d MB), %d descriptors", rest>>20, peak>>20, (rest+target.bound)>>20, files)
			if peak > rest+target.bound {
				t.Errorf("the process used %d MB, over its bound of %d MB", peak>>20, (rest+target.bound)>>20)
			}
			if files > restFiles+crowdSize+spareFiles {
				t.Errorf("%d descriptors are open, %d at rest", files, restFiles)
			}
			p.mustRelease(t, rest+releaseMargin)
		})
	}
}
