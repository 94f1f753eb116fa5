package api

import (
	"fmt"
	"time"

	"github.com/stoatmount/stoatmount/process/burn"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
	"github.com/stoatmount/stoatmount/version/plan"
)

// Paths of the operators' address.
const (
	PathStatus  = "/v1/status"         // GET: Fleet
	PathBurn    = "/v1/burn"           // GET: Burn
	PathConfig  = "/v1/config"         // GET: config.State; POST Push: Accepted
	PathHistory = "/v1/config/history" // GET ?limit=N: History
	PathPreview = "/v1/preview"        // POST Mark: plan.Impact
	PathOut     = "/v1/out"            // POST Mark: Accepted
	PathIn      = "/v1/in"             // POST Mark: Accepted
	PathVars    = "/debug/vars"        // GET: figures
)

// HeaderOperator names the operator who asks, for the history.
const HeaderOperator = "Stoatmount-Operator"

// Fleet is what one router knows of all routers.
type Fleet struct {
	// AnsweredBy is the name of the router that answered.
	AnsweredBy string    `json:"asked"`
	At         time.Time `json:"at"`
	Routers    []Router  `json:"routers"` // sorted by name
}

// Router is the state of one router.
type Router struct {
	Name        string    `json:"name"`
	Incarnation uint64    `json:"boot"`
	Zone        string    `json:"zone"`
	Region      string    `json:"region"`
	Started     time.Time `json:"started"`
	// At is when the router said this of itself, by its own clock.
	At time.Time `json:"at"`
	// AgeMs is how old these figures are for the router that was asked.
	AgeMs int64 `json:"age_ms"`
	// Unreachable routers did not answer; their figures are the last seen.
	Unreachable bool   `json:"unreachable"`
	Health      string `json:"health"`
	Draining    bool   `json:"draining"`

	ConfigVersion config.Version `json:"config_version"`
	// ConfigFresh says that the router may take new work on its configuration.
	ConfigFresh bool `json:"config_fresh"`
	// LogAgeMs is how long ago the router knew the end of the configuration
	// in the log; -1 if it never did.
	LogAgeMs int64 `json:"log_age_ms"`
	// ConfigMissing names the records of the configuration that expired before
	// the router read them; no change is judged until a restore.
	ConfigMissing *RecordRange `json:"config_missing,omitempty"`

	View        uint64 `json:"view"`
	ViewMembers int    `json:"view_members"`

	InProgress              int     `json:"in_progress"`
	Waiting                 int     `json:"waiting"`
	ControlBytesPerSecond   float64 `json:"control_bytes_per_second"`
	InvariantViolations     int64   `json:"invariant_violations"`
	MemoryBytes             uint64  `json:"memory_bytes"`
	ProcessorSecondsControl float64 `json:"processor_seconds_control"`

	// Endpoints are those that the router is the admission owner of.
	Endpoints []Endpoint      `json:"endpoints"`
	Kinds     []plan.KindLoad `json:"kinds"`
}

// RecordRange is a run of records of the configuration log.
type RecordRange struct {
	From uint64 `json:"from"`
	To   uint64 `json:"to"` // first record that is there again
}

// Endpoint is the state of an endpoint as its admission owner knows it.
type Endpoint struct {
	Name     string `json:"name"`
	Permits  int    `json:"permits"`
	Cap      int    `json:"cap"`
	Waiting  int    `json:"waiting"`
	Cold     bool   `json:"cold"`
	Usable   bool   `json:"usable"`
	Draining bool   `json:"leaving"`
	// Running is the endpoint's own figure, ReportAgeMs old; -1 if unknown.
	Running     int   `json:"running"`
	ReportAgeMs int64 `json:"report_age_ms"`
}

// Burn is the counters of all routers, those that are gone included as far as
// they are known. Each process is counted once, whoever kept its counters.
type Burn struct {
	At time.Time `json:"at"`
	// Kinds are those of the configuration in its order, then others that were
	// counted.
	Kinds     []KindCounts          `json:"kinds"`
	Processes []Process             `json:"processes"` // that the counts are from
	Out       []config.OutOfService `json:"out"`
	// Unresponsive are the live routers that did not answer.
	Unresponsive []string `json:"silent"`
	// Unknown are the silent routers of which nobody keeps a record.
	Unknown []string `json:"unknown"`
	// Dropped is the number of records that keepers no longer have.
	Dropped int `json:"dropped"`
}

// KindCounts is the counters of a kind over all processes.
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
	Final       bool      `json:"final"` // it ended in order
	Live        bool      `json:"live"`
}

// Push asks to put a configuration in force.
type Push struct {
	Base   config.Version `json:"base"` // the version that it was made on
	Config config.Config  `json:"config"`
	Reason string         `json:"reason,omitempty"` // free text for the history
	// Restore replaces whatever is in force and all marks, also where records of
	// the configuration have expired unread.
	Restore bool `json:"restore,omitempty"`
}

// Mark asks to take a target out of service or bring it back.
type Mark struct {
	Base   config.Version `json:"base"` // 0: whatever version is in force
	Target config.Target  `json:"target"`
	Out    bool           `json:"out"`
	Reason string         `json:"reason,omitempty"` // free text for the history
}

// Accepted says that a change is in force.
type Accepted struct {
	Version config.Version `json:"version"`
}

// History is the last changes, newest first.
type History struct {
	Changes []Change `json:"changes"`
	// Complete says that no older change has expired from the log.
	Complete bool `json:"complete"`
}

// Change is one entry of the history.
type Change struct {
	Version config.Version `json:"version"` // offset of the record in the log
	Base    config.Version `json:"base"`
	At      time.Time      `json:"at"`
	Author  string         `json:"by"`
	Summary string         `json:"what"`
	// Target is what went out or came in; nil for a pushed configuration.
	Target   *config.Target `json:"target,omitempty"`
	Out      bool           `json:"out,omitempty"`
	Accepted bool           `json:"accepted"`
	Reason   string         `json:"reason,omitempty"` // why it was not accepted
}

// Refusal is the body of an answer that is not 2xx.
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
