package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"strings"
	"time"
)

// Problem is an error in a Config, with its path and a remedy.
type Problem struct {
	Path   string `json:"place"` // for example "endpoints.3.zone"
	Text   string `json:"text"`
	Remedy string `json:"remedy"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s; %s", p.Path, p.Text, p.Remedy)
}

// Limits of the values in a Config. The questionnaire (package answers) is
// stricter with names.
const (
	maxLedgerShards = 16
	maxCapacity     = 1 << 16
	maxDeadline     = 7 * 24 * time.Hour
	maxLedgerWindow = 24 * time.Hour
	maxNameBytes    = 128
	keyHashBytes    = 32
)

// Validate returns all problems of c, in the order of its fields. The result
// depends on c only, so all routers decide alike on a pushed configuration.
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

func (v *validator) add(path, text, remedy string) {
	v.problems = append(v.problems, Problem{Path: path, Text: text, Remedy: remedy})
}

func (v *validator) require(ok bool, path, text, remedy string) {
	if !ok {
		v.add(path, text, remedy)
	}
}

// name checks a name that must be valid and not in seen, and adds it to seen.
func (v *validator) name(path, name string, seen map[string]bool) {
	switch {
	case name == "":
		v.add(path, "the name is missing", "give it a name")
	case len(name) > maxNameBytes || strings.TrimSpace(name) != name || strings.ContainsAny(name, "\r\n\x00/"):
		v.add(path, fmt.Sprintf("the name %q is not usable", name), "use at most 128 characters without slashes, line breaks or outer spaces")
	case seen[name]:
		v.add(path, fmt.Sprintf("the name %q is used twice", name), "rename one of the two")
	}
	seen[name] = true
}

func (v *validator) zones() {
	v.zoneNames = make(map[string]bool)
	v.require(len(v.config.Zones) > 0, "zones", "there is no availability zone", "name at least one")
	for i, z := range v.config.Zones {
		path := fmt.Sprintf("zones.%d", i)
		v.name(path+".name", z.Name, v.zoneNames)
		v.require(z.Region != "", path+".region", "the region is missing", "name the region of the zone")
	}
}

func (v *validator) models() {
	v.groups = make(map[string]bool)
	v.modelNames = make(map[string]bool)
	for i, m := range v.config.Models {
		path := fmt.Sprintf("models.%d", i)
		v.name(path+".name", m.Name, v.groups)
		v.modelNames[m.Name] = true
		v.require(m.Version != "", path+".version", "the version is missing", "name the weights that endpoints should load")
		v.require(m.PrefillPerSecond > 0, path+".prefill_per_second", "the rate is not above 0", "give the prompt tokens that an endpoint computes in a second")
		v.require(m.MovePerSecond >= 0, path+".move_per_second", "the rate is below 0", "use 0 if the cache cannot be moved")
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
		path := fmt.Sprintf("endpoints.%d", i)
		v.name(path+".name", e.Name, names)
		v.endpoint(path, e)
		address := e.Address.String()
		if other, used := addresses[address]; used && e.Address.IsValid() {
			v.add(path+".address", fmt.Sprintf("%s is also the address of %q", address, other), "give each endpoint its own address")
		}
		addresses[address] = e.Name
	}
}

func (v *validator) endpoint(path string, e *Endpoint) {
	v.require(e.Address.IsValid() && e.Address.Port() != 0, path+".address", "the address is missing or has no port", "give an IP number and a port")
	v.require(v.zoneNames[e.Zone], path+".zone", fmt.Sprintf("there is no zone %q", e.Zone), "use the name of a zone of this configuration")
	v.group(path, e.Model, e.Service)
	v.served[e.Group()] = true
	v.require(e.Capacity > 0 && e.Capacity <= maxCapacity, path+".bears", "the number is not from 1 to 65536", "give the requests in progress that the warm endpoint bears")
	v.require(e.ColdCapacity > 0 && e.ColdCapacity <= e.Capacity, path+".cold_bears", "the number is not from 1 to bears", "give the requests in progress that it bears right after a start")
	v.require(e.WarmAfter >= 0, path+".warm_after", "the number is below 0", "give the completed requests after which it is warm")
	v.require(e.CacheTokens >= 0, path+".cache_tokens", "the number is below 0", "give the size of its prefix cache")
}

// group checks that exactly one of model and service is named and exists.
func (v *validator) group(path, model, service string) {
	switch {
	case model != "" && service != "":
		v.add(path, "both a model and a service are named", "name one of the two")
	case model == "" && service == "":
		v.add(path, "neither a model nor a service is named", "name one of the two")
	case model != "":
		v.require(v.modelNames[model], path+".model", fmt.Sprintf("there is no model %q", model), "use the name of a model of this configuration")
	default:
		v.require(v.groups[service] && !v.modelNames[service], path+".service", fmt.Sprintf("there is no service %q", service), "use the name of a service of this configuration")
	}
}

func (v *validator) kinds() {
	names := make(map[string]bool)
	for i := range v.config.Kinds {
		k := &v.config.Kinds[i]
		path := fmt.Sprintf("kinds.%d", i)
		v.name(path+".name", k.Name, names)
		v.group(path, k.Model, k.Service)
		v.require(v.served[k.Group()], path, "no endpoint serves this kind", "add an endpoint of its model or service")
		v.require(positive(k.Worth), path+".worth", "the worth is not above 0", "give the worth of an answer in points")
		v.require(k.FullUntil >= 0 && k.FullUntil <= k.Deadline, path+".full_until", "the age is not from 0 to the deadline", "lower it or raise the deadline")
		v.require(k.Deadline > 0 && k.Deadline.Std() <= maxDeadline, path+".deadline", "the deadline is not within 7 days", "give the age at which an answer is worth nothing")
		v.require(k.FirstByte > 0, path+".first_byte", "the bound is not above 0", "give the longest wait for the first byte")
		v.require(k.BetweenBytes > 0, path+".between_bytes", "the bound is not above 0", "give the longest silence within an answer")
		v.require(k.Objective > 0 && k.Objective < 1, path+".objective", "the share is not between 0 and 1", "for example 0.999")
		v.require(k.NonIdempotent || !k.KeyRequired, path+".key_required", "only non-idempotent kinds need a key", "set non_idempotent or drop key_required")
	}
}

func (v *validator) workspaces() {
	names := make(map[string]bool)
	for i, w := range v.config.Workspaces {
		path := fmt.Sprintf("workspaces.%d", i)
		v.name(path+".name", w.Name, names)
		sum, err := hex.DecodeString(w.KeyHash)
		v.require(w.KeyHash == "" || err == nil && len(sum) == keyHashBytes, path+".key_hash", "this is no SHA-256 in hexadecimal", "give the 64 digits that sha256sum prints for the key")
		v.require(positive(w.Share), path+".share", "the share is not above 0", "give the weight of the workspace in the queue")
	}
}

func (v *validator) limits() {
	l := &v.config.Limits
	v.require(l.MeanMultiple >= 1 && l.MeanMultiple <= maxCapacity, "limits.mean_multiple", "the multiple is below 1", "use for example 1.25")
	v.require(l.LoadLag >= 0, "limits.load_lag", "the lag is below 0", "give the longest lag of a load report")
	v.require(l.LedgerWindow > 0 && l.LedgerWindow.Std() <= maxLedgerWindow, "limits.ledger_window", "the window is not within 24 hours", "give the age up to which repeats of a key are recognised")
	v.require(l.LedgerShards > 0 && l.LedgerShards <= maxLedgerShards, "limits.ledger_shards", "the number is not from 1 to 16", "use for example 8")
	v.require(l.CrashLimit > 0, "limits.crash_limit", "the number is not above 0", "give the endpoints that one request may crash")
	v.require(l.RetryShare >= 0 && l.RetryShare <= 1, "limits.retry_share", "the share is not from 0 to 1", "use for example 0.1")
	v.require(l.AddressTTL > 0, "limits.address_ttl", "the time is not above 0", "give the time that callers may keep an address answer")
	v.require(l.WeightLoadsPerMinute > 0, "limits.weight_loads_per_minute", "the rate is not above 0", "give the loads that the weight store serves in a minute")
}

// positive reports whether x is a finite number above 0.
func positive(x float64) bool {
	return x > 0 && !math.IsInf(x, 0)
}
