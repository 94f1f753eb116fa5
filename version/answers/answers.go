package answers

import (
	"net/netip"
	"os"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/version/config"
	"github.com/stoatmount/stoatmount/version/stricttoml"
)

// Answers is a filled-in questionnaire.
type Answers struct {
	Organisation string        `toml:"organisation"`
	WeighsMost   Aim           `toml:"weighs_most"`
	Zones        []Zone        `toml:"zones"`
	Hosts        []Host        `toml:"hosts"`
	Entry        Entry         `toml:"entry"`
	Applications []Application `toml:"applications"`
	Workers      []Worker      `toml:"workers"`
	Kinds        []Kind        `toml:"kinds"`
	Workspaces   []Workspace   `toml:"workspaces"`
	Platform     Platform      `toml:"platform"`
}

// Aim is the aim that an organisation gives the most weight.
type Aim string

// The values of Aim.
const (
	AimCacheReuse  Aim = "cache reuse"
	AimZoneChanges Aim = "zone changes"
	AimBoth        Aim = "both"
)

// Zone is an availability zone.
type Zone struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

// Host is an entry host. A router runs on each.
type Host struct {
	Name string `toml:"name"` // in the platform's list
	Zone string `toml:"zone"`
	// Address is the IP address that the router listens on.
	Address netip.Addr `toml:"address"`
}

// Entry holds what all entry hosts have in common.
type Entry struct {
	CallerPort   int `toml:"caller_port"`
	PeerPort     int `toml:"peer_port"`
	OperatorPort int `toml:"operator_port"`
	// OperatorKeySHA256 is the SHA-256 of the operators' key in hexadecimal.
	OperatorKeySHA256 string `toml:"operator_key_sha256"`
	// PlaceKeyFile is the file on each host with the key that signs place tokens.
	PlaceKeyFile string `toml:"place_key_file"`
	// Certificates is the directory on each host with the certificates; empty: no TLS.
	Certificates string `toml:"certificates"`
	// OpenOnLoopback accepts requests without keys, for a trial on one machine.
	OpenOnLoopback bool `toml:"open_on_loopback"`
}

// ApplicationType is what an application is: a model or a plain service.
type ApplicationType string

// The values of ApplicationType.
const (
	TypeModel   ApplicationType = "model"
	TypeService ApplicationType = "service"
)

// Application becomes a config.Model or a config.Service.
type Application struct {
	Name    string          `toml:"name"`
	Type    ApplicationType `toml:"sort"`
	Version string          `toml:"version"` // model only: weights to load
	Adapter string          `toml:"adapter"` // model only

	// PromptTokensPerSecond is the rate at which a worker processes a prompt.
	PromptTokensPerSecond int `toml:"prompt_tokens_per_second"`
	// MovedTokensPerSecond is the rate at which a cache moves between workers.
	MovedTokensPerSecond int `toml:"moved_tokens_per_second"`
	// UsualGap is the usual time between two parts of a response.
	UsualGap config.Duration `toml:"usual_gap"`
}

// Worker is one process that serves an application. It becomes a config.Endpoint.
type Worker struct {
	Name        string         `toml:"name"`
	Application string         `toml:"application"`
	Zone        string         `toml:"zone"`
	Address     netip.AddrPort `toml:"address"`
	Role        string         `toml:"role"`
	// AtOnce is the number of requests that it can serve at once (config: Capacity).
	AtOnce int `toml:"at_once"`
	// ColdAtOnce is AtOnce right after a start; 0 if unknown.
	ColdAtOnce  int `toml:"cold_at_once"`
	CacheTokens int `toml:"cache_tokens"`
	// RefusesOldOrders says that it checks the fencing token of orders to load weights (config: ChecksFence).
	RefusesOldOrders bool `toml:"refuses_old_orders"`
}

// Keys says whether callers send an Idempotency-Key and in which format.
type Keys string

// The values of Keys.
const (
	KeysAlways    Keys = "always"    // UUIDv7 on each request
	KeysAnyForm   Keys = "any form"  // on each request, in another format
	KeysSometimes Keys = "sometimes" // UUIDv7, where they send one
)

// Kind is a kind of request. It becomes a config.Kind.
type Kind struct {
	Name        string `toml:"name"`
	Application string `toml:"application"`
	// HarmIfTwice says that running a request twice would do harm (config: NonIdempotent).
	HarmIfTwice bool `toml:"harm_if_twice"`
	Keys        Keys `toml:"keys"`
	CanWait     bool `toml:"can_wait"`

	Worth float64 `toml:"worth"`
	// FullUntil is the age up to which a response has its full worth.
	FullUntil config.Duration `toml:"full_until"`
	// WorthlessAfter is the age from which it is worth nothing.
	WorthlessAfter config.Duration `toml:"worthless_after"`
	// UsualFirstAnswer is the usual time to first byte of a warm worker.
	UsualFirstAnswer config.Duration `toml:"usual_first_answer"`
	// LongestPromptTokens is the length of the longest prompt; for kinds of a model only.
	LongestPromptTokens int `toml:"longest_prompt_tokens"`
	// Promise is the share of requests to be served once and in time (config: Objective).
	Promise float64 `toml:"promise"`
}

// Size is the size of a workspace.
type Size string

// The values of Size.
const (
	SizeSmall Size = "small"
	SizeLarge Size = "large"
)

// Workspace is a customer.
type Workspace struct {
	Name string `toml:"name"`
	// KeySHA256 is the SHA-256 of its key in hexadecimal.
	KeySHA256 string `toml:"key_sha256"`
	Size      Size   `toml:"size"`
}

// Platform describes the platform and the callers.
type Platform struct {
	Log     netip.AddrPort `toml:"log"`
	Hosts   netip.AddrPort `toml:"hosts"`
	Weights netip.AddrPort `toml:"weights"`
	TLS     bool           `toml:"tls"`
	// LoadReportLag is the maximum age of a worker's load report.
	LoadReportLag config.Duration `toml:"load_report_lag"`
	// RepeatsWithin is how long after its first attempt a caller still retries.
	RepeatsWithin config.Duration `toml:"repeats_within"`
	// HarmfulPerSecond is the peak rate of requests of kinds with HarmIfTwice.
	HarmfulPerSecond int `toml:"harmful_per_second"`
	// WeightLoadsPerMinute is the rate of loads that the weight store can serve.
	WeightLoadsPerMinute int `toml:"weight_loads_per_minute"`
}

// Load reads and validates the questionnaire at path. Unless the file cannot be
// read, the error is a stricttoml.Problems with all that is missing or contradictory.
func Load(path string) (Answers, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Answers{}, errors.Wrap(err, "read answers")
	}
	return Parse(path, data)
}

// Parse is like Load for data, the content of file.
func Parse(file string, data []byte) (Answers, error) {
	var a Answers
	source, problems := stricttoml.Decode(file, data, &a)
	invalid := make(map[string]bool, len(problems))
	for _, problem := range problems {
		invalid[problem.Key] = true
	}
	for _, problem := range check(&a, source) {
		if !invalid[problem.Key] { // a value that was not decoded has its problem already
			problems = append(problems, problem)
		}
	}
	return a, problems.Err()
}

// Check returns a problem for everything that is missing or contradictory in a.
func Check(a Answers) stricttoml.Problems {
	return check(&a, stricttoml.NewSource("answers"))
}
