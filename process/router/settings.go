package router

import (
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Bounds are the settings that a running process takes on when they change.
type Bounds struct {
	Contact      time.Duration // after a disturbance, until bounds hold again
	Drain        time.Duration // until a leaving endpoint gets no new requests
	Grace        time.Duration // between the signal to leave and the kill
	RetryRatio   float64       // repeats per request of a service, over all routers
	RetrySlack   float64       // repeats on top
	ColdOver     float64       // times its rate that a cold endpoint bears in one second
	ColdSlack    float64       // requests on top
	LoadCap      float64       // times the mean load that an endpoint may have
	AnswerTTLMax time.Duration // for which callers keep addresses
}

// Settings are what a process learns before it starts. But for Bounds they do
// not change while it runs.
type Settings struct {
	Name    string // of the host
	Address string // of the host, without a port
	Zone    string // availability zone
	Region  string

	Front     string // callers
	Ready     string // readiness checks
	Directory string // callers that ask for addresses
	Peer      string // beats of the other routers, UDP
	Metrics   string // counters; "" serves none
	Store     string // the platform's metadata store

	MemoryBytes int64 // that the process may use; 0 is unknown
	Descriptors int   // that the process may open; 0 is unknown

	RetryWindow time.Duration // over which repeats are bounded
	Bounds
}

// Validate returns all faults of the settings at once, each with its remedy.
func (s *Settings) Validate() error {
	var faults []string
	address := func(what, value string, required bool) {
		if value == "" && !required {
			return
		}
		if _, _, err := net.SplitHostPort(value); err != nil {
			faults = append(faults, what+" address "+strings.TrimSpace(value)+" is not host:port")
		}
	}
	if s.Name == "" {
		faults = append(faults, "the host has no name; set it to the machine's name")
	}
	if s.Zone == "" {
		faults = append(faults, "the host has no availability zone")
	}
	address("front", s.Front, true)
	address("ready", s.Ready, true)
	address("directory", s.Directory, true)
	address("store", s.Store, true)
	address("peer", s.Peer, false)
	address("metrics", s.Metrics, false)
	for what, d := range map[string]time.Duration{"contact": s.Contact, "drain": s.Drain, "grace": s.Grace, "retry window": s.RetryWindow} {
		if d < 0 {
			faults = append(faults, what+" time is negative")
		}
	}
	if s.RetryRatio < 0 || s.RetrySlack < 0 || s.ColdOver < 0 || s.ColdSlack < 0 || s.LoadCap < 0 {
		faults = append(faults, "a bound is negative; bounds are zero or more")
	}
	if len(faults) == 0 {
		return nil
	}
	return errors.New("settings: " + strings.Join(faults, "; "))
}

// Defaults of bounds that the settings leave out.
const (
	defaultGrace       = 8 * time.Second
	defaultRetryWindow = 10 * time.Second
	defaultRetryRatio  = 0.1
	defaultLoadCap     = 2
)

func (s Settings) withDefaults() Settings {
	if s.Grace == 0 {
		s.Grace = defaultGrace
	}
	if s.RetryWindow == 0 {
		s.RetryWindow = defaultRetryWindow
	}
	if s.RetryRatio == 0 {
		s.RetryRatio = defaultRetryRatio
	}
	if s.LoadCap == 0 {
		s.LoadCap = defaultLoadCap
	}
	return s
}
