package matrix

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/stoatmount/stoatmount/connection/operator/client"
	"github.com/stoatmount/stoatmount/lab/fleet"
	"github.com/stoatmount/stoatmount/lab/testbed"
	"github.com/stoatmount/stoatmount/process/settings"
	"github.com/stoatmount/stoatmount/standin/engine"
	"github.com/stoatmount/stoatmount/standin/service"
	"github.com/stoatmount/stoatmount/version/config"
)

// Names in the fleet of the matrix.
const (
	workspace      = "team"
	otherWorkspace = "others"
	chatKind       = "adaptation"
	bookingKind    = "booking"
	modelName      = "scripts"
	serviceName    = "studio"
	routers        = 3
)

// Times and timeouts of the fleet of the matrix.
const (
	tokenInterval        = 8 * time.Millisecond
	serviceTime          = 150 * time.Millisecond
	startTimeout         = 60 * time.Second
	recoveryTimeout      = 30 * time.Second
	recoveryPollInterval = 50 * time.Millisecond
)

// configuration returns the configuration of a small fleet with short timeouts.
func configuration() config.Config {
	c := config.Config{
		Zones:      []config.Zone{{Name: "zone-a", Region: "here"}, {Name: "zone-b", Region: "here"}},
		Models:     []config.Model{{Name: modelName, Version: "1", PrefillPerSecond: 20000, MovePerSecond: 100000}},
		Services:   []config.Service{{Name: serviceName}},
		Workspaces: []config.Workspace{{Name: workspace, Share: 1}, {Name: otherWorkspace, Share: 1}},
		Kinds: []config.Kind{
			kind(chatKind, modelName, "", false),
			kind(bookingKind, "", serviceName, true),
		},
		Limits: config.Limits{
			MeanMultiple: 4, LoadLag: config.Duration(100 * time.Millisecond), LedgerWindow: config.Duration(10 * time.Minute),
			LedgerShards: 2, CrashLimit: 3, RetryShare: 0.5, AddressTTL: config.Duration(200 * time.Millisecond),
			WeightLoadsPerMinute: 60,
		},
	}
	for _, zone := range []string{"zone-a", "zone-b"} {
		c.Endpoints = append(c.Endpoints,
			endpoint("engine-1-"+zone, zone, modelName, ""), endpoint("engine-2-"+zone, zone, modelName, ""),
			endpoint("service-"+zone, zone, "", serviceName))
	}
	return c
}

func kind(name, model, service string, nonIdempotent bool) config.Kind {
	return config.Kind{
		Name: name, Model: model, Service: service, NonIdempotent: nonIdempotent, KeyRequired: nonIdempotent, Worth: 10,
		FullUntil: config.Duration(2 * time.Second), Deadline: config.Duration(5 * time.Second),
		FirstByte: config.Duration(time.Second), BetweenBytes: config.Duration(500 * time.Millisecond), Objective: 0.99,
	}
}

func endpoint(name, zone, model, service string) config.Endpoint {
	return config.Endpoint{
		Name: name, Zone: zone, Model: model, Service: service, Role: "serve", Capacity: 8, ColdCapacity: 4, WarmAfter: 4,
		CacheTokens: 20000, ChecksFence: true, Address: netip.MustParseAddrPort("127.0.0.1:1"), // replaced by that of the stand-in
	}
}

// bench is a fleet on which cells run one after another.
type bench struct {
	fleet      *fleet.Fleet
	probe      *probe
	operator   *client.Client
	entryIndex int // spreads the requests over the entries
	// operatorChanges are the changes in progress that faults have submitted.
	operatorChanges conc.WaitGroup
}

func newBench(ctx context.Context, seed uint64, prefix string) (*bench, error) {
	f, err := fleet.Start(fleet.Options{
		Config: configuration(), Routers: routers, Log: logr.Discard(), Seed: seed,
		AdjustSettings: func(s *settings.Settings) { s.Limits.Drain = config.Duration(300 * time.Millisecond) },
		Site: testbed.Options{
			Seed:    seed,
			Engine:  engine.Options{TokenTime: tokenInterval},
			Service: service.Options{Work: serviceTime, RestartAfter: 200 * time.Millisecond},
		},
	})
	if err != nil {
		return nil, err
	}
	b := &bench{fleet: f, probe: newProbe(prefix)}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.Push(ctx); err != nil {
		f.Close()
		return nil, err
	}
	b.operator, err = f.Operator("matrix")
	return b, err
}

// entry returns the caller address of router i.
func (b *bench) entry(i int) string {
	return b.fleet.Routers[i%routers].Settings.Listen.Caller.String()
}

// recoverService ends all faults and waits until a chat and a booking are served again.
func (b *bench) recoverService(ctx context.Context) error {
	b.clearFaults()
	b.operatorChanges.Wait() // a change in progress would take a zone out of service again
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	if err := b.bringBackZones(ctx); err != nil {
		return err
	}
	if err := b.fleet.WaitReady(ctx); err != nil {
		return err
	}
	for i := 0; ; i++ {
		got, _ := b.probe.chat(ctx, b.entry(i), "", nil, nil)
		booking, err := b.probe.newBooking()
		if err != nil {
			return err
		}
		booked := b.probe.sendBooking(ctx, b.entry(i), booking)
		if got.Correct && booked.Correct && i >= routers-1 {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Errorf("service did not recover: chat: %s, booking: %s", got.Text, booked.Text)
		}
		if !got.Correct || !booked.Correct {
			time.Sleep(recoveryPollInterval)
		}
	}
}
