package node

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"

	"github.com/stoatmount/stoatmount/connection/caller"
	"github.com/stoatmount/stoatmount/connection/endpoint"
	"github.com/stoatmount/stoatmount/connection/operator"
	"github.com/stoatmount/stoatmount/connection/peer"
	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/process/admission"
	"github.com/stoatmount/stoatmount/process/breaker"
	"github.com/stoatmount/stoatmount/process/burn"
	"github.com/stoatmount/stoatmount/process/configlog"
	"github.com/stoatmount/stoatmount/process/directory"
	"github.com/stoatmount/stoatmount/process/invariant"
	"github.com/stoatmount/stoatmount/process/ledger"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/process/pool"
	"github.com/stoatmount/stoatmount/process/settings"
	"github.com/stoatmount/stoatmount/process/suspect"
	"github.com/stoatmount/stoatmount/request/candidates"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/placetoken"
	"github.com/stoatmount/stoatmount/request/retry"
	"github.com/stoatmount/stoatmount/request/serve"
)

// Options are what a process is made from besides its settings.
type Options struct {
	Settings settings.Settings
	Clock    clockwork.Clock
	Log      logr.Logger
	Seed     uint64

	// Listeners may be given ready made; nil ones are opened on the addresses
	// of the settings.
	Caller   net.Listener
	Peer     net.Listener
	Operator net.Listener
}

// Node is one router process.
type Node struct {
	settings settings.Settings
	self     member.Member
	started  time.Time
	clock    clockwork.Clock
	log      logr.Logger
	check    *invariant.Checker

	rngMu sync.Mutex // leaf; guards rng
	rng   *rand.Rand

	members   *member.Table
	roster    *roster
	owner     *admission.Owner
	means     *admission.GroupMeans
	holder    *admission.Holder
	calls     *calls
	follower  *configlog.Follower
	ledger    *ledger.Set
	hints     *candidates.Hints
	chooser   atomic.Pointer[candidates.Selector]
	directory *directory.Directory
	signer    *placetoken.Signer // nil without a place key
	budget    *retry.Budget
	breakers  *breaker.Breakers
	suspects  *suspect.Table
	running   *suspect.Running
	durations *durations
	loads     *loadTable
	duties    *duties
	recorder  *burn.Recorder
	keeper    *burn.ReplicaStore
	exchange  *burn.Replicator

	pool     *pool.Pool
	traffic  *peer.Traffic
	links    *peer.Links
	endpoint *endpoint.Client
	logs     *platformclient.LogClient
	hosts    *platformclient.HostListClient
	server   *serve.Server
	callers  *caller.Server
	peers    *grpc.Server
	operator *operator.Server
	gather   *operator.Collector
	listen   listeners

	nextID      atomic.Uint64
	inProgress  atomic.Int64
	appliedAt   atomic.Int64 // Unix time in nanoseconds of the last new configuration
	listRead    atomic.Bool  // the platform's list was read at least once
	drain       drainState
	figures     figures
	strays      strays
	reconcilers reconcilers

	// lastCheck is permit.check; tests replace it to see the invariants fail.
	lastCheck func(*permit, time.Time) *outcome.Refusal

	cancel context.CancelFunc
	wg     conc.WaitGroup
}

// listeners are the sockets of a process.
type listeners struct {
	caller   net.Listener
	peer     net.Listener
	operator net.Listener
}

// New provisions a process. It opens the listeners but starts nothing.
func New(o Options) (*Node, error) {
	n := &Node{
		settings: o.Settings,
		clock:    o.Clock,
		started:  o.Clock.Now(),
		log:      o.Log.WithValues("host", o.Settings.Host.Name),
		rng:      rand.New(rand.NewPCG(o.Seed, 1)),

		lastCheck: (*permit).check,
	}
	if err := n.open(o); err != nil {
		return nil, err
	}
	if err := n.provision(o); err != nil {
		n.listen.close()
		return nil, err
	}
	return n, nil
}

func (n *Node) open(o Options) error {
	var err error
	if n.listen.caller, err = listenOn(o.Caller, o.Settings.Listen.Caller.String()); err != nil {
		return err
	}
	if n.listen.peer, err = listenOn(o.Peer, o.Settings.Listen.Peer.String()); err != nil {
		n.listen.close()
		return err
	}
	if n.listen.operator, err = listenOn(o.Operator, o.Settings.Listen.Operator.String()); err != nil {
		n.listen.close()
		return err
	}
	return nil
}

func listenOn(ready net.Listener, address string) (net.Listener, error) {
	if ready != nil {
		return ready, nil
	}
	listener, err := net.Listen("tcp", address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.peer, l.operator} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// NextID implements caller.Fleet.
func (n *Node) NextID() string {
	return strconv.FormatUint(n.self.Incarnation, 36) + "-" + strconv.FormatUint(n.nextID.Add(1), 36)
}

// Self returns the process as a member.
func (n *Node) Self() member.Member {
	return n.self
}

// Checker returns the invariants of the process.
func (n *Node) Checker() *invariant.Checker {
	return n.check
}

// Traffic returns the bytes exchanged with other routers.
func (n *Node) Traffic() *peer.Traffic {
	return n.traffic
}

// random returns a new seeded source for one table.
func (n *Node) random() *rand.Rand {
	n.rngMu.Lock()
	defer n.rngMu.Unlock()
	return rand.New(rand.NewPCG(n.rng.Uint64(), n.rng.Uint64()))
}
