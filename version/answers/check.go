package answers

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/stoatmount/stoatmount/version/config"
	"github.com/stoatmount/stoatmount/version/stricttoml"
)

// Limits of answers.
const (
	// keyHashBytes is the length of a SHA-256 hash.
	keyHashBytes = 32
	// maxAtOnce bounds at_once of a worker, as config.Validate does.
	maxAtOnce = 1 << 16
	// minWorthless and maxWorthless bound worthless_after; the maximum is that of
	// config.Validate.
	minWorthless = 10 * time.Millisecond
	maxWorthless = 7 * 24 * time.Hour
	// maxGap bounds usual_gap.
	maxGap = time.Minute
	// maxPromptTokens bounds the length of a prompt.
	maxPromptTokens = 10_000_000
	// maxHarmful bounds harmful_per_second; the platform's log cannot take more.
	maxHarmful = 1000
)

// namePattern is the format of names, which are used in URLs, logs and metrics.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

type checker struct {
	answers  *Answers
	source   *stricttoml.Source
	problems stricttoml.Problems
}

func check(a *Answers, source *stricttoml.Source) stricttoml.Problems {
	c := &checker{answers: a, source: source}
	c.general()
	c.zones()
	c.hosts()
	c.entry()
	c.applications()
	c.workers()
	c.kinds()
	c.workspaces()
	c.platform()
	return c.problems
}

// require adds a problem at key unless ok holds.
func (c *checker) require(ok bool, key, remedy, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, c.source.Problem(key, remedy, format, args...))
	}
}

// oneOf requires value to be one of the choices.
func (c *checker) oneOf(key, value string, choices ...string) {
	remedy := `write "` + strings.Join(choices, `" or "`) + `"`
	if value == "" {
		c.require(false, key, remedy, "is missing")
		return
	}
	c.require(slices.Contains(choices, value), key, remedy, "%q is not one of the choices", value)
}

// name checks that a name is valid and not in seen, and adds it to seen.
func (c *checker) name(key, name, what string, seen map[string]string) {
	if name == "" {
		c.require(false, key, "name the "+what, "is missing")
		return
	}
	c.require(namePattern.MatchString(name), key, "use lower-case letters, digits, dots and hyphens, at most 63 characters", "%q cannot be a name", name)
	first, twice := seen[name]
	c.require(!twice, key, "give each "+what+" its own name", "%q is the name of %s already", name, first)
	seen[name] = key
}

// reference requires name to be one of known.
func (c *checker) reference(key, name, what string, known []string) {
	remedy := fmt.Sprintf("name one of the %ss: %s", what, strings.Join(known, ", "))
	if len(known) == 0 {
		remedy = fmt.Sprintf("describe the %s first", what)
	}
	if name == "" {
		c.require(false, key, remedy, "is missing")
		return
	}
	c.require(slices.Contains(known, name), key, remedy, "there is no %s %q", what, name)
}

// zone adds a problem unless a zone is called name.
func (c *checker) zone(key, name string) {
	c.reference(key, name, "zone", names(c.answers.Zones, func(z Zone) string { return z.Name }))
}

func (c *checker) positive(key string, d config.Duration, example string) {
	c.require(d > 0, key, fmt.Sprintf("write a time above 0, for example %q", example), "is missing or not above 0")
}

func (c *checker) general() {
	c.require(c.answers.Organisation != "", "organisation", "write who uses the fleet", "is missing")
	c.oneOf("weighs_most", string(c.answers.WeighsMost), string(AimCacheReuse), string(AimZoneChanges), string(AimBoth))
}

func (c *checker) zones() {
	c.require(len(c.answers.Zones) > 0, "zones", "describe each availability zone in a [[zones]] table", "there is none")
	seen := make(map[string]string)
	for i, zone := range c.answers.Zones {
		key := fmt.Sprintf("zones[%d]", i)
		c.name(key+".name", zone.Name, "zone", seen)
		c.require(zone.Region != "", key+".region", "name the region that the zone is in", "is missing")
	}
}

func (c *checker) applications() {
	c.require(len(c.answers.Applications) > 0, "applications", "describe each model and service in an [[applications]] table", "there is none")
	seen := make(map[string]string)
	for i, app := range c.answers.Applications {
		key := fmt.Sprintf("applications[%d]", i)
		c.name(key+".name", app.Name, "application", seen)
		c.oneOf(key+".sort", string(app.Type), string(TypeModel), string(TypeService))
		c.application(key, app)
		served := slices.ContainsFunc(c.answers.Workers, func(w Worker) bool { return w.Application == app.Name })
		c.require(served || app.Name == "", key+".name", "add its [[workers]] or remove it", "no worker serves %q", app.Name)
		asked := slices.ContainsFunc(c.answers.Kinds, func(k Kind) bool { return k.Application == app.Name })
		c.require(asked || app.Name == "", key+".name", "add its [[kinds]] or remove it", "no kind of request uses %q", app.Name)
	}
}

func (c *checker) application(key string, app Application) {
	c.require(app.UsualGap >= 0 && app.UsualGap.Std() <= maxGap, key+".usual_gap", "write a time of at most 1m", "%v is not a valid time between two parts of a response", app.UsualGap.Std())
	switch app.Type {
	case TypeModel:
		c.require(app.Version != "", key+".version", "name the weights that its workers are to load", "is missing")
		c.require(app.PromptTokensPerSecond > 0, key+".prompt_tokens_per_second", "write how many prompt tokens one worker processes in a second", "is missing or not above 0")
		c.require(app.MovedTokensPerSecond >= 0, key+".moved_tokens_per_second", "write 0 if caches cannot be moved", "is negative")
		c.positive(key+".usual_gap", app.UsualGap, "42ms")
	case TypeService:
		c.require(app.Version == "" && app.Adapter == "", key+".version", "leave version and adapter out", "a service has no weights")
		c.require(app.PromptTokensPerSecond == 0 && app.MovedTokensPerSecond == 0, key+".prompt_tokens_per_second", "leave out prompt_tokens_per_second and moved_tokens_per_second", "a service processes no tokens")
	default:
	}
}

func (c *checker) workers() {
	c.require(len(c.answers.Workers) > 0, "workers", "describe each worker in a [[workers]] table", "there is none")
	seen := make(map[string]string)
	addresses := make(map[netip.AddrPort]string)
	for i := range c.answers.Workers {
		key := fmt.Sprintf("workers[%d]", i)
		w := &c.answers.Workers[i]
		c.name(key+".name", w.Name, "worker", seen)
		c.reference(key+".application", w.Application, "application", names(c.answers.Applications, func(a Application) string { return a.Name }))
		c.zone(key+".zone", w.Zone)
		c.address(key+".address", w.Address, addresses)
		c.worker(key, w)
	}
}

func (c *checker) address(key string, address netip.AddrPort, seen map[netip.AddrPort]string) {
	remedy := `write its IP number and port, for example "10.0.0.7:8080"`
	if !address.IsValid() {
		c.require(false, key, remedy, "is missing")
		return
	}
	c.require(!address.Addr().IsUnspecified() && address.Port() != 0, key, remedy, "%v is not an address to connect to", address)
	first, twice := seen[address]
	c.require(!twice, key, "give each its own address", "%v is the address of %s already", address, first)
	seen[address] = key
}

func (c *checker) worker(key string, w *Worker) {
	c.require(w.AtOnce > 0, key+".at_once", "write how many requests it can serve at once when warm", "is missing or not above 0")
	c.require(w.AtOnce <= maxAtOnce, key+".at_once", "write at most 65536", "%d is more than one worker can serve at once", w.AtOnce)
	c.require(w.ColdAtOnce >= 0, key+".cold_at_once", "leave it out if it is not known", "is negative")
	c.require(w.ColdAtOnce <= max(w.AtOnce, 0), key+".cold_at_once", "write at most at_once", "%d is more than at_once = %d, its capacity when warm", w.ColdAtOnce, w.AtOnce)
	if app := c.answers.application(w.Application); app != nil && app.Type == TypeModel {
		c.require(w.CacheTokens > 0, key+".cache_tokens", "write how many tokens its prefix cache holds", "is missing or not above 0, but %q is a model", app.Name)
	}
}

func (c *checker) kinds() {
	c.require(len(c.answers.Kinds) > 0, "kinds", "describe each kind of request in a [[kinds]] table", "there is none")
	seen := make(map[string]string)
	for i := range c.answers.Kinds {
		key := fmt.Sprintf("kinds[%d]", i)
		k := &c.answers.Kinds[i]
		c.name(key+".name", k.Name, "kind", seen)
		c.reference(key+".application", k.Application, "application", names(c.answers.Applications, func(a Application) string { return a.Name }))
		c.kindKeys(key, k)
		c.kindTimes(key, k)
		c.kindPrompt(key, k)
		c.require(k.Worth > 0, key+".worth", "write how much a response in time is worth relative to the other kinds, for example 10", "is missing or not above 0")
		c.require(k.Promise > 0 && k.Promise < 1, key+".promise", "write a share between 0 and 1, for example 0.999", "%v is not a share that can be promised", k.Promise)
	}
}

func (c *checker) kindKeys(key string, k *Kind) {
	if k.HarmIfTwice {
		c.oneOf(key+".keys", string(k.Keys), string(KeysAlways), string(KeysAnyForm), string(KeysSometimes))
		c.require(c.answers.Platform.HarmfulPerSecond > 0, "platform.harmful_per_second",
			"write how many such requests come in a second at the peak", "is missing, but running %q twice would do harm", k.Name)
		return
	}
	c.require(k.Keys == "", key+".keys", "leave keys out or set harm_if_twice = true", "keys are kept only for kinds that do harm if run twice")
}

func (c *checker) kindPrompt(key string, k *Kind) {
	app := c.answers.application(k.Application)
	if app == nil {
		return
	}
	if app.Type == TypeModel {
		c.require(k.LongestPromptTokens > 0 && k.LongestPromptTokens <= maxPromptTokens, key+".longest_prompt_tokens", "write the tokens of the longest prompt", "is missing or out of range, but %q is a model", app.Name)
		return
	}
	c.require(k.LongestPromptTokens == 0, key+".longest_prompt_tokens", "leave it out", "a service processes no tokens")
}

func (c *checker) kindTimes(key string, k *Kind) {
	c.positive(key+".full_until", k.FullUntil, "2s")
	c.positive(key+".worthless_after", k.WorthlessAfter, "10s")
	c.positive(key+".usual_first_answer", k.UsualFirstAnswer, "400ms")
	if k.FullUntil > 0 && k.WorthlessAfter > 0 {
		c.require(k.FullUntil < k.WorthlessAfter, key+".full_until", "make it shorter than worthless_after",
			"%v is not shorter than worthless_after = %v", k.FullUntil.Std(), k.WorthlessAfter.Std())
	}
	if k.WorthlessAfter > 0 {
		c.require(k.WorthlessAfter.Std() >= minWorthless && k.WorthlessAfter.Std() <= maxWorthless, key+".worthless_after",
			"write a time from 10ms to 168h", "%v is out of range", k.WorthlessAfter.Std())
	}
	if k.UsualFirstAnswer > 0 && k.WorthlessAfter > 0 {
		c.require(k.UsualFirstAnswer < k.WorthlessAfter, key+".worthless_after", "allow more time than a worker usually takes until the first byte",
			"%v is no longer than usual_first_answer = %v", k.WorthlessAfter.Std(), k.UsualFirstAnswer.Std())
	}
}

func (c *checker) workspaces() {
	c.require(len(c.answers.Workspaces) > 0, "workspaces", "describe each workspace in a [[workspaces]] table", "there is none")
	seen := make(map[string]string)
	hashes := make(map[string]string)
	for i, workspace := range c.answers.Workspaces {
		key := fmt.Sprintf("workspaces[%d]", i)
		c.name(key+".name", workspace.Name, "workspace", seen)
		c.oneOf(key+".size", string(workspace.Size), string(SizeSmall), string(SizeLarge))
		c.keyHash(key+".key_sha256", strings.ToLower(workspace.KeySHA256), hashes)
	}
}

func (c *checker) keyHash(key, hash string, seen map[string]string) {
	decoded, err := hex.DecodeString(hash)
	if err != nil || len(decoded) != keyHashBytes {
		c.require(false, key, "write the 64 hexadecimal digits that sha256sum prints for the workspace's key", "is missing or not a SHA-256 in hexadecimal")
		return
	}
	first, twice := seen[hash]
	c.require(!twice, key, "give each workspace its own key", "is the same key as %s", first)
	seen[hash] = key
}

func (c *checker) platform() {
	p := c.answers.Platform
	seen := make(map[netip.AddrPort]string)
	c.address("platform.log", p.Log, seen)
	c.address("platform.hosts", p.Hosts, seen)
	c.address("platform.weights", p.Weights, seen)
	c.positive("platform.load_report_lag", p.LoadReportLag, "500ms")
	c.positive("platform.repeats_within", p.RepeatsWithin, "10m")
	c.require(p.RepeatsWithin.Std() <= maxLedgerWindow, "platform.repeats_within", "write at most 24h: after that, a retry cannot be told from a new request", "%v is too long", p.RepeatsWithin.Std())
	c.require(p.HarmfulPerSecond <= maxHarmful, "platform.harmful_per_second", "write at most 1000; the platform's log cannot take more", "%d is too many", p.HarmfulPerSecond)
	c.require(p.HarmfulPerSecond >= 0, "platform.harmful_per_second", "write 0 if there are none", "is negative")
	c.require(p.WeightLoadsPerMinute > 0, "platform.weight_loads_per_minute", "write how many loads a minute the weight store serves", "is missing or not above 0")
}

// application returns the application called name, or nil.
func (a *Answers) application(name string) *Application {
	for i := range a.Applications {
		if a.Applications[i].Name == name {
			return &a.Applications[i]
		}
	}
	return nil
}

func names[T any](list []T, name func(T) string) []string {
	var all []string
	for _, element := range list {
		if n := name(element); n != "" {
			all = append(all, n)
		}
	}
	return all
}
