package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"strings"
	"time"
)

// Problem is a fault of a Config with the place where it is and the remedy.
type Problem struct {
	Path   string `json:"place"` // for example "endpoints.3.zone"
	Text   string `json:"text"`
	Remedy string `json:"remedy"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s; %s", p.Path, p.Text, p.Remedy)
}

// Bounds of numbers in a Config.
const (
	maxLedgerShards = 16
	maxBears        = 1 << 16
	maxDeadline     = 7 * 24 * time.Hour
	maxLedgerWindow = 24 * time.Hour
	maxNameBytes    = 128
	keyHashBytes    = 32
)

// Validate returns every problem of c, in the order of its fields. It is pure,
// so that all routers judge a pushed configuration alike.
func Validate(c Config) []Problem {
	v := &validator{config: &c}
	v.zones()
	v.models()
	v.services()
	v.endpoints()
	v.kinds()
	v.workspaces()
	v.limits()
	return v.problems
}

// validator collects the problems of one Config.
type validator struct {
	config     *Config
	problems   []Problem
	zoneNames  map[string]bool
	groups     map[string]bool // models and services
	modelNames map[string]bool
	served     map[string]bool // groups that have an endpoint
}

func (v *validator) add(place, text, remedy string) {
	v.problems = append(v.problems, Problem{Path: place, Text: text, Remedy: remedy})
}

func (v *validator) need(ok bool, place, text, remedy string) {
	if !ok {
		v.add(place, text, remedy)
	}
}

// name checks a name that must be unique within seen and remembers it.
func (v *validator) name(place, name string, seen map[string]bool) {
	switch {
	case name == "":
		v.add(place, "the name is missing", "give it a name")
	case len(name) > maxNameBytes || strings.TrimSpace(name) != name || strings.ContainsAny(name, "\r\n\x00/"):
		v.add(place, fmt.Sprintf("the name %q is not usable", name), "use at most 128 characters without slashes, line breaks or outer spaces")
	case seen[name]:
		v.add(place, fmt.Sprintf("the name %q is used twice", name), "rename one of the two")
	}
	seen[name] = true
}

func (v *validator) zones() {
	v.zoneNames = make(map[string]bool)
	v.need(len(v.config.Zones) > 0, "zones", "there is no availability zone", "name at least one")
	for i, z := range v.config.Zones {
		place := fmt.Sprintf("zones.%d", i)
		v.name(place+".name", z.Name, v.zoneNames)
		v.need(z.Region != "", place+".region", "the region is missing", "name the region of the zone")
	}
}

func (v *validator) models() {
	v.groups = make(map[string]bool)
	v.modelNames = make(map[string]bool)
	for i, m := range v.config.Models {
		place := fmt.Sprintf("models.%d", i)
		v.name(place+".name", m.Name, v.groups)
		v.modelNames[m.Name] = true
		v.need(m.Version != "", place+".version", "the version is missing", "name the weights that endpoints should load")
		v.need(m.PrefillPerSecond > 0, place+".prefill_per_second", "the rate is not above 0", "give the prompt tokens that an endpoint computes in a second")
		v.need(m.MovePerSecond >= 0, place+".move_per_second", "the rate is below 0", "use 0 if the cache cannot be moved")
	}
}

func (v *validator) services() {
	for i, s := range v.config.Services {
		v.name(fmt.Sprintf("services.%d.name", i), s.Name, v.groups)
	}
}

func (v *validator) endpoints() {
	v.served = make(map[string]bool)
	names := make(map[string]bool)
	addresses := make(map[string]string)
	for i := range v.config.Endpoints {
		e := &v.config.Endpoints[i]
		place := fmt.Sprintf("endpoints.%d", i)
		v.name(place+".name", e.Name, names)
		v.endpoint(place, e)
		address := e.Address.String()
		if other, used := addresses[address]; used && e.Address.IsValid() {
			v.add(place+".address", fmt.Sprintf("%s is also the address of %q", address, other), "give each endpoint its own address")
		}
		addresses[address] = e.Name
	}
}

func (v *validator) endpoint(place string, e *Endpoint) {
	v.need(e.Address.IsValid() && e.Address.Port() != 0, place+".address", "the address is missing or has no port", "give an IP number and a port")
	v.need(v.zoneNames[e.Zone], place+".zone", fmt.Sprintf("there is no zone %q", e.Zone), "use the name of a zone of this configuration")
	v.group(place, e.Model, e.Service)
	v.served[e.Group()] = true
	v.need(e.Capacity > 0 && e.Capacity <= maxBears, place+".bears", "the number is not from 1 to 65536", "give the requests in progress that the warm endpoint bears")
	v.need(e.ColdCapacity > 0 && e.ColdCapacity <= e.Capacity, place+".cold_bears", "the number is not from 1 to bears", "give the requests in progress that it bears right after a start")
	v.need(e.WarmAfter >= 0, place+".warm_after", "the number is below 0", "give the completed requests after which it is warm")
	v.need(e.CacheTokens >= 0, place+".cache_tokens", "the number is below 0", "give the size of its prefix cache")
}

// group checks that exactly one of model and service is named and exists.
func (v *validator) group(place, model, service string) {
	switch {
	case model != "" && service != "":
		v.add(place, "both a model and a service are named", "name one of the two")
	case model == "" && service == "":
		v.add(place, "neither a model nor a service is named", "name one of the two")
	case model != "":
		v.need(v.modelNames[model], place+".model", fmt.Sprintf("there is no model %q", model), "use the name of a model of this configuration")
	default:
		v.need(v.groups[service] && !v.modelNames[service], place+".service", fmt.Sprintf("there is no service %q", service), "use the name of a service of this configuration")
	}
}

func (v *validator) kinds() {
	names := make(map[string]bool)
	for i := range v.config.Kinds {
		k := &v.config.Kinds[i]
		place := fmt.Sprintf("kinds.%d", i)
		v.name(place+".name", k.Name, names)
		v.group(place, k.Model, k.Service)
		v.need(v.served[k.Group()], place, "no endpoint serves this kind", "add an endpoint of its model or service")
		v.need(positive(k.Worth), place+".worth", "the worth is not above 0", "give the worth of an answer in points")
		v.need(k.FullUntil >= 0 && k.FullUntil <= k.Deadline, place+".full_until", "the age is not from 0 to the deadline", "lower it or raise the deadline")
		v.need(k.Deadline > 0 && k.Deadline.Std() <= maxDeadline, place+".deadline", "the deadline is not within 7 days", "give the age at which an answer is worth nothing")
		v.need(k.FirstByte > 0, place+".first_byte", "the bound is not above 0", "give the longest wait for the first byte")
		v.need(k.BetweenBytes > 0, place+".between_bytes", "the bound is not above 0", "give the longest silence within an answer")
		v.need(k.Objective > 0 && k.Objective < 1, place+".objective", "the share is not between 0 and 1", "for example 0.999")
		v.need(k.NonIdempotent || !k.KeyRequired, place+".key_required", "only non-idempotent kinds need a key", "set non_idempotent or drop key_required")
	}
}

func (v *validator) workspaces() {
	names := make(map[string]bool)
	for i, w := range v.config.Workspaces {
		place := fmt.Sprintf("workspaces.%d", i)
		v.name(place+".name", w.Name, names)
		sum, err := hex.DecodeString(w.KeyHash)
		v.need(w.KeyHash == "" || err == nil && len(sum) == keyHashBytes, place+".key_hash", "this is no SHA-256 in hexadecimal", "give the 64 digits that sha256sum prints for the key")
		v.need(positive(w.Share), place+".share", "the share is not above 0", "give the weight of the workspace in the queue")
	}
}

func (v *validator) limits() {
	l := &v.config.Limits
	v.need(l.MeanMultiple >= 1 && l.MeanMultiple <= maxBears, "limits.mean_multiple", "the multiple is below 1", "use for example 1.25")
	v.need(l.LoadLag >= 0, "limits.load_lag", "the lag is below 0", "give the longest lag of a load report")
	v.need(l.LedgerWindow > 0 && l.LedgerWindow.Std() <= maxLedgerWindow, "limits.ledger_window", "the window is not within 24 hours", "give the age up to which repeats of a key are recognised")
	v.need(l.LedgerShards > 0 && l.LedgerShards <= maxLedgerShards, "limits.ledger_shards", "the number is not from 1 to 16", "use for example 8")
	v.need(l.CrashLimit > 0, "limits.crash_limit", "the number is not above 0", "give the endpoints that one request may crash")
	v.need(l.RetryShare >= 0 && l.RetryShare <= 1, "limits.retry_share", "the share is not from 0 to 1", "use for example 0.1")
	v.need(l.AddressTTL > 0, "limits.address_ttl", "the time is not above 0", "give the time that callers may keep an address answer")
	v.need(l.WeightLoadsPerMinute > 0, "limits.weight_loads_per_minute", "the rate is not above 0", "give the loads that the weight store serves in a minute")
}

// positive reports whether x is a number above 0.
func positive(x float64) bool {
	return x > 0 && !math.IsInf(x, 0)
}
