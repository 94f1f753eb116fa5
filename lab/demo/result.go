package demo

import (
	"github.com/stoatmount/stoatmount/lab/load"
)

// Result is the result of a demonstration. The counts come from the callers and
// the stand-ins, except for InvariantViolations and the control bytes.
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

	// InvariantViolations counts failed checks of the routers' own invariants.
	InvariantViolations int64 `json:"invariant_violations"`
	// CacheReuse is the share of cached prompt tokens of continued chats.
	CacheReuse float64 `json:"cache_reuse"`
	// LoadSkew is the largest mean load of an endpoint divided by that of its group.
	LoadSkew float64 `json:"load_skew"`
	// ControlBytesPerRouterSecond counts messages between routers in both directions.
	ControlBytesPerRouterSecond float64 `json:"control_bytes_per_router_second"`
	// ControlBytesByMessage holds the bytes sent per router since the start of the
	// fleet by kind of message, without framing, divided by Seconds.
	ControlBytesByMessage map[string]float64 `json:"control_bytes_by_message"`
	// LogAppendsPerSecond is the rate of the whole fleet.
	LogAppendsPerSecond float64 `json:"log_appends_per_second"`

	// ZoneOut describes the period in which a zone was out of service.
	ZoneOut ZoneOut `json:"zone_out"`
	// Kinds holds the counts of each kind by its name.
	Kinds map[string]load.Counts `json:"kinds"`
	// Findings are the violated guarantees with their evidence.
	Findings []string `json:"findings"`
}

// ZoneOut describes the zone that was taken out of service and brought back.
type ZoneOut struct {
	Zone string `json:"zone"`
	// AcceptedMs is the duration of the operator's call.
	AcceptedMs int64 `json:"accepted_ms"`
	// LastArrivalMs is the time from the accepted call to the last new request at
	// the zone's endpoints; 0: none after it.
	LastArrivalMs int64   `json:"last_work_ms"`
	OutSeconds    float64 `json:"out_seconds"`
}

// Failed reports whether a guarantee was violated.
func (r *Result) Failed() bool {
	return r.RanMoreThanOnce > 0 || r.FalseNotRun > 0 || r.WrongAnswers > 0 ||
		r.ColdOverrun > 0 || r.InvariantViolations > 0 || len(r.Findings) > 0
}
