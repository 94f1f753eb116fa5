package serve

import (
	"bytes"
	"net/http"
	"strings"
	"time"

	"github.com/stoatmount/stoatmount/process/suspect"
	"github.com/stoatmount/stoatmount/request/placetoken"
	"github.com/stoatmount/stoatmount/version/config"
)

// Job is one request of a caller. It does not change while it is served.
type Job struct {
	ID             string // request ID, unique in the fleet
	Workspace      string
	Chat           string // empty if the request belongs to no chat
	IdempotencyKey string // Idempotency-Key; empty if none was sent
	Kind           *config.Kind
	Snapshot       *config.Snapshot // configuration with which it was accepted

	Method string
	Path   string // path and query at the endpoint
	Header http.Header
	Body   []byte
	Stream bool // the caller wants server-sent events

	Received     time.Time
	Deadline     time.Time
	PlaceToken   string // place token that the caller sent
	PromptTokens int    // estimated
	Fingerprint  suspect.Fingerprint
}

// Session returns the session name of the chat's cached prefix at endpoints. It is
// empty for a request without a chat.
func (j *Job) Session() string {
	if j.Chat == "" {
		return ""
	}
	return j.ChatKey().Session()
}

// ChatKey returns the key of the chat. It is 0 for a request without a chat.
func (j *Job) ChatKey() placetoken.Chat {
	return placetoken.ChatOf(j.Workspace, j.Chat)
}

// Returning reports whether the chat seems to have had a turn before: its body
// contains assistantRole.
func (j *Job) Returning() bool {
	return j.Chat != "" && bytes.Contains(j.Body, assistantRole)
}

// assistantRole marks an assistant message in the history of a chat.
var assistantRole = []byte(`"assistant"`)

// Idempotent reports whether the request may be sent to endpoints more than once.
func (j *Job) Idempotent() bool {
	return !j.Kind.NonIdempotent
}

// Remaining returns the time until the deadline.
func (j *Job) Remaining(now time.Time) time.Duration {
	return j.Deadline.Sub(now)
}

// droppedHeaders are not passed on in either direction: hop-by-hop headers, those of
// the connection, and credentials, which stay with the router.
var droppedHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Authenticate",
	"Proxy-Authorization", "Authorization", "Content-Length", "Host",
	"Expect",
}

// ForwardHeader returns the part of a caller's header that is sent to endpoints.
func ForwardHeader(header http.Header) http.Header {
	forwarded := make(http.Header, len(header))
	for name, values := range header {
		if !strings.HasPrefix(name, "Stoatmount-") {
			forwarded[name] = values
		}
	}
	for _, named := range header.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range droppedHeaders {
		forwarded.Del(name)
	}
	return forwarded
}
