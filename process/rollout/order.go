package rollout

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Order is an operator's order to move a service's traffic to a version.
type Order struct {
	Service   string        `json:"s"`
	To        string        `json:"to"`
	TimeLimit time.Duration `json:"lim"`
}

// Stage is how far a rollout has progressed. Stages only move forward.
type Stage int

// The stages. StageUnknown is that of a router that knows the order and no stage yet.
const (
	StageUnknown Stage = iota
	StageCanary
	StageRamp
	StageComplete
	StageSucceeded
	StageRolledBack
)

// String returns the name used in logs and metrics.
func (s Stage) String() string {
	switch s {
	case StageCanary:
		return "canary"
	case StageRamp:
		return "ramp"
	case StageComplete:
		return "complete"
	case StageSucceeded:
		return "succeeded"
	case StageRolledBack:
		return "rolled_back"
	default:
		return "unknown"
	}
}

// Final reports whether the rollout has ended.
func (s Stage) Final() bool { return s >= StageSucceeded }

// State returns the state that the status record names: running, succeeded or rolled_back.
func (s Stage) State() string {
	if s.Final() {
		return s.String()
	}
	return "running"
}

// Limits come from the settings. Zero values mean the defaults 0.1, 50 and 5 s.
type Limits struct {
	CanaryShare float64       // largest share of requests that a bad version may get
	CanarySlack float64       // requests that a bad version may get beyond that
	Rollback    time.Duration // largest time from the 50th bad answer to the last request
}

// withDefaults replaces zero values.
func (l Limits) withDefaults() Limits {
	if l.CanaryShare <= 0 {
		l.CanaryShare = 0.1
	}
	if l.CanarySlack <= 0 {
		l.CanarySlack = 50
	}
	if l.Rollback <= 0 {
		l.Rollback = 5 * time.Second
	}
	return l
}

// seed returns the seed for choosing canary requests and endpoints. All routers that
// know the order compute the same one.
func (o Order) seed(number int) uint64 {
	return xxhash.Sum64String(o.Service + "\x00" + o.To + "\x00" + o.TimeLimit.String() + "\x00" + strconv.Itoa(number))
}
