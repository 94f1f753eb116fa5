package fleet

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/connection/operator/client"
	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/lab/testbed"
	"github.com/stoatmount/stoatmount/process/node"
	"github.com/stoatmount/stoatmount/process/settings"
	"github.com/stoatmount/stoatmount/version/config"
)

// Options describe a fleet.
type Options struct {
	Config  config.Config
	Site    testbed.Options
	Routers int // entry hosts, spread over the zones
	Log     logr.Logger
	Seed    uint64 // of the routers, to which the start time is added
	// AdjustSettings may change the settings of a router before it starts.
	AdjustSettings func(*settings.Settings)
}

// Fleet is a running fleet.
type Fleet struct {
	Site         *testbed.Testbed
	Routers      []*Router
	options      Options
	placeKeyFile string // file with the place token key
}

// Router is one entry host of a fleet.
type Router struct {
	Name     string
	Zone     string
	Node     *node.Node
	Settings settings.Settings
}

// placeKey signs the place tokens of fleets on loopback.
const placeKey = "place key for fleets on loopback only"

// Start starts the stand-ins and the routers.
func Start(options Options) (*Fleet, error) {
	started, err := testbed.Start(options.Config, options.Site)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Site: started, options: options}
	if err := f.writePlaceKey(); err != nil {
		f.Close()
		return nil, err
	}
	for i := range options.Routers {
		if err := f.addRouter(i); err != nil {
			f.Close()
			return nil, err
		}
	}
	f.registerRouters()
	for _, r := range f.Routers {
		r.Node.Start()
	}
	return f, nil
}

func (f *Fleet) writePlaceKey() error {
	folder, err := os.MkdirTemp("", "stoatmount")
	if err != nil {
		return errors.WithStack(err)
	}
	f.placeKeyFile = filepath.Join(folder, "place.key")
	return errors.WithStack(os.WriteFile(f.placeKeyFile, []byte(placeKey), 0o600))
}

// addRouter creates router i without starting it.
func (f *Fleet) addRouter(i int) error {
	zone := f.options.Config.Zones[i%len(f.options.Config.Zones)]
	s := settings.Default()
	s.Host = settings.Host{Name: fmt.Sprintf("entry-%d", i+1), Zone: zone.Name, Region: zone.Region}
	s.Platform = settings.Platform{Log: f.Site.Log.Addr(), Hosts: f.Site.Hosts.Addr(), Weights: f.Site.Weights.Addr()}
	s.Access.OpenOnLoopback = true
	s.Access.PlaceKeyFile = f.placeKeyFile
	if f.options.AdjustSettings != nil {
		f.options.AdjustSettings(&s)
	}
	r := &Router{Name: s.Host.Name, Zone: zone.Name, Settings: s}
	if err := r.provision(f.options, uint64(i)); err != nil {
		return err
	}
	f.Routers = append(f.Routers, r)
	return nil
}

// provision opens the router's listeners and creates its node. Addresses that are
// not set become free ports on loopback.
func (r *Router) provision(options Options, number uint64) error {
	caller, err := listen(r.Settings.Listen.Caller)
	if err != nil {
		return err
	}
	peer, err := listen(r.Settings.Listen.Peer)
	if err != nil {
		return err
	}
	operator, err := listen(r.Settings.Listen.Operator)
	if err != nil {
		return err
	}
	r.Settings.Listen = settings.Listen{
		Caller: addressOf(caller.Addr().String()), Peer: addressOf(peer.Addr().String()), Operator: addressOf(operator.Addr().String()),
	}
	r.Node, err = node.New(node.Options{
		Settings: r.Settings, Clock: clockwork.NewRealClock(), Log: options.Log,
		Seed:   options.Seed + number + uint64(time.Now().UnixNano()),
		Caller: caller, Peer: peer, Operator: operator,
	})
	return err
}

func listen(address netip.AddrPort) (net.Listener, error) {
	text := "127.0.0.1:0"
	if address.IsValid() {
		text = address.String()
	}
	listener, err := net.Listen("tcp", text)
	return listener, errors.WithStack(err)
}

func addressOf(text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return address
}

// registerRouters adds all routers to the platform's host list.
func (f *Fleet) registerRouters() {
	for _, r := range f.Routers {
		f.Site.Hosts.Put(r.ListedHost())
	}
}

// ListedHost returns the router's entry in the platform's host list.
func (r *Router) ListedHost() platformclient.ListedHost {
	return platformclient.ListedHost{
		Name: r.Name, Peer: r.Settings.Listen.Peer, Caller: r.Settings.Listen.Caller,
		Zone: r.Settings.Host.Zone, Region: r.Settings.Host.Region,
	}
}

// CallerAddresses returns the addresses that callers connect to.
func (f *Fleet) CallerAddresses() []string {
	addresses := make([]string, 0, len(f.Routers))
	for _, r := range f.Routers {
		addresses = append(addresses, r.Settings.Listen.Caller.String())
	}
	return addresses
}

// Operator returns a client for the operator interface of all routers.
func (f *Fleet) Operator(by string) (*client.Client, error) {
	addresses := make([]string, 0, len(f.Routers))
	for _, r := range f.Routers {
		addresses = append(addresses, "http://"+r.Settings.Listen.Operator.String())
	}
	return client.New(client.Options{Routers: addresses, Author: by})
}

// Push pushes the fleet's configuration, with the actual addresses of the
// endpoints, and waits until every router is ready.
func (f *Fleet) Push(ctx context.Context) error {
	if err := f.wait(ctx, (*node.Node).Joined); err != nil {
		return err
	}
	operator, err := f.Operator("fleet")
	if err != nil {
		return err
	}
	if _, err := operator.Push(ctx, api.Push{Config: f.Site.Config, Reason: "first configuration"}); err != nil {
		return err
	}
	return f.WaitReady(ctx)
}

// pollInterval is the interval between readiness checks.
const pollInterval = 50 * time.Millisecond

// WaitReady waits until every router is ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	return f.wait(ctx, (*node.Node).Ready)
}

func (f *Fleet) wait(ctx context.Context, holds func(*node.Node) bool) error {
	for _, r := range f.Routers {
		for !holds(r.Node) {
			select {
			case <-ctx.Done():
				return errors.Errorf("router %s is not ready", r.Name)
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// Restart stops a router without a grace period and starts a new node in its place.
func (f *Fleet) Restart(r *Router) error {
	r.Node.Close()
	if err := r.provision(f.options, 0); err != nil {
		return err
	}
	r.Node.Start()
	return nil
}

// Replace shuts a router down gracefully and starts a new node in its place.
func (f *Fleet) Replace(ctx context.Context, r *Router) error {
	r.Node.Shutdown(ctx)
	if err := r.provision(f.options, 0); err != nil {
		return err
	}
	r.Node.Start()
	return nil
}

// Violations returns the number of violated invariants of all routers.
func (f *Fleet) Violations() int64 {
	total := int64(0)
	for _, r := range f.Routers {
		total += r.Node.Checker().Total()
	}
	return total
}

// Close stops all routers and stand-ins at once.
func (f *Fleet) Close() {
	var wg conc.WaitGroup
	for _, r := range f.Routers {
		if r.Node != nil {
			wg.Go(r.Node.Close)
		}
	}
	wg.Wait()
	f.Site.Close()
	if f.placeKeyFile != "" {
		_ = os.RemoveAll(filepath.Dir(f.placeKeyFile))
	}
}
