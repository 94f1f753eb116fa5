package demo

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/connection/operator/client"
	"github.com/stoatmount/stoatmount/examples"
	"github.com/stoatmount/stoatmount/lab/fleet"
	"github.com/stoatmount/stoatmount/lab/load"
	"github.com/stoatmount/stoatmount/lab/testbed"
	"github.com/stoatmount/stoatmount/standin/engine"
	"github.com/stoatmount/stoatmount/version/answers"
	"github.com/stoatmount/stoatmount/version/config"
)

const (
	routers = 7
	// startTimeout bounds the start of the fleet.
	startTimeout = 30 * time.Second
	// outAt and inAt are the fractions of the run after which the zone is taken
	// out of service and brought back.
	outAt = 0.4
	inAt  = 0.7
	// sampleInterval is the interval between samples of the load of endpoints.
	sampleInterval = 50 * time.Millisecond
	// newWorkGrace is how long after the accepted change the zone's endpoints may
	// still receive new requests.
	newWorkGrace = 5 * time.Second
	// tokenTime is the duration of a step of an engine stand-in.
	tokenTime = 3 * time.Millisecond
)

// Options describe a demonstration.
type Options struct {
	Seconds float64
	Seed    uint64
	Log     logr.Logger
	// Progress, if set, is called about once a second.
	Progress func(Progress)
}

// Progress is the state of a running demonstration.
type Progress struct {
	Elapsed    time.Duration
	Stage      string
	Counts     load.Counts
	Kinds      []load.KindCounts
	InProgress int // requests in progress at endpoints
	Violations int64
	Refusals   int
}

// Run runs the demonstration and returns its result.
func Run(ctx context.Context, o Options) (Result, error) {
	cfg, err := configuration()
	if err != nil {
		return Result{}, err
	}
	f, err := fleet.Start(fleet.Options{
		Config: cfg, Routers: routers, Log: o.Log, Seed: o.Seed,
		Site: testbed.Options{Seed: o.Seed, Engine: engine.Options{TokenTime: tokenTime, ColdSlowdown: 2}},
	})
	if err != nil {
		return Result{}, err
	}
	defer f.Close()
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.Push(starting); err != nil {
		return Result{}, err
	}
	d := &demonstration{options: o, fleet: f, started: time.Now()}
	return d.run(ctx)
}

// configuration returns the configuration of the example Voces Unidas.
func configuration() (config.Config, error) {
	form, err := examples.Answers(examples.VocesUnidas)
	if err != nil {
		return config.Config{}, err
	}
	filled, err := answers.Parse(examples.VocesUnidas+"/answers.toml", form)
	if err != nil {
		return config.Config{}, err
	}
	cfg, _ := answers.Generate(filled)
	return cfg, nil
}

// demonstration is a run in progress.
type demonstration struct {
	options   Options
	fleet     *fleet.Fleet
	generator *load.Generator
	started   time.Time
	stage     string
	zone      ZoneOut
	findings  []string
}

func (d *demonstration) run(ctx context.Context) (Result, error) {
	generator, err := load.New(load.Options{
		Seed: d.options.Seed, Entries: d.fleet.CallerAddresses(),
		Workspaces: workspaces(d.fleet.Site.Config.Workspaces), Kinds: kinds(),
	})
	if err != nil {
		return Result{}, err
	}
	operator, err := d.fleet.Operator("demo")
	if err != nil {
		return Result{}, err
	}
	d.generator = generator
	duration := time.Duration(d.options.Seconds * float64(time.Second))
	running, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	bytesBefore := d.controlBytes()
	d.stage = "all zones in service"
	var wg conc.WaitGroup
	wg.Go(func() { d.watch(running) })
	wg.Go(func() { d.takeZoneOut(running, operator, duration) })
	counts := generator.Run(running)
	wg.Wait()
	return d.result(&counts, bytesBefore), nil
}

// takeZoneOut takes a zone out of service during the run and brings it back.
func (d *demonstration) takeZoneOut(ctx context.Context, operator *client.Client, duration time.Duration) {
	zone := d.fleet.Site.Config.Zones[0].Name
	if !pause(ctx, scale(duration, outAt)) {
		return
	}
	target := config.Target{Scope: config.ScopeZone, Name: zone}
	asked := time.Now()
	if _, err := operator.Mark(ctx, api.Mark{Target: target, Out: true, Reason: "demonstration"}); err != nil {
		d.findings = append(d.findings, "taking the zone out failed: "+err.Error())
		return
	}
	accepted := time.Now()
	d.stage = "zone " + zone + " is out"
	d.zone = ZoneOut{Zone: zone, AcceptedMs: accepted.Sub(asked).Milliseconds()}
	pause(ctx, scale(duration, inAt-outAt)-accepted.Sub(asked))
	d.checkZone(zone, accepted)
	d.zone.OutSeconds = time.Since(accepted).Seconds()
	if _, err := operator.Mark(context.WithoutCancel(ctx), api.Mark{Target: target, Out: false, Reason: "demonstration"}); err != nil {
		d.findings = append(d.findings, "bringing the zone back failed: "+err.Error())
		return
	}
	d.stage = "zone " + zone + " is back"
}

// checkZone checks when the zone's endpoints received their last new request.
func (d *demonstration) checkZone(zone string, accepted time.Time) {
	for _, e := range d.fleet.Site.InZone(zone) {
		late := e.LastArrival().Sub(accepted)
		d.zone.LastArrivalMs = max(d.zone.LastArrivalMs, late.Milliseconds())
		if late > newWorkGrace {
			d.findings = append(d.findings, "endpoint "+e.Name+" received a request "+late.String()+" after its zone was taken out of service")
		}
	}
}

// watch samples the load and reports progress until ctx ends.
func (d *demonstration) watch(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	shown := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.fleet.Site.SampleLoad()
		if d.options.Progress != nil && time.Since(shown) >= time.Second {
			shown = time.Now()
			d.options.Progress(d.progress())
		}
	}
}

func (d *demonstration) progress() Progress {
	result := d.generator.Result()
	p := Progress{
		Elapsed: time.Since(d.started), Stage: d.stage, Counts: result.Total(), Kinds: result.Kinds,
		Violations: d.fleet.Violations(),
	}
	for _, e := range d.fleet.Site.Endpoints {
		p.InProgress += e.InProgress()
	}
	return p
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func scale(d time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(d))
}

func (d *demonstration) controlBytes() int64 {
	total := int64(0)
	for _, r := range d.fleet.Routers {
		total += r.Node.Traffic().Sent() + r.Node.Traffic().Received()
	}
	return total
}

// messageRates returns the bytes sent per router by kind of message since the start
// of the fleet, divided by elapsed seconds.
func (d *demonstration) messageRates(elapsed float64) map[string]float64 {
	rates := make(map[string]float64)
	for _, r := range d.fleet.Routers {
		for kind, bytes := range r.Node.Traffic().SentByType() {
			rates[kind] += float64(bytes) / elapsed / routers
		}
	}
	return rates
}

// result compares the responses of the callers with the counts of the stand-ins.
func (d *demonstration) result(counts *load.Result, bytesBefore int64) Result {
	elapsed := time.Since(d.started).Seconds()
	audit := load.NewAudit(counts, func(r *load.RequestRecord) int { return d.fleet.Site.Executions(r.ID, r.Key) })
	stats := d.fleet.Site.Stats()
	total := counts.Total()
	r := Result{
		Seconds: elapsed, Sent: total.Sent, CompletedOnceInTime: audit.OnceInTime,
		RefusedNotRun: total.NotRun, OutcomeUnknown: total.Unknown,
		RanMoreThanOnce: stats.RepeatedKeys, FalseNotRun: audit.FalseNotRun, WrongAnswers: audit.Wrong,
		ColdOverrun: stats.WorstColdOverrun, InvariantViolations: d.fleet.Violations(),
		LoadSkew:                    d.fleet.Site.LoadSkew(),
		ControlBytesPerRouterSecond: float64(d.controlBytes()-bytesBefore) / elapsed / routers,
		ControlBytesByMessage:       d.messageRates(elapsed),
		LogAppendsPerSecond:         float64(stats.Appends) / elapsed,
		ZoneOut:                     d.zone, Findings: d.findings,
		Kinds: make(map[string]load.Counts),
	}
	if total.PromptTokens > 0 {
		r.CacheReuse = float64(total.CachedTokens) / float64(total.PromptTokens)
	}
	for _, kind := range counts.Kinds {
		r.Kinds[kind.Kind] = kind.Counts
	}
	for _, finding := range audit.Findings {
		r.Findings = append(r.Findings, finding.String())
	}
	return r
}
