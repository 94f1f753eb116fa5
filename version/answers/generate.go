package answers

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/stoatmount/stoatmount/version/config"
)

// Parameters of the derivation.
const (
	// meanMultiple bounds an endpoint's load against the mean of its group.
	meanMultiple = 1.25
	// coldShare is the ratio of cold to warm capacity if the answers do not say.
	coldShare = 0.25
	// warmBatches is the number of full batches after which an endpoint is warm.
	warmBatches = 2
	// firstAnswerFactor is the timeout for the first byte as a multiple of the
	// usual time to it.
	firstAnswerFactor = 5
	// minFirstByte and minBetweenBytes allow for a pause of the network.
	minFirstByte    = time.Second
	minBetweenBytes = time.Second
	// gapFactor is the idle timeout within a response as a multiple of usual_gap.
	gapFactor = 25
	// largeWorkspaceShare is the share of a large workspace in the queue; that of a
	// small one is 1.
	largeWorkspaceShare = 4
	// crashLimit is the number of endpoints that one request may crash.
	crashLimit = 2
	// commitsPerShard is the number of group commits of a ledger shard per second,
	// and recordsPerCommit the number of records that each should contain.
	commitsPerShard  = 12
	recordsPerCommit = 8
	minShards        = 4
	maxShards        = 16 // as in config.Validate
	// maxLedgerWindow bounds how long retries are recognised, as in config.Validate.
	maxLedgerWindow = 24 * time.Hour
)

// Reason is the reason for a derived value of the configuration.
type Reason struct {
	Key   string `json:"key"` // for example "kinds.booth-booking.first_byte"
	Value string `json:"value"`
	Why   string `json:"why"`
}

// Generate derives the complete configuration from answers without problems. Each
// value that is not an answer itself has a Reason.
func Generate(a Answers) (config.Config, []Reason) {
	g := &generator{answers: &a}
	g.zonesAndApplications()
	g.endpoints()
	g.kinds()
	g.workspaces()
	g.limits()
	return g.config, g.reasons
}

type generator struct {
	answers *Answers
	config  config.Config
	reasons []Reason
}

// addReason records the reason for a derived value.
func (g *generator) addReason(key string, value any, why string, args ...any) {
	text := fmt.Sprint(value)
	if d, ok := value.(config.Duration); ok {
		text = d.Std().String()
	}
	g.reasons = append(g.reasons, Reason{Key: key, Value: text, Why: fmt.Sprintf(why, args...)})
}

func (g *generator) zonesAndApplications() {
	for _, zone := range g.answers.Zones {
		g.config.Zones = append(g.config.Zones, config.Zone(zone))
	}
	for _, app := range g.answers.Applications {
		if app.Type == TypeService {
			g.config.Services = append(g.config.Services, config.Service{Name: app.Name})
			continue
		}
		g.config.Models = append(g.config.Models, config.Model{
			Name:             app.Name,
			Version:          app.Version,
			Adapter:          app.Adapter,
			PrefillPerSecond: app.PromptTokensPerSecond,
			MovePerSecond:    app.MovedTokensPerSecond,
		})
	}
}

func (g *generator) endpoints() {
	for i := range g.answers.Workers {
		w := &g.answers.Workers[i]
		e := config.Endpoint{
			Name:        w.Name,
			Address:     w.Address,
			Zone:        w.Zone,
			Role:        w.Role,
			Capacity:    w.AtOnce,
			CacheTokens: w.CacheTokens,
			ChecksFence: w.RefusesOldOrders,
		}
		if g.answers.application(w.Application).Type == TypeModel {
			e.Model = w.Application
		} else {
			e.Service = w.Application
		}
		g.cold(&e, w.ColdAtOnce)
		g.config.Endpoints = append(g.config.Endpoints, e)
	}
}

// cold derives the cold capacity of the endpoint and the end of its cold start.
func (g *generator) cold(e *config.Endpoint, answered int) {
	key := "endpoints." + e.Name
	e.ColdCapacity = answered
	if answered == 0 {
		e.ColdCapacity = max(1, int(float64(e.Capacity)*coldShare))
		g.addReason(key+".cold_bears", e.ColdCapacity, "a quarter of at_once, at least 1, as cold_at_once is not answered")
	}
	e.WarmAfter = warmBatches * e.Capacity
	g.addReason(key+".warm_after", e.WarmAfter, "%d times at_once: after as many full batches its caches are filled", warmBatches)
}

func (g *generator) kinds() {
	for i := range g.answers.Kinds {
		answered := &g.answers.Kinds[i]
		k := config.Kind{
			Name:          answered.Name,
			NonIdempotent: answered.HarmIfTwice,
			CanWait:       answered.CanWait,
			Worth:         answered.Worth,
			FullUntil:     answered.FullUntil,
			Deadline:      answered.WorthlessAfter,
			Objective:     answered.Promise,
		}
		app := g.answers.application(answered.Application)
		if app.Type == TypeModel {
			k.Model = app.Name
		} else {
			k.Service = app.Name
		}
		g.worth(&k)
		g.keys(&k, answered.Keys)
		g.firstByte(&k, answered)
		g.betweenBytes(&k, answered, app)
		g.config.Kinds = append(g.config.Kinds, k)
	}
}

func (g *generator) worth(k *config.Kind) {
	key := "kinds." + k.Name
	value := fmt.Sprintf("%v up to %v, then falling to 0 at %v", k.Worth, k.FullUntil.Std(), k.Deadline.Std())
	g.addReason(key+".worth", value, "full_until and worthless_after; between them an answer loses its worth evenly")
	g.addReason(key+".deadline", k.Deadline, "worthless_after: a later answer is of no use, so the request is given up")
}

func (g *generator) keys(k *config.Kind, keys Keys) {
	key := "kinds." + k.Name
	if !k.NonIdempotent {
		return
	}
	k.KeyRequired = keys != KeysSometimes
	k.AnyKey = keys == KeysAnyForm
	if k.KeyRequired {
		g.addReason(key+".key_required", true, "a second run would do harm and callers send a key: without one a repeat could not be told from a new request")
	} else {
		g.addReason(key+".key_required", false, "callers do not always send a key; without one, at most once holds for each send, not for repeats by the caller")
	}
	if k.AnyKey {
		g.addReason(key+".any_key", true, "keys are of the callers' own form and do not tell their age: at most once holds for limits.ledger_window")
	}
}

// firstByte derives the timeout for the first byte of a response. It leaves time
// for a retry, unless the kind cannot be retried.
func (g *generator) firstByte(k *config.Kind, answered *Kind) {
	wait := max(firstAnswerFactor*answered.UsualFirstAnswer.Std(), minFirstByte)
	why := fmt.Sprintf("%d times usual_first_answer, at least %v", firstAnswerFactor, minFirstByte)
	if batchTime := g.fullBatchTime(answered); batchTime > 0 {
		wait += batchTime
		why += fmt.Sprintf(", and %v in which a worker reads a full batch of prompts of longest_prompt_tokens", batchTime)
	}
	limit, reason := k.Deadline.Std()/2, "half of worthless_after, so that a second endpoint can still be in time"
	if k.NonIdempotent {
		limit, reason = k.Deadline.Std(), "worthless_after, as a second run is not allowed"
	}
	if wait > limit {
		wait, why = limit, reason
	}
	k.FirstByte = config.Duration(wait)
	g.addReason("kinds."+k.Name+".first_byte", k.FirstByte, "%s", why)
}

// fullBatchTime returns the time in which the worker with the largest capacity
// processes a full batch of prompts of maximum length, none of which is cached.
func (g *generator) fullBatchTime(answered *Kind) time.Duration {
	app := g.answers.application(answered.Application)
	if app.Type != TypeModel {
		return 0
	}
	atOnce := 0
	for i := range g.answers.Workers {
		if w := &g.answers.Workers[i]; w.Application == app.Name {
			atOnce = max(atOnce, w.AtOnce)
		}
	}
	seconds := float64(atOnce) * float64(answered.LongestPromptTokens) / float64(app.PromptTokensPerSecond)
	// This keeps the Duration from overflowing; the deadline is shorter anyway.
	seconds = min(seconds, maxWorthless.Seconds())
	return time.Duration(seconds * float64(time.Second)).Round(time.Millisecond)
}

func (g *generator) betweenBytes(k *config.Kind, answered *Kind, app *Application) {
	wait, from := gapFactor*app.UsualGap.Std(), "usual_gap of the application"
	if app.UsualGap == 0 {
		wait, from = gapFactor*answered.UsualFirstAnswer.Std(), "usual_first_answer, as the application has no usual_gap"
	}
	why := fmt.Sprintf("%d times %s, at least %v", gapFactor, from, minBetweenBytes)
	wait = max(wait, minBetweenBytes)
	if wait > k.FirstByte.Std() && k.FirstByte.Std() >= minBetweenBytes {
		wait, why = k.FirstByte.Std(), "first_byte: an answer that has begun may not be silent for longer"
	}
	if wait > k.Deadline.Std() {
		wait, why = k.Deadline.Std(), "worthless_after, which is shorter than the least silence"
	}
	k.BetweenBytes = config.Duration(wait)
	g.addReason("kinds."+k.Name+".between_bytes", k.BetweenBytes, "%s", why)
}

func (g *generator) workspaces() {
	for _, answered := range g.answers.Workspaces {
		w := config.Workspace{Name: answered.Name, KeyHash: strings.ToLower(answered.KeySHA256), Share: 1}
		why := "size is small"
		if answered.Size == SizeLarge {
			w.Share = largeWorkspaceShare
			why = fmt.Sprintf("size is large: under shortage it gets %d times the turns of a small workspace, not all of them", largeWorkspaceShare)
		}
		g.addReason("workspaces."+w.Name+".share", w.Share, "%s", why)
		g.config.Workspaces = append(g.config.Workspaces, w)
	}
}

func (g *generator) limits() {
	p, l := g.answers.Platform, &g.config.Limits
	l.LoadLag = p.LoadReportLag
	l.WeightLoadsPerMinute = p.WeightLoadsPerMinute
	l.MeanMultiple = meanMultiple
	g.addReason("limits.mean_multiple", l.MeanMultiple, "no worker gets more than a quarter above the mean of its application, which leaves room for a chat to return to its worker")
	l.CrashLimit = crashLimit
	g.addReason("limits.crash_limit", l.CrashLimit, "the first crash may have another cause, the second convicts")
	g.ledger()
	g.byAim()
}

func (g *generator) ledger() {
	p, l := g.answers.Platform, &g.config.Limits
	longest := time.Duration(0)
	for _, k := range g.config.Kinds {
		if k.NonIdempotent {
			longest = max(longest, k.Deadline.Std())
		}
	}
	window := min(p.RepeatsWithin.Std()+longest, maxLedgerWindow)
	l.LedgerWindow = config.Duration(window)
	g.addReason("limits.ledger_window", l.LedgerWindow, "repeats_within and the longest worthless_after of the kinds that do harm if run twice, at most %v", maxLedgerWindow)
	perShard := commitsPerShard * recordsPerCommit
	// A request that runs needs two records: its claim and its outcome.
	records := 2 * p.HarmfulPerSecond
	l.LedgerShards = min(max(minShards, int(math.Ceil(float64(records)/float64(perShard)))), maxShards)
	g.addReason("limits.ledger_shards", l.LedgerShards, "%d records a second (a claim and a result for each of harmful_per_second), %d group commits a second and shard with up to %d records; at least %d, as the first configuration fixes the number and a failed appender then holds up only its shard, at most %d",
		records, commitsPerShard, recordsPerCommit, minShards, maxShards)
}

// byAim derives the values that depend on the aim of the organisation. AimBoth
// gets those for AimCacheReuse.
func (g *generator) byAim() {
	l := &g.config.Limits
	l.RetryShare, l.AddressTTL = 0.1, config.Duration(5*time.Second)
	why := fmt.Sprintf("weighs_most is %q", g.answers.WeighsMost)
	retryWhy, ttlWhy := "one retry for ten requests served, so that retries do not add to an overload", "callers ask seldom and find their chat's entry host again"
	if g.answers.WeighsMost == AimZoneChanges {
		l.RetryShare, l.AddressTTL = 0.2, config.Duration(2*time.Second)
		retryWhy, ttlWhy = "requests that a zone change hits may be sent again", "callers leave the entry hosts of a zone within seconds"
	}
	g.addReason("limits.retry_share", l.RetryShare, "%s: %s", why, retryWhy)
	g.addReason("limits.address_ttl", l.AddressTTL, "%s: %s", why, ttlWhy)
}
