package invariant

import (
	"sync"
	"sync/atomic"

	"github.com/go-logr/logr"
)

// Name identifies a promise. Names are stable: metrics and docs use them.
type Name string

// The promises that are checked.
const (
	PermitsWithinCap      Name = "permits_within_cap"
	ColdWithinCap         Name = "cold_within_cap"
	NothingToOutOfService Name = "nothing_to_out"
	NothingToDraining     Name = "nothing_to_leaving"
	AnswerMatchesRequest  Name = "answer_matches_request"
	AnswerWhole           Name = "answer_whole"
	NotRunIsTrue          Name = "not_run_is_true"
	AtMostOnce            Name = "at_most_once"
	NothingCutOff         Name = "nothing_cut_off"
	VersionNeverReverts   Name = "version_never_reverts"
	DispatchOnFreshConfig Name = "dispatch_on_fresh_config"
)

// Names returns all promises in a fixed order.
func Names() []Name {
	return []Name{
		PermitsWithinCap, ColdWithinCap, NothingToOutOfService, NothingToDraining,
		AnswerMatchesRequest, AnswerWhole, NotRunIsTrue, AtMostOnce,
		NothingCutOff, VersionNeverReverts, DispatchOnFreshConfig,
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

	mu     sync.Mutex
	counts map[Name]int64
	last   []Violation
}

// maxKept bounds the violations that are kept for inspection.
const maxKept = 64

// New returns a Checker that logs to log.
func New(log logr.Logger) *Checker {
	return &Checker{log: log, counts: make(map[Name]int64)}
}

// Check records a violation of name unless ok holds. The evidence function is
// called only on failure. It reports ok, so that callers can refuse to go on.
func (c *Checker) Check(ok bool, name Name, evidence func() string) bool {
	if !ok {
		c.fail(Violation{Name: name, Evidence: evidence()})
	}
	return ok
}

func (c *Checker) fail(v Violation) {
	c.total.Add(1)
	c.mu.Lock()
	c.counts[v.Name]++
	if len(c.last) < maxKept {
		c.last = append(c.last, v)
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

// Violations returns the first violations since start, at most 64.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.last...)
}
