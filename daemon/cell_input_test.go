package daemon

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/client"
	"google.golang.org/protobuf/proto"
)

// TestBadInput sends malformed and forbidden requests over plain HTTP and expects a specific
// error or outcome for each. A valid job that was submitted before must not be affected.
func TestBadInput(t *testing.T) {
	t.Parallel()
	settings, key := oneVM(t)
	c := startCell(t, settings, key)
	c.awaitReady()
	c.setUp("cordon")
	good := jobOf("good", "a")
	own := c.client(keyOf("a"), c.addresses()...)
	if resp, err := own.Submit(t.Context(), good); err != nil || resp.GetOutcome().GetKind() != apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED {
		t.Fatalf("%v %v", resp, err)
	}
	submit := func(rest string) string {
		return `{"requestId":"bad","queue":"queue-a","firstSend":true,"job":{"policy":"POLICY_BATCH","tasks":[` + rest + `]}}`
	}
	big := base64.StdEncoding.EncodeToString(make([]byte, 2<<20))
	for _, in := range []struct{ name, method, key, body, want string }{
		{"unknown field", "CallerService/Submit", "a", `{"requestId":"bad","qeue":"x"}`, "400 invalid_argument"},
		{"wrong type", "CallerService/Submit", "a", `{"requestId":17}`, "400 invalid_argument"},
		{"unknown policy", "CallerService/Submit", "a", `{"job":{"policy":"POLICY_FAST"}}`, "400 invalid_argument"},
		{"truncated body", "CallerService/Submit", "a", submit(`{}`)[:40], "400 invalid_argument"},
		{"no JSON", "CallerService/Submit", "a", "\x00\x01", "400 invalid_argument"},
		{"no tasks", "CallerService/Submit", "a", `{"requestId":"bad","queue":"queue-a","firstSend":true,"job":{"policy":"POLICY_BATCH"}}`, "200 NOT_RUN BAD_REQUEST"},
		{"negative size", "CallerService/Submit", "a", submit(`{"resources":{"milliCores":"-1"}}`), "200 NOT_RUN BAD_REQUEST"},
		{"negative copies", "CallerService/Submit", "a", submit(`{"copies":-4}`), "200 NOT_RUN BAD_REQUEST"},
		{"too many tasks", "CallerService/Submit", "a", submit(`{"copies":2000000}`), "200 NOT_RUN BAD_REQUEST"},
		{"payload too large", "CallerService/Submit", "a", submit(`{"payload":"` + big + `"}`), "200 NOT_RUN TOO_LARGE"},
		{"body too large", "CallerService/Submit", "a", submit(`{"payload":"` + strings.Repeat(big, 4) + `"}`), "429 resource_exhausted"},
		{"key of another team", "CallerService/Submit", "b", submit(`{}`), "200 NOT_RUN KEY_OF_ANOTHER_TEAM"},
		{"no key", "CallerService/Submit", "", submit(`{}`), "200 NOT_RUN KEY_UNKNOWN"},
		{"unknown key", "CallerService/Submit", "nobody", submit(`{}`), "200 NOT_RUN KEY_UNKNOWN"},
		{"unknown queue", "CallerService/Submit", "a", `{"requestId":"bad","queue":"nowhere","firstSend":true,"job":{"policy":"POLICY_BATCH","tasks":[{}]}}`, "200 NOT_RUN QUEUE_UNKNOWN"},
		{"same identity, other body", "CallerService/Submit", "a", strings.Replace(submit(`{}`), "bad", "good", 1), "200 UNDETERMINED IDENTITY_REUSED"},
		{"resend without a time", "CallerService/Submit", "a", strings.Replace(submit(`{}`), `"firstSend":true`, `"firstSend":false`, 1), "200 UNDETERMINED BAD_REQUEST"},
		{"job of another team", "CallerService/Get", "b", `{"job":{"jobId":"1"}}`, "404 not_found"},
		{"job that is not there", "CallerService/Get", "a", `{"job":{"jobId":"99"}}`, "404 not_found"},
		{"caller as operator", "OperatorService/Status", "a", `{}`, "403 permission_denied"},
		{"caller as upstream", "UpstreamService/Poll", "a", `{"upstream":"standin-1","sequence":"1"}`, "403 permission_denied"},
		{"no such method", "CallerService/Launch", "a", `{}`, "404"},
	} {
		if got := postJSON(t, c.settings[0].PublicAddress, in.method, in.key, in.body); !strings.HasPrefix(got, in.want) {
			t.Errorf("%s: got %q, want %q", in.name, got, in.want)
		}
	}
	// Above its own limit hertz closes the connection, with or without a response of its own.
	if got := postJSON(t, c.settings[0].PublicAddress, "CallerService/Submit", "a", strings.Repeat(" ", 2*maxRequestBytes+1)); strings.HasPrefix(got, "200") {
		t.Errorf("body far too large: %q", got)
	}
	truncateRequest(t, c.settings[0].PublicAddress)
	c.awaitAnswer(own, good)
	if _, err := own.Get(t.Context(), &apiv1.GetRequest{Job: &apiv1.JobRef{RequestId: "bad", Queue: "queue-a"}}); connect.CodeOf(err) != connect.CodeNotFound {
		t.Errorf("a bad request created a job: %v", err)
	}
}

// postJSON returns the HTTP status of a response with its error code, or with its outcome.
func postJSON(t *testing.T, address, method, team, body string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/bulrushwinch.v1."+method, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	if team != "" {
		req.Header.Set("Authorization", "Bearer "+keyOf(team))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	var answer struct {
		Code    string
		Outcome struct{ Kind, Reason string }
	}
	_ = json.Unmarshal(data, &answer)
	if answer.Code != "" {
		return fmt.Sprint(resp.StatusCode, " ", answer.Code)
	}
	return fmt.Sprintf("%d %s %s", resp.StatusCode, strings.TrimPrefix(answer.Outcome.Kind, "OUTCOME_KIND_"),
		strings.TrimPrefix(answer.Outcome.Reason, "REASON_"))
}

// truncateRequest closes a connection in the middle of a request.
func truncateRequest(t *testing.T, address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	payload, err := proto.Marshal(jobOf("bad", "a"))
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /bulrushwinch.v1.CallerService/Submit HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: application/proto\r\nContent-Length: %d\r\n\r\n",
		keyOf("a"), len(payload)+10)
	b.Write(payload)
	if _, err := conn.Write(b.Bytes()); err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
}

// TestSilentEntryConnection stops the traffic between a client and its entry without closing
// their connections. It expects the next call to time out on the old connection and to succeed on
// a new one.
func TestSilentEntryConnection(t *testing.T) {
	t.Parallel()
	settings, key := oneVM(t)
	c := startCell(t, settings, key)
	c.awaitReady()
	r := newRelay(t, c.settings[0].PublicAddress)
	cl := client.New(client.Config{Addresses: []string{r.Address()}, Key: c.operator, CallTimeout: deadEntryTimeout})
	defer cl.Close()
	if _, err := cl.Status(t.Context(), &apiv1.StatusRequest{}); err != nil {
		t.Fatal(err)
	}
	r.Silence()
	if _, err := cl.Status(t.Context(), &apiv1.StatusRequest{}); err != nil {
		t.Errorf("after the traffic on the connection stopped: %v", err)
	}
	if r.Opened() < 2 {
		t.Error("no new connection was opened")
	}
}
