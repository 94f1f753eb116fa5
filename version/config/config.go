package config

import (
	"net/netip"
	"time"
)

// Config is a complete dynamic configuration, as pushed by an operator. It does
// not say which zones, hosts and endpoints are out of service; State does.
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
	Version string `toml:"version" json:"version"` // of the weights that endpoints should load
	Adapter string `toml:"adapter,omitempty" json:"adapter,omitempty"`

	// PrefillPerSecond is the number of prompt tokens that an endpoint processes
	// per second; it determines the cost of a lost prefix cache.
	PrefillPerSecond int `toml:"prefill_per_second" json:"prefill_per_second"`
	// MovePerSecond is the number of cached tokens per second that can be moved
	// between two endpoints; 0 if the cache cannot be moved.
	MovePerSecond int `toml:"move_per_second" json:"move_per_second"`
}

// Service is a plain service.
type Service struct {
	Name string `toml:"name" json:"name"`
}

// Endpoint is one process that serves a model or a plain service.
type Endpoint struct {
	Name    string         `toml:"name" json:"name"`
	Address netip.AddrPort `toml:"address" json:"address"`
	Zone    string         `toml:"zone" json:"zone"`
	Model   string         `toml:"model,omitempty" json:"model,omitempty"` // exactly one of Model and Service is set
	Service string         `toml:"service,omitempty" json:"service,omitempty"`
	Role    string         `toml:"role,omitempty" json:"role,omitempty"`

	// Capacity is the number of requests that it can serve at once when warm.
	Capacity int `toml:"bears" json:"bears"`
	// ColdCapacity is the number of requests that it can serve at once right after a start.
	ColdCapacity int `toml:"cold_bears" json:"cold_bears"`
	// WarmAfter is the number of completed requests after which it is warm.
	WarmAfter int `toml:"warm_after" json:"warm_after"`
	// CacheTokens is the number of tokens that its prefix cache holds.
	CacheTokens int `toml:"cache_tokens,omitempty" json:"cache_tokens,omitempty"`
	// ChecksFence says that it rejects orders to load weights with an old fencing token.
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

// Kind is a kind of request with its worth and its timeouts.
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
	// CanWait marks requests that are deferred or shed first under overload.
	CanWait bool `toml:"can_wait" json:"can_wait"`

	// Worth is the value of a response in time, in points.
	Worth float64 `toml:"worth" json:"worth"`
	// FullUntil is the age up to which a response has its full worth. From there
	// it decreases linearly to 0 at Deadline.
	FullUntil Duration `toml:"full_until" json:"full_until"`
	// Deadline is the age at which a response is worth nothing. It is also the
	// default and the maximum deadline of a request.
	Deadline Duration `toml:"deadline" json:"deadline"`
	// FirstByte is the timeout from dispatch to the first byte of a response.
	FirstByte Duration `toml:"first_byte" json:"first_byte"`
	// BetweenBytes is the idle timeout within a response.
	BetweenBytes Duration `toml:"between_bytes" json:"between_bytes"`
	// Objective is the service-level objective: the share of requests to be
	// served once and in time, for the burn report; for example 0.999.
	Objective float64 `toml:"objective" json:"objective"`
}

// Group returns the name of the model or service that serves k.
func (k *Kind) Group() string {
	if k.Model != "" {
		return k.Model
	}
	return k.Service
}

// WorthAt returns the worth of a response that is complete at age.
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

// Limits holds limits that apply to all endpoints and requests.
type Limits struct {
	// MeanMultiple bounds the load of an endpoint as a multiple of the mean load of
	// its group.
	MeanMultiple float64 `toml:"mean_multiple" json:"mean_multiple"`
	// LoadLag is the maximum age of an endpoint's load report.
	LoadLag Duration `toml:"load_lag" json:"load_lag"`
	// LedgerWindow is the age up to which retries with a key are recognised.
	LedgerWindow Duration `toml:"ledger_window" json:"ledger_window"`
	// LedgerShards is the number of shards of the ledger, each with its own stream.
	LedgerShards int `toml:"ledger_shards" json:"ledger_shards"`
	// CrashLimit is the number of crashed endpoints at which a request is blocked.
	CrashLimit int `toml:"crash_limit" json:"crash_limit"`
	// RetryShare is the retry budget: retries and hedges per served request.
	RetryShare float64 `toml:"retry_share" json:"retry_share"`
	// AddressTTL is how long callers may cache addresses of entry hosts.
	AddressTTL Duration `toml:"address_ttl" json:"address_ttl"`
	// WeightLoadsPerMinute is the rate of loads that the weight store can serve.
	WeightLoadsPerMinute int `toml:"weight_loads_per_minute" json:"weight_loads_per_minute"`
}

// Duration is a time.Duration that is encoded as text, for example "1.5s".
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
