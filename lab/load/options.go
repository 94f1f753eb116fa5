package load

import (
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// Doer sends HTTP requests. *http.Client implements it.
type Doer interface {
	Do(*http.Request) (*http.Response, error)
}

// Workspace is a workspace that callers act for.
type Workspace struct {
	Name string
	Key  string // sent as bearer token; empty: none
}

// Kind describes the requests of one kind.
type Kind struct {
	Name string

	// Service and Path make it a kind of a plain service. Otherwise it is a
	// chat completion.
	Service string
	Path    string
	// Keyed requests carry a UUIDv7 as Idempotency-Key.
	Keyed bool
	// DuplicateShare is the share of keyed requests that are sent twice at the
	// same time, to two entry hosts.
	DuplicateShare float64

	// PerSecond is the rate at which new callers come, each with one request
	// or one chat.
	PerSecond float64
	// Turns is the number of requests in a chat; 0: requests of no chat.
	Turns int
	// PauseMin and PauseMax bound the pause before a chat returns.
	PauseMin, PauseMax time.Duration
	// ForgetShare is the share of returns without the place token.
	ForgetShare float64
	// StreamShare is the share of requests with server-sent events.
	StreamShare float64
	// PromptTokens is the length of each new message.
	PromptTokens int
	// AnswerTokens is the length of each answer.
	AnswerTokens int

	// Deadline is the time within which an answer must be complete. It is
	// sent with the request.
	Deadline time.Duration
}

// Options describe a load.
type Options struct {
	Clock clockwork.Clock // nil: real time
	Seed  uint64
	HTTP  Doer // nil: a client of its own
	// Scheme is http or https; empty: http.
	Scheme string
	// Entries are entry hosts, as IP number and port, to ask for addresses.
	Entries    []string
	Workspaces []Workspace
	Kinds      []Kind
	// MaxOpen bounds the callers at a time; 0: 4096.
	MaxOpen int
	// MaxTries bounds the tries of one request; 0: 8, largest 32.
	MaxTries int
	// Backoff is the least pause before the first repeat; it doubles with
	// every further one. 0: 50 ms.
	Backoff time.Duration
}

const (
	defaultMaxOpen  = 4096
	defaultMaxTries = 8
	largestMaxTries = 32
	defaultBackoff  = 50 * time.Millisecond
)

func (o Options) withDefaults() (Options, error) {
	if len(o.Entries) == 0 || len(o.Workspaces) == 0 || len(o.Kinds) == 0 {
		return o, errors.New("a load needs entries, workspaces and kinds")
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.HTTP == nil {
		o.HTTP = newClient()
	}
	if o.Scheme == "" {
		o.Scheme = "http"
	}
	if o.MaxOpen == 0 {
		o.MaxOpen = defaultMaxOpen
	}
	if o.MaxTries == 0 {
		o.MaxTries = defaultMaxTries
	}
	o.MaxTries = min(o.MaxTries, largestMaxTries)
	if o.Backoff == 0 {
		o.Backoff = defaultBackoff
	}
	return o, nil
}

// maxIdlePerHost is the number of idle connections kept to one entry host.
const maxIdlePerHost = 64

// newClient returns a client that follows no redirects.
func newClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = maxIdlePerHost
	transport.DisableCompression = true
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
