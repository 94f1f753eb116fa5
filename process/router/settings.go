package router

import (
	"math"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Bounds are the settings that a running process can reload.
type Bounds struct {
	Contact      time.Duration // after the store or a router was unreachable, until the platform's bounds hold again
	ConfigApply  time.Duration // until a configuration that operators wrote is in force
	Drain        time.Duration // until a draining endpoint gets no new requests
	Grace        time.Duration // between the termination signal and the kill
	RetryRatio   float64       // retries per request of a service, over all routers
	RetrySlack   float64       // retries per RetryWindow of a service besides these, over all routers
	ColdOver     float64       // multiple of its rate that a cold endpoint may get in one second
	ColdSlack    float64       // requests per second besides these
	LoadCap      float64       // multiple of the mean load that an endpoint may have
	AnswerTTLMax time.Duration // for which callers cache addresses
	CanaryShare  float64       // of a service's requests that a version which turns out bad may get; 0 is the default
	CanarySlack  float64       // requests besides these; 0 is the default
	Rollback     time.Duration // until a version gets no more requests after its 50th bad answer; 0 is the default
}

// Settings is the configuration of a process. Except for Bounds it does not change
// while the process runs.
type Settings struct {
	Name    string // of the host
	Address string // of the host, without a port
	Zone    string // availability zone
	Region  string

	Front     string // callers
	Ready     string // readiness checks
	Directory string // callers that ask for addresses
	Peer      string // heartbeats of the other routers, UDP
	Metrics   string // metrics; "" to disable
	Store     string // the platform's metadata store

	FirstStart bool // no router has run before

	MemoryBytes int64 // that the process may use; 0 is unknown
	Descriptors int   // that the process may open; 0 is unknown

	// ScarceCapacity: endpoints are short of capacity for longer than an instant. Plain services with few slots
	// for many routers share them by permits, and prompts that wait at engines are counted.
	ScarceCapacity bool
	CPUShare       float64 // of a processor that the host has; 0 is unknown

	RetryWindow time.Duration // over which retries are bounded
	Bounds
}

// Validate returns all problems of the settings at once.
func (s *Settings) Validate() error {
	var problems []string
	address := func(what, value string, required bool) {
		if value == "" && !required {
			return
		}
		if _, _, err := net.SplitHostPort(value); err != nil {
			problems = append(problems, what+" address "+strings.TrimSpace(value)+" is not host:port")
		}
	}
	if s.Name == "" {
		problems = append(problems, "the host has no name; set it to the machine's name")
	}
	if s.Zone == "" {
		problems = append(problems, "the host has no availability zone")
	}
	address("front", s.Front, true)
	address("ready", s.Ready, true)
	address("directory", s.Directory, true)
	address("store", s.Store, true)
	address("peer", s.Peer, false)
	address("metrics", s.Metrics, false)
	for what, d := range map[string]time.Duration{"contact": s.Contact, "drain": s.Drain, "grace": s.Grace, "retry window": s.RetryWindow, "rollback": s.Rollback} {
		if d < 0 {
			problems = append(problems, what+" time is negative")
		}
	}
	if s.RetryRatio < 0 || s.RetrySlack < 0 || s.ColdOver < 0 || s.ColdSlack < 0 || s.LoadCap < 0 || s.CanaryShare < 0 || s.CanarySlack < 0 {
		problems = append(problems, "a bound is negative; bounds are zero or more")
	}
	if s.CPUShare < 0 || math.IsNaN(s.CPUShare) || math.IsInf(s.CPUShare, 0) {
		problems = append(problems, "the processor share is not a number of zero or more")
	}
	if len(problems) == 0 {
		return nil
	}
	return errors.New("settings: " + strings.Join(problems, "; "))
}

// Defaults of omitted settings.
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
