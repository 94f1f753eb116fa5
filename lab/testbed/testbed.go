package testbed

import (
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/standin/engine"
	"github.com/stoatmount/stoatmount/standin/fault"
	"github.com/stoatmount/stoatmount/standin/hostlist"
	"github.com/stoatmount/stoatmount/standin/logstore"
	"github.com/stoatmount/stoatmount/standin/service"
	"github.com/stoatmount/stoatmount/standin/weights"
	"github.com/stoatmount/stoatmount/version/config"
)

// Options describe a testbed. The capacity and cache size of an endpoint come from
// the configuration.
type Options struct {
	Clock clockwork.Clock // nil: real time
	Seed  uint64          // like Clock it replaces that of the options below

	Log     logstore.Options
	Hosts   hostlist.Options
	Weights weights.Options

	// Engine holds the options common to all engines, Service those of all services.
	Engine  engine.Options
	Service service.Options

	// FixedAddresses starts the endpoints at the addresses of the configuration
	// and the platform's services at the addresses below, instead of free ports.
	FixedAddresses                  bool
	LogAddr, HostsAddr, WeightsAddr netip.AddrPort
}

// listenAddr returns the address to listen on; empty: a free loopback port.
func (o *Options) listenAddr(address netip.AddrPort) string {
	if !o.FixedAddresses {
		return ""
	}
	return address.String()
}

// Testbed is a running set of stand-ins.
type Testbed struct {
	Log     *logstore.Server
	Hosts   *hostlist.Server
	Weights *weights.Server
	// Config is the configuration with the actual addresses of the endpoints.
	Config    config.Config
	Endpoints []*Endpoint // in the order of the configuration
	closers   []func()
}

// Endpoint is the stand-in of one endpoint, either an engine or a service.
type Endpoint struct {
	config.Endpoint
	Engine  *engine.Engine
	Service *service.Service

	samples   int
	sampleSum int // sum of the requests in progress over all samples
}

// Start starts the stand-ins of cfg, on free loopback ports unless FixedAddresses is set.
func Start(cfg config.Config, options Options) (*Testbed, error) {
	tb := &Testbed{Config: cfg}
	err := tb.start(options)
	if err != nil {
		tb.Close()
		return nil, err
	}
	return tb, nil
}

func (tb *Testbed) start(options Options) error {
	if err := tb.startPlatform(options); err != nil {
		return err
	}
	configured := tb.Config.Endpoints
	tb.Config.Endpoints = make([]config.Endpoint, len(configured))
	for i, c := range configured {
		endpoint, err := tb.startEndpoint(c, options, options.Seed+uint64(i))
		if err != nil {
			return errors.Wrapf(err, "endpoint %s", c.Name)
		}
		tb.Endpoints = append(tb.Endpoints, endpoint)
		tb.Config.Endpoints[i] = endpoint.Endpoint
	}
	return nil
}

func (tb *Testbed) startPlatform(options Options) error {
	var err error
	options.Log.Clock, options.Log.Seed = options.Clock, options.Seed
	if tb.Log, err = logstore.Start(options.listenAddr(options.LogAddr), options.Log); err != nil {
		return err
	}
	tb.closers = append(tb.closers, tb.Log.Close)
	options.Hosts.Clock, options.Hosts.Seed = options.Clock, options.Seed
	if tb.Hosts, err = hostlist.Start(options.listenAddr(options.HostsAddr), options.Hosts); err != nil {
		return err
	}
	tb.closers = append(tb.closers, tb.Hosts.Close)
	options.Weights.Clock, options.Weights.Seed = options.Clock, options.Seed
	if tb.Weights, err = weights.Start(options.listenAddr(options.WeightsAddr), options.Weights); err != nil {
		return err
	}
	tb.closers = append(tb.closers, tb.Weights.Close)
	return nil
}

func (tb *Testbed) startEndpoint(c config.Endpoint, options Options, seed uint64) (*Endpoint, error) {
	endpoint := &Endpoint{Endpoint: c}
	if c.Service != "" {
		o := options.Service
		o.Clock, o.Seed, o.Capacity = options.Clock, seed, c.Capacity
		started, err := service.Start(options.listenAddr(c.Address), o)
		if err != nil {
			return nil, err
		}
		tb.closers = append(tb.closers, started.Close)
		endpoint.Service, endpoint.Address = started, started.Addr()
		return endpoint, nil
	}
	started, err := engine.Start(options.listenAddr(c.Address), tb.engineOptions(&c, options, seed))
	if err != nil {
		return nil, err
	}
	tb.closers = append(tb.closers, started.Close)
	endpoint.Engine, endpoint.Address = started, started.Addr()
	return endpoint, nil
}

// engineOptions adds an endpoint's configuration to the options common to all engines.
func (tb *Testbed) engineOptions(c *config.Endpoint, options Options, seed uint64) engine.Options {
	o := options.Engine
	o.Clock, o.Seed = options.Clock, seed
	o.Capacity, o.ColdCapacity, o.WarmAfter = c.Capacity, c.ColdCapacity, c.WarmAfter
	o.CacheTokens, o.ChecksFence, o.Role = c.CacheTokens, c.ChecksFence, c.Role
	o.Model = c.Model
	for _, model := range tb.Config.Models {
		if model.Name == c.Model {
			o.Version, o.Adapter = model.Version, model.Adapter
			o.PrefillPerSecond, o.MovePerSecond = model.PrefillPerSecond, model.MovePerSecond
		}
	}
	if o.Weights == nil {
		o.Weights = weights.Client{URL: tb.Weights.URL()}
	}
	return o
}

// Close stops all stand-ins.
func (tb *Testbed) Close() {
	for i := len(tb.closers) - 1; i >= 0; i-- {
		tb.closers[i]()
	}
}

// Endpoint returns the stand-in of this name, or nil.
func (tb *Testbed) Endpoint(name string) *Endpoint {
	for _, e := range tb.Endpoints {
		if e.Name == name {
			return e
		}
	}
	return nil
}

// InZone returns the stand-ins of a zone's endpoints.
func (tb *Testbed) InZone(zone string) []*Endpoint {
	var found []*Endpoint
	for _, e := range tb.Endpoints {
		if e.Zone == zone {
			found = append(found, e)
		}
	}
	return found
}

// Faults returns the faults of the endpoint.
func (e *Endpoint) Faults() *fault.Set {
	if e.Service != nil {
		return e.Service.Faults()
	}
	return e.Engine.Faults()
}

// Crash crashes the endpoint.
func (e *Endpoint) Crash() {
	if e.Service != nil {
		e.Service.Crash()
		return
	}
	e.Engine.Crash("ordered")
}

// InProgress returns the number of requests in progress at the endpoint.
func (e *Endpoint) InProgress() int {
	if e.Service != nil {
		return e.Service.InProgress()
	}
	return e.Engine.InProgress()
}

// LastArrival returns when the endpoint last accepted a request; zero if never.
func (e *Endpoint) LastArrival() time.Time {
	if e.Service != nil {
		return e.Service.LastExecution()
	}
	return e.Engine.LastArrival()
}
