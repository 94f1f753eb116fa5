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
	Key  string // bearer token; empty: none
}

// Kind describes the requests of one kind.
type Kind struct {
	Name string

	// Service and Path are set for a kind of a plain service. Otherwise the
	// kind is chat completions.
	Service string
	Path    string
	// Keyed requests carry a UUIDv7 as Idempotency-Key.
	Keyed bool
	// DuplicateShare is the share of keyed requests that are sent twice at the
	// same time, to two entry hosts.
	DuplicateShare float64

	// PerSecond is the arrival rate of new callers, each with one request or one chat.
	PerSecond float64
	// Turns is the number of requests in a chat; 0: no chat.
	Turns int
	// PauseMin and PauseMax bound the pause between turns.
	PauseMin, PauseMax time.Duration
	// WithoutPlaceTokenShare is the share of later turns without the place token.
	WithoutPlaceTokenShare float64
	// StreamShare is the share of streamed requests.
	StreamShare float64
	// PromptTokens is the length of each new message.
	PromptTokens int
	// ResponseTokens is the length of each response.
	ResponseTokens int

	// Deadline is the time within which a response must be complete. It is sent with the request.
	Deadline time.Duration
}

// Options describe a load.
type Options struct {
	Clock clockwork.Clock // nil: real time
	Seed  uint64
	HTTP  Doer // nil: a new client
	// Scheme is http or https; empty: http.
	Scheme string
	// Entries are entry hosts that resolve addresses, as IP:PORT.
	Entries    []string
	Workspaces []Workspace
	Kinds      []Kind
	// MaxCallers bounds the concurrent callers; 0: 4096.
	MaxCallers int
	// MaxAttempts bounds the attempts of one request; 0: 8. Values above 32 count as 32.
	MaxAttempts int
	// Backoff is the pause before the first retry, unless the refusal asks for a
	// longer one. It doubles with every further one up to 5 s. 0: 50 ms.
	Backoff time.Duration
}

const (
	defaultMaxCallers  = 4096
	defaultMaxAttempts = 8
	largestMaxAttempts = 32
	defaultBackoff     = 50 * time.Millisecond
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
	if o.MaxCallers == 0 {
		o.MaxCallers = defaultMaxCallers
	}
	if o.MaxAttempts == 0 {
		o.MaxAttempts = defaultMaxAttempts
	}
	o.MaxAttempts = min(o.MaxAttempts, largestMaxAttempts)
	if o.Backoff == 0 {
		o.Backoff = defaultBackoff
	}
	return o, nil
}

// maxIdlePerHost is the number of idle connections per entry host.
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
