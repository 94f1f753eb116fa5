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

// Options are the settings of a process and the clock, log, seed and listeners to use.
type Options struct {
	Settings settings.Settings
	Clock    clockwork.Clock
	Log      logr.Logger
	Seed     uint64 // of the random source

	// Nil listeners are opened on the addresses of the settings.
	Caller   net.Listener
	Peer     net.Listener
	Operator net.Listener
}

// Node is a router process.
type Node struct {
	settings   settings.Settings
	self       member.Member
	started    time.Time
	clock      clockwork.Clock
	log        logr.Logger
	invariants *invariant.Checker

	rngMu sync.Mutex // leaf; guards rng
	rng   *rand.Rand

	members        *member.Table
	roster         *roster
	owner          *admission.Owner
	means          *admission.GroupMeans
	holder         *admission.Holder
	pendingPermits *pendingPermits
	follower       *configlog.Follower
	ledger         *ledger.Set
	hints          *candidates.Hints
	selector       atomic.Pointer[candidates.Selector]
	directory      *directory.Directory
	signer         *placetoken.Signer // nil without a place token key
	retryBudget    *retry.Budget
	breakers       *breaker.Breakers
	suspects       *suspect.Table
	informed       map[string]uint64 // incarnations of the routers that were told of suspects; used by tick only
	runs           *suspect.Running
	durations      *durations
	loadReports    *loadTable
	duties         *duties
	recorder       *burn.Recorder
	burnReplicas   *burn.ReplicaStore
	replicator     *burn.Replicator

	pool           *pool.Pool
	traffic        *peer.Traffic
	links          *peer.Links
	endpointClient *endpoint.Client
	logClient      *platformclient.LogClient
	hostListClient *platformclient.HostListClient
	server         *serve.Server
	callerServer   *caller.Server
	peerServer     *grpc.Server
	operatorServer *operator.Server
	collector      *operator.Collector
	listen         listeners

	nextID       atomic.Uint64 // for requests, runs and the turns of otherAddress
	inProgress   atomic.Int64
	appliedAt    atomic.Int64 // Unix time in nanoseconds at which the last configuration was applied
	hostListRead atomic.Bool  // the platform's host list was read at least once
	drain        drainState
	counters     counters
	offDefault   offDefaultChats
	reconcilers  reconcilers

	// finalCheck is permit.check; tests replace it to trigger the invariants.
	finalCheck func(*permit, time.Time) *outcome.Refusal

	ending      context.Context // of the requests in progress
	endRequests context.CancelCauseFunc

	cancel context.CancelFunc
	wg     conc.WaitGroup
}

// listeners are the listening sockets of a process.
type listeners struct {
	caller   net.Listener
	peer     net.Listener
	operator net.Listener
}

// New creates a process. It opens the listeners but starts nothing.
func New(o Options) (*Node, error) {
	n := &Node{
		settings: o.Settings,
		clock:    o.Clock,
		started:  o.Clock.Now(),
		log:      o.Log.WithValues("host", o.Settings.Host.Name),
		rng:      rand.New(rand.NewPCG(o.Seed, 1)),

		finalCheck: (*permit).check,
	}
	n.ending, n.endRequests = context.WithCancelCause(context.Background())
	if err := n.openListeners(o); err != nil {
		return nil, err
	}
	if err := n.provision(o); err != nil {
		n.listen.close()
		return nil, err
	}
	return n, nil
}

func (n *Node) openListeners(o Options) error {
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

func listenOn(given net.Listener, address string) (net.Listener, error) {
	if given != nil {
		return given, nil
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

// NextID implements caller.Router.
func (n *Node) NextID() string {
	return strconv.FormatUint(n.self.Incarnation, 36) + "-" + strconv.FormatUint(n.nextID.Add(1), 36)
}

// Self returns the process as a member.
func (n *Node) Self() member.Member {
	return n.self
}

// Checker returns the invariant checker of the process.
func (n *Node) Checker() *invariant.Checker {
	return n.invariants
}

// Traffic returns the counters of bytes exchanged with other routers.
func (n *Node) Traffic() *peer.Traffic {
	return n.traffic
}

// random returns a new random source, seeded from the source of the process.
func (n *Node) random() *rand.Rand {
	n.rngMu.Lock()
	defer n.rngMu.Unlock()
	return rand.New(rand.NewPCG(n.rng.Uint64(), n.rng.Uint64()))
}
