package api

import (
	"fmt"
	"time"

	"github.com/stoatmount/stoatmount/process/burn"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
	"github.com/stoatmount/stoatmount/version/plan"
)

// Paths of the operators' API.
const (
	PathStatus  = "/v1/status"         // GET: Fleet
	PathBurn    = "/v1/burn"           // GET: Burn
	PathConfig  = "/v1/config"         // GET: config.State; POST Push: Accepted
	PathHistory = "/v1/config/history" // GET ?limit=N: History
	PathPreview = "/v1/preview"        // POST Mark: plan.Impact
	PathOut     = "/v1/out"            // POST Mark: Accepted
	PathIn      = "/v1/in"             // POST Mark: Accepted
	PathVars    = "/debug/vars"        // GET: metrics
)

// HeaderOperator is the header with the operator's name, which is recorded as the
// author of changes.
const HeaderOperator = "Stoatmount-Operator"

// Fleet is the state of all routers as one of them knows it.
type Fleet struct {
	// RespondedBy is the name of the router that responded.
	RespondedBy string    `json:"asked"`
	At          time.Time `json:"at"`
	Routers     []Router  `json:"routers"` // sorted by name
}

// Router is the state of one router.
type Router struct {
	Name        string    `json:"name"`
	Incarnation uint64    `json:"boot"`
	Zone        string    `json:"zone"`
	Region      string    `json:"region"`
	Started     time.Time `json:"started"`
	// At is when the router reported this state, by its own clock.
	At time.Time `json:"at"`
	// AgeMs is the age of this state at the router that responded.
	AgeMs int64 `json:"age_ms"`
	// Unreachable routers did not reply or left; their state is the last one seen, if any.
	Unreachable bool   `json:"unreachable"`
	Health      string `json:"health"`
	Draining    bool   `json:"draining"`

	ConfigVersion config.Version `json:"config_version"`
	// ConfigFresh reports whether the configuration is fresh enough for the router
	// to accept new work.
	ConfigFresh bool `json:"config_fresh"`
	// LogAgeMs is the time since the router was last known to have every accepted
	// record of the configuration log; -1 if it never was.
	LogAgeMs int64 `json:"log_age_ms"`
	// ConfigMissing is the range of configuration records that expired before the
	// router read them; until a restore, it refuses every other change.
	ConfigMissing *RecordRange `json:"config_missing,omitempty"`

	View        uint64 `json:"view"`
	ViewMembers int    `json:"view_members"`

	InProgress            int     `json:"in_progress"`
	Waiting               int     `json:"waiting"`
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
	InvariantViolations   int64   `json:"invariant_violations"`
	MemoryBytes           uint64  `json:"memory_bytes"`
	ControlCPUSeconds     float64 `json:"processor_seconds_control"`

	// Endpoints are those whose admission owner is this router.
	Endpoints []Endpoint      `json:"endpoints"`
	Kinds     []plan.KindLoad `json:"kinds"`
}

// RecordRange is a range of records of the configuration log.
type RecordRange struct {
	From uint64 `json:"from"`
	To   uint64 `json:"to"` // first available record
}

// Endpoint is the state of an endpoint as known to its admission owner.
type Endpoint struct {
	Name     string `json:"name"`
	Permits  int    `json:"permits"`
	Cap      int    `json:"cap"`
	Waiting  int    `json:"waiting"`
	Cold     bool   `json:"cold"`
	Usable   bool   `json:"usable"`
	Draining bool   `json:"leaving"`
	// Running is from the endpoint's load report, ReportAgeMs old; -1 if unknown.
	Running     int   `json:"running"`
	ReportAgeMs int64 `json:"report_age_ms"`
}

// Burn holds the counters of all routers, including known ones that have ended.
// Each process is counted once, however many replicas of its counters exist.
type Burn struct {
	At time.Time `json:"at"`
	// Kinds are those of the configuration in its order, then other kinds with counts.
	Kinds     []KindCounts          `json:"kinds"`
	Processes []Process             `json:"processes"` // whose counters are included
	Out       []config.OutOfService `json:"out"`
	// Unresponsive are the live routers that did not reply.
	Unresponsive []string `json:"silent"`
	// Unknown are the unresponsive routers without a replica of their counters.
	Unknown []string `json:"unknown"`
	// Dropped is the number of replicas that routers have discarded.
	Dropped int `json:"dropped"`
}

// KindCounts holds the counters of a kind over all processes.
type KindCounts struct {
	Kind string `json:"kind"`
	// Objective is 0 if the kind is not configured.
	Objective float64       `json:"objective"`
	Total     burn.Counts   `json:"total"`
	Minutes   []burn.Minute `json:"minutes"` // of the last six hours, oldest first
}

// Process is a router process whose counters are known.
type Process struct {
	Host        string    `json:"host"`
	Incarnation uint64    `json:"boot"`
	Zone        string    `json:"zone"`
	Started     time.Time `json:"started"`
	At          time.Time `json:"at"`    // of its newest counters
	Final       bool      `json:"final"` // written at its orderly shutdown
	Live        bool      `json:"live"`
}

// Push is a request to put a configuration in force.
type Push struct {
	Base   config.Version `json:"base"` // the version that it was derived from
	Config config.Config  `json:"config"`
	Reason string         `json:"reason,omitempty"` // free text for the history
	// Restore replaces the configuration in force and all marks, also if records of
	// the configuration have expired unread.
	Restore bool `json:"restore,omitempty"`
}

// Mark is a request to take a target out of service or bring it back.
type Mark struct {
	Base   config.Version `json:"base"` // 0: the version in force
	Target config.Target  `json:"target"`
	Out    bool           `json:"out"`
	Reason string         `json:"reason,omitempty"` // free text for the history
}

// Accepted is the response to a change that is now in force.
type Accepted struct {
	Version config.Version `json:"version"`
}

// History holds the last changes, newest first.
type History struct {
	Changes []Change `json:"changes"`
	// Complete reports that Changes holds all changes that the router remembers.
	Complete bool `json:"complete"`
}

// Change is one entry of the history.
type Change struct {
	Version config.Version `json:"version"` // offset of the record in the log
	Base    config.Version `json:"base"`
	At      time.Time      `json:"at"`
	Author  string         `json:"by"`
	Summary string         `json:"what"`
	// Target is what was taken out of service or brought back; nil for a pushed
	// configuration.
	Target   *config.Target `json:"target,omitempty"`
	Out      bool           `json:"out,omitempty"`
	Accepted bool           `json:"accepted"`
	Reason   string         `json:"reason,omitempty"` // why it was not accepted
}

// Refusal is the body of a response whose status is not 2xx.
type Refusal struct {
	Code     outcome.Code     `json:"code"`
	Name     string           `json:"name"`
	Text     string           `json:"text"`
	Detail   string           `json:"detail,omitempty"`
	Problems []config.Problem `json:"problems,omitempty"`
}

// Error implements error.
func (r *Refusal) Error() string {
	text := fmt.Sprintf("%d %s: %s", int(r.Code), r.Name, r.Text)
	if r.Detail != "" {
		text += "\n  " + r.Detail
	}
	for _, problem := range r.Problems {
		text += "\n  " + problem.String()
	}
	return text
}
