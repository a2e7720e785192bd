package ingress

import (
	"fmt"
	"net/http"
)

// refusal is why a request is not read to its end. Its handler has not begun, so it had no effect.
type refusal struct {
	reason string
	// status is the HTTP status of the response; zero closes the connection without one.
	status int
	// after is the time in seconds after which the client may send the request again; zero says nothing.
	after int
}

// Error implements error.
func (r *refusal) Error() string { return "ingress: request refused: " + r.reason }

var (
	refusalHead       = &refusal{"head_too_large", http.StatusRequestHeaderFieldsTooLarge, 0}
	refusalBody       = &refusal{"body_too_large", http.StatusRequestEntityTooLarge, 0}
	refusalEmptyLines = &refusal{"empty_lines", http.StatusBadRequest, 0}
	refusalMalformed  = &refusal{"malformed", http.StatusBadRequest, 0}
	refusalStalled    = &refusal{"stalled", http.StatusRequestTimeout, 0}
	refusalBudget     = &refusal{"budget", http.StatusServiceUnavailable, 1}
	refusalCrowded    = &refusal{"connections", 0, 0}
	refusalStreams    = &refusal{"streams", http.StatusServiceUnavailable, 0}
	refusalFiles      = &refusal{"descriptors", 0, 0}
)

// response returns the bytes of the response.
func (r *refusal) response() []byte {
	after := ""
	if r.after > 0 {
		after = fmt.Sprintf("Retry-After: %d\r\n", r.after)
	}
	body := fmt.Sprintf(`{"error":"the request was not read: %s; it had no effect"}`, r.reason)
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		r.status, http.StatusText(r.status), after, len(body), body)
}
