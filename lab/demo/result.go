package demo

import (
	"github.com/stoatmount/stoatmount/lab/load"
)

// Result is what a demonstration shows. The counts are those of the callers
// and the stand-ins, except for the two about the routers themselves.
type Result struct {
	Seconds             float64 `json:"seconds"`
	Sent                int     `json:"sent"`
	CompletedOnceInTime int     `json:"completed_once_in_time"`
	RefusedNotRun       int     `json:"refused_not_run"`
	OutcomeUnknown      int     `json:"outcome_unknown"`
	RanMoreThanOnce     int     `json:"ran_more_than_once"`
	FalseNotRun         int     `json:"false_not_run"`
	WrongAnswers        int     `json:"wrong_answers"`
	ColdOverrun         int     `json:"cold_overrun"`

	// InvariantViolations counts failed checks within the routers.
	InvariantViolations int64 `json:"invariant_violations"`
	// CacheReuse is the share of the prompt tokens of returning chats that
	// were found in a cache.
	CacheReuse float64 `json:"cache_reuse"`
	// LoadSkew is the largest mean load of an endpoint over that of its group.
	LoadSkew float64 `json:"load_skew"`
	// ControlBytesPerRouterSecond counts messages between routers, both ways.
	ControlBytesPerRouterSecond float64 `json:"control_bytes_per_router_second"`
	// ControlBytesByMessage is the part of it that each kind of message has, in
	// bytes sent per router and second, without framing.
	ControlBytesByMessage map[string]float64 `json:"control_bytes_by_message"`
	// LogAppendsPerSecond is for the whole fleet.
	LogAppendsPerSecond float64 `json:"log_appends_per_second"`

	// ZoneOut is what happened while a zone was out.
	ZoneOut ZoneOut `json:"zone_out"`
	// Kinds holds the counts of each kind by its name.
	Kinds map[string]load.Counts `json:"kinds"`
	// Findings are the broken promises with their evidence.
	Findings []string `json:"findings"`
}

// ZoneOut tells of the zone that was taken out and brought back.
type ZoneOut struct {
	Zone string `json:"zone"`
	// AcceptedMs is how long the operator's call took.
	AcceptedMs int64 `json:"accepted_ms"`
	// LastWorkMs is how long after the call was accepted the zone's endpoints
	// got their last new work; 0: none after it.
	LastWorkMs int64   `json:"last_work_ms"`
	OutSeconds float64 `json:"out_seconds"`
}

// Failed reports whether a promise was broken.
func (r *Result) Failed() bool {
	return r.RanMoreThanOnce > 0 || r.FalseNotRun > 0 || r.WrongAnswers > 0 ||
		r.ColdOverrun > 0 || r.InvariantViolations > 0 || len(r.Findings) > 0
}
