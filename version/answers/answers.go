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
	WeighsMost   Weight        `toml:"weighs_most"`
	Zones        []Zone        `toml:"zones"`
	Hosts        []Host        `toml:"hosts"`
	Entry        Entry         `toml:"entry"`
	Applications []Application `toml:"applications"`
	Workers      []Worker      `toml:"workers"`
	Kinds        []Kind        `toml:"kinds"`
	Workspaces   []Workspace   `toml:"workspaces"`
	Platform     Platform      `toml:"platform"`
}

// Weight is what an organisation weighs most.
type Weight string

// The values of Weight.
const (
	WeighsCacheReuse  Weight = "cache reuse"
	WeighsZoneChanges Weight = "zone changes"
	WeighsBoth        Weight = "both"
)

// Zone is an availability zone.
type Zone struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

// Host is an entry host, on which a router runs.
type Host struct {
	Name string `toml:"name"` // in the platform's list
	Zone string `toml:"zone"`
	// Address is the IP number of the interface that the router listens on.
	Address netip.Addr `toml:"address"`
}

// Entry is what all entry hosts have in common.
type Entry struct {
	CallerPort   int `toml:"caller_port"`
	PeerPort     int `toml:"peer_port"`
	OperatorPort int `toml:"operator_port"`
	// OperatorKeySHA256 is the SHA-256 of the operators' key in hexadecimal.
	OperatorKeySHA256 string `toml:"operator_key_sha256"`
	// PlaceKeyFile holds the key that signs place tokens, on each host.
	PlaceKeyFile string `toml:"place_key_file"`
	// Certificates is the folder with the certificates, on each host; empty:
	// no TLS.
	Certificates string `toml:"certificates"`
	// OpenOnLoopback lets everybody in, for a trial on one machine.
	OpenOnLoopback bool `toml:"open_on_loopback"`
}

// Sort is the sort of an application.
type Sort string

// The values of Sort.
const (
	SortModel   Sort = "model"
	SortService Sort = "service"
)

// Application is a model or a plain service.
type Application struct {
	Name    string `toml:"name"`
	Sort    Sort   `toml:"sort"`
	Version string `toml:"version"` // model only: weights to load
	Adapter string `toml:"adapter"` // model only

	// PromptTokensPerSecond is how fast a worker reads a prompt.
	PromptTokensPerSecond int `toml:"prompt_tokens_per_second"`
	// MovedTokensPerSecond is how fast a cache moves between workers.
	MovedTokensPerSecond int `toml:"moved_tokens_per_second"`
	// UsualGap is the usual time between two parts of an answer.
	UsualGap config.Duration `toml:"usual_gap"`
}

// Worker is one process that serves an application.
type Worker struct {
	Name        string         `toml:"name"`
	Application string         `toml:"application"`
	Zone        string         `toml:"zone"`
	Address     netip.AddrPort `toml:"address"`
	Role        string         `toml:"role"`
	// AtOnce is the number of requests that it bears at a time.
	AtOnce int `toml:"at_once"`
	// ColdAtOnce is what it bears right after a start; 0 if not known.
	ColdAtOnce  int `toml:"cold_at_once"`
	CacheTokens int `toml:"cache_tokens"`
	// RefusesOldOrders says that it checks the fencing number of orders.
	RefusesOldOrders bool `toml:"refuses_old_orders"`
}

// Keys says whether callers send an Idempotency-Key.
type Keys string

// The values of Keys.
const (
	KeysAlways    Keys = "always"    // UUIDv7 on each request
	KeysAnyForm   Keys = "any form"  // on each request, in a form of their own
	KeysSometimes Keys = "sometimes" // UUIDv7, where they send one
)

// Kind is a kind of request.
type Kind struct {
	Name        string `toml:"name"`
	Application string `toml:"application"`
	// HarmIfTwice says that a second run would do harm.
	HarmIfTwice bool `toml:"harm_if_twice"`
	Keys        Keys `toml:"keys"`
	CanWait     bool `toml:"can_wait"`

	Worth float64 `toml:"worth"`
	// FullUntil is the age up to which an answer is worth everything.
	FullUntil config.Duration `toml:"full_until"`
	// WorthlessAfter is the age from which it is worth nothing.
	WorthlessAfter config.Duration `toml:"worthless_after"`
	// UsualFirstAnswer is how long a warm worker usually takes to begin.
	UsualFirstAnswer config.Duration `toml:"usual_first_answer"`
	// LongestPromptTokens is the longest prompt; for kinds of a model only.
	LongestPromptTokens int `toml:"longest_prompt_tokens"`
	// Promise is the share to be served once and in time.
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

// Platform is what the answers say of the platform and the callers.
type Platform struct {
	Log     netip.AddrPort `toml:"log"`
	Hosts   netip.AddrPort `toml:"hosts"`
	Weights netip.AddrPort `toml:"weights"`
	TLS     bool           `toml:"tls"`
	// LoadReportLag is the oldest that a worker's load report gets.
	LoadReportLag config.Duration `toml:"load_report_lag"`
	// RepeatsWithin is how long after the first try a caller still repeats it.
	RepeatsWithin config.Duration `toml:"repeats_within"`
	// HarmfulPerSecond is the peak of requests that would harm if run twice.
	HarmfulPerSecond int `toml:"harmful_per_second"`
	// WeightLoadsPerMinute is what the weight store serves.
	WeightLoadsPerMinute int `toml:"weight_loads_per_minute"`
}

// Load reads and checks the form at path. An error that is not about reading
// the file is a form.Problems with everything that is missing or
// contradictory.
func Load(path string) (Answers, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Answers{}, errors.Wrap(err, "read answers")
	}
	return Parse(path, data)
}

// Parse is Load for data that was read from file.
func Parse(file string, data []byte) (Answers, error) {
	var a Answers
	source, problems := stricttoml.Decode(file, data, &a)
	broken := make(map[string]bool, len(problems))
	for _, problem := range problems {
		broken[problem.Key] = true
	}
	for _, problem := range check(&a, source) {
		if !broken[problem.Key] {
			problems = append(problems, problem)
		}
	}
	return a, problems.Err()
}

// Check returns everything that is missing or contradictory in a.
func Check(a Answers) stricttoml.Problems {
	return check(&a, stricttoml.NewSource("answers"))
}
