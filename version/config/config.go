package config

import (
	"net/netip"
	"time"
)

// Config is one whole dynamic configuration, as pushed by an operator. It
// holds no state of zones, hosts or endpoints taken out; State adds that.
type Config struct {
	Zones      []Zone      `toml:"zones" json:"zones"`
	Models     []Model     `toml:"models" json:"models"`
	Services   []Service   `toml:"services" json:"services"`
	Endpoints  []Endpoint  `toml:"endpoints" json:"endpoints"`
	Kinds      []Kind      `toml:"kinds" json:"kinds"`
	Workspaces []Workspace `toml:"workspaces" json:"workspaces"`
	Limits     Limits      `toml:"limits" json:"limits"`
}

// Zone is an availability zone.
type Zone struct {
	Name   string `toml:"name" json:"name"`
	Region string `toml:"region" json:"region"`
}

// Model is a language model that some endpoints serve.
type Model struct {
	Name    string `toml:"name" json:"name"`
	Version string `toml:"version" json:"version"` // weights that endpoints should have loaded
	Adapter string `toml:"adapter,omitempty" json:"adapter,omitempty"`

	// PrefillPerSecond is the number of prompt tokens an endpoint computes in
	// a second; it prices a lost prefix.
	PrefillPerSecond int `toml:"prefill_per_second" json:"prefill_per_second"`
	// MovePerSecond is the number of cached tokens that can be moved between
	// two endpoints in a second; 0 if the cache cannot be moved.
	MovePerSecond int `toml:"move_per_second" json:"move_per_second"`
}

// Service is a plain service.
type Service struct {
	Name string `toml:"name" json:"name"`
}

// Endpoint is one back end: a worker of a model or of a plain service.
type Endpoint struct {
	Name    string         `toml:"name" json:"name"`
	Address netip.AddrPort `toml:"address" json:"address"`
	Zone    string         `toml:"zone" json:"zone"`
	Model   string         `toml:"model,omitempty" json:"model,omitempty"`     // either a model
	Service string         `toml:"service,omitempty" json:"service,omitempty"` // or a service
	Role    string         `toml:"role,omitempty" json:"role,omitempty"`

	// Capacity is the number of requests in progress that the warm endpoint bears.
	Capacity int `toml:"bears" json:"bears"`
	// ColdCapacity is the number it bears right after a start.
	ColdCapacity int `toml:"cold_bears" json:"cold_bears"`
	// WarmAfter is the number of completed requests after which it is warm.
	WarmAfter int `toml:"warm_after" json:"warm_after"`
	// CacheTokens is the size of its prefix cache.
	CacheTokens int `toml:"cache_tokens,omitempty" json:"cache_tokens,omitempty"`
	// ChecksFence says that it refuses orders with an old fencing number.
	ChecksFence bool `toml:"checks_fence" json:"checks_fence"`
}

// Group returns the name of the model or service that e serves. Admission
// compares an endpoint's load with the mean of its group.
func (e *Endpoint) Group() string {
	if e.Model != "" {
		return e.Model
	}
	return e.Service
}

// Kind is a kind of request with its worth and its bounds.
type Kind struct {
	Name    string `toml:"name" json:"name"`
	Model   string `toml:"model,omitempty" json:"model,omitempty"`
	Service string `toml:"service,omitempty" json:"service,omitempty"`

	// NonIdempotent requests run at most once.
	NonIdempotent bool `toml:"non_idempotent" json:"non_idempotent"`
	// KeyRequired refuses a non-idempotent request without Idempotency-Key.
	KeyRequired bool `toml:"key_required" json:"key_required"`
	// AnyKey accepts keys that are not UUIDv7; "at most once" then holds for
	// Limits.LedgerWindow after the first use.
	AnyKey bool `toml:"any_key" json:"any_key"`
	// CanWait marks work that gives way to other kinds under shortage.
	CanWait bool `toml:"can_wait" json:"can_wait"`

	// Worth is the value of an answer in time, in points.
	Worth float64 `toml:"worth" json:"worth"`
	// FullUntil is the age up to which an answer has its full worth; from
	// there it falls in a straight line to 0 at Deadline.
	FullUntil Duration `toml:"full_until" json:"full_until"`
	// Deadline is the age at which an answer is worth nothing. It is also the
	// default and the largest deadline of a request.
	Deadline Duration `toml:"deadline" json:"deadline"`
	// FirstByte is the longest wait for the first byte of an answer after
	// dispatch.
	FirstByte Duration `toml:"first_byte" json:"first_byte"`
	// BetweenBytes is the longest silence within an answer.
	BetweenBytes Duration `toml:"between_bytes" json:"between_bytes"`
	// Objective is the share of requests to be served once and in time, for
	// the report on service-level burn; for example 0.999.
	Objective float64 `toml:"objective" json:"objective"`
}

// Group returns the name of the model or service that serves k.
func (k *Kind) Group() string {
	if k.Model != "" {
		return k.Model
	}
	return k.Service
}

// WorthAt returns the worth of an answer that is complete at age.
func (k *Kind) WorthAt(age time.Duration) float64 {
	full, deadline := k.FullUntil.Std(), k.Deadline.Std()
	switch {
	case age <= full:
		return k.Worth
	case age >= deadline:
		return 0
	default:
		left := float64(deadline-age) / float64(deadline-full)
		return k.Worth * left
	}
}

// Workspace is a customer.
type Workspace struct {
	Name string `toml:"name" json:"name"`
	// KeyHash is the SHA-256 of the workspace's key in hexadecimal.
	KeyHash string `toml:"key_hash" json:"key_hash"`
	// Share is the weight of the workspace in the queue.
	Share float64 `toml:"share" json:"share"`
}

// Limits holds the bounds that apply to all endpoints and requests.
type Limits struct {
	// MeanMultiple is c: no endpoint gets more than c times the mean load of
	// its group.
	MeanMultiple float64 `toml:"mean_multiple" json:"mean_multiple"`
	// LoadLag is the longest lag of an endpoint's load report.
	LoadLag Duration `toml:"load_lag" json:"load_lag"`
	// LedgerWindow is the age up to which repeats of a key are recognised.
	LedgerWindow Duration `toml:"ledger_window" json:"ledger_window"`
	// LedgerShards is the number of streams that the ledger is spread over.
	LedgerShards int `toml:"ledger_shards" json:"ledger_shards"`
	// CrashLimit is the number of endpoints that one request may crash.
	CrashLimit int `toml:"crash_limit" json:"crash_limit"`
	// RetryShare is the retries and hedges allowed per request served.
	RetryShare float64 `toml:"retry_share" json:"retry_share"`
	// AddressTTL is how long callers may keep an address answer.
	AddressTTL Duration `toml:"address_ttl" json:"address_ttl"`
	// WeightLoadsPerMinute is the number of loads per minute that the weight
	// store can serve.
	WeightLoadsPerMinute int `toml:"weight_loads_per_minute" json:"weight_loads_per_minute"`
}

// Duration is a time.Duration that is written as text, for example "1.5s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}
