package invariant

import (
	"sync"
	"sync/atomic"

	"github.com/go-logr/logr"
)

// Name identifies a guarantee. Names are stable: metrics and docs use them.
type Name string

// The guarantees that are checked.
const (
	PermitsWithinCap         Name = "permits_within_cap"
	PermitsWithinColdCap     Name = "cold_within_cap" // during a cold start
	NoDispatchToOutOfService Name = "nothing_to_out"
	NoDispatchToDraining     Name = "nothing_to_leaving" // leaving: draining
	ResponseMatchesRequest   Name = "answer_matches_request"
	ResponseComplete         Name = "answer_whole"    // a response reported as complete is complete
	NotRunMeansNotDispatched Name = "not_run_is_true" // a request refused as not run was not dispatched
	AtMostOnce               Name = "at_most_once"    // one attempt wins an idempotency key
	NoRequestCutOff          Name = "nothing_cut_off" // by a shutdown
	VersionNeverReverts      Name = "version_never_reverts"
	DispatchOnFreshConfig    Name = "dispatch_on_fresh_config"
)

// Names returns all guarantees in a fixed order.
func Names() []Name {
	return []Name{
		PermitsWithinCap, PermitsWithinColdCap, NoDispatchToOutOfService, NoDispatchToDraining,
		ResponseMatchesRequest, ResponseComplete, NotRunMeansNotDispatched, AtMostOnce,
		NoRequestCutOff, VersionNeverReverts, DispatchOnFreshConfig,
	}
}

// Violation is one failed check with its evidence.
type Violation struct {
	Name     Name
	Evidence string
}

// Checker counts failed checks of one process. The zero value is not usable;
// call New. Checker is safe for concurrent use.
type Checker struct {
	log   logr.Logger
	total atomic.Int64

	mu         sync.Mutex
	counts     map[Name]int64
	violations []Violation
}

// maxViolations bounds the violations kept for inspection.
const maxViolations = 64

// New returns a Checker that logs to log.
func New(log logr.Logger) *Checker {
	return &Checker{log: log, counts: make(map[Name]int64)}
}

// Check records a violation of name unless ok holds, and returns ok, so that
// callers can stop. The evidence function is called only on failure.
func (c *Checker) Check(ok bool, name Name, evidence func() string) bool {
	if !ok {
		c.record(Violation{Name: name, Evidence: evidence()})
	}
	return ok
}

func (c *Checker) record(v Violation) {
	c.total.Add(1)
	c.mu.Lock()
	c.counts[v.Name]++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, v)
	}
	c.mu.Unlock()
	c.log.Error(nil, "invariant violated", "invariant", string(v.Name), "evidence", v.Evidence)
}

// Total returns the number of failed checks since start.
func (c *Checker) Total() int64 {
	return c.total.Load()
}

// Count returns the number of failed checks of name since start.
func (c *Checker) Count(name Name) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[name]
}

// Violations returns the first violations since start, at most maxViolations.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.violations...)
}
