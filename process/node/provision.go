package node

import (
	"crypto/tls"
	"net/netip"
	"time"

	"google.golang.org/grpc/credentials"

	"github.com/stoatmount/stoatmount/connection/caller"
	"github.com/stoatmount/stoatmount/connection/endpoint"
	"github.com/stoatmount/stoatmount/connection/peer"
	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/process/admission"
	"github.com/stoatmount/stoatmount/process/breaker"
	"github.com/stoatmount/stoatmount/process/burn"
	"github.com/stoatmount/stoatmount/process/configlog"
	tlsfiles "github.com/stoatmount/stoatmount/process/credentials"
	"github.com/stoatmount/stoatmount/process/directory"
	"github.com/stoatmount/stoatmount/process/invariant"
	"github.com/stoatmount/stoatmount/process/ledger"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/process/pool"
	"github.com/stoatmount/stoatmount/process/suspect"
	"github.com/stoatmount/stoatmount/request/candidates"
	"github.com/stoatmount/stoatmount/request/placetoken"
	"github.com/stoatmount/stoatmount/request/retry"
	"github.com/stoatmount/stoatmount/request/serve"
)

const (
	// directoryChats is the maximum number of chats in the directory of a router.
	directoryChats = 20_000
	// placeTokenLifetime is how long a place token is trusted.
	placeTokenLifetime = 24 * time.Hour
	// defaultRetryShare, in retries per request, and defaultCrashLimit apply until
	// the first configuration.
	defaultRetryShare = 0.1
	defaultCrashLimit = 3
	// ledgerWindow is the age up to which the ledger recognizes retries. It is the
	// maximum of the configuration's ledger_window.
	ledgerWindow = 24 * time.Hour
	// maxWorkers bounds the number of workers for background tasks.
	maxWorkers = 64
)

// provision creates the tables and connections.
func (n *Node) provision(o Options) error {
	n.invariants = invariant.New(n.log)
	n.self = member.Member{
		Name:        o.Settings.Host.Name,
		Incarnation: n.random().Uint64() | 1, // 0 means unknown
		Peer:        addressOf(n.listen.peer.Addr().String()),
		Caller:      addressOf(n.listen.caller.Addr().String()),
		Zone:        o.Settings.Host.Zone,
		Region:      o.Settings.Host.Region,
	}
	n.pool = pool.New(min(max(o.Settings.Limits.Workers, 1), maxWorkers), n.log)
	if err := n.provisionTables(); err != nil {
		return err
	}
	if err := n.provisionPeers(); err != nil {
		return err
	}
	n.provisionLogs()
	return n.provisionServers()
}

func addressOf(text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return address
}

func (n *Node) provisionTables() error {
	var err error
	n.members = member.New(n.self, member.ConfigFrom(n.settings.Member), n.random())
	n.roster = newRoster(n.self)
	n.owner = admission.NewOwner(admission.DefaultConfig(), n.members, n.invariants, n.random())
	n.means = admission.NewGroupMeans(admission.DefaultConfig())
	n.holder = admission.NewHolder()
	n.pendingPermits = newPendingPermits()
	n.hints = candidates.NewHints()
	n.retryBudget = retry.NewBudget(defaultRetryShare)
	n.breakers = breaker.New(n.random())
	n.runs = suspect.NewRunning()
	n.durations = newDurations()
	n.loadReports = newLoadTable()
	n.duties = newDuties()
	n.recorder = burn.NewRecorder(n.self.Name, n.self.Incarnation, n.self.Zone, n.started)
	n.burnReplicas = burn.NewReplicaStore()
	n.replicator = burn.NewReplicator(n.recorder, n.burnReplicas)
	if n.directory, err = directory.New(directoryChats); err != nil {
		return err
	}
	n.informed = make(map[string]uint64)
	if n.suspects, err = suspect.New(suspect.DefaultCapacity, defaultCrashLimit); err != nil {
		return err
	}
	key, err := tlsfiles.PlaceKey(n.settings.Access.PlaceKeyFile)
	if err != nil || key == nil {
		return err
	}
	n.signer, err = placetoken.NewSigner(placeTokenLifetime, key)
	return err
}

func (n *Node) provisionPeers() error {
	server, client, err := tlsfiles.PeerTLS(n.settings.TLS)
	if err != nil {
		return err
	}
	n.traffic = &peer.Traffic{}
	n.links = peer.NewLinks(n.self.Name, n.traffic, transportCredentials(client))
	n.peerServer = peer.NewServer(n, n.traffic, transportCredentials(server))
	n.endpointClient = endpoint.NewClient(nil)
	return nil
}

func transportCredentials(config *tls.Config) credentials.TransportCredentials {
	if config == nil {
		return nil
	}
	return credentials.NewTLS(config)
}

// provisionLogs creates the clients of the platform and the tables read from its log.
func (n *Node) provisionLogs() {
	n.logClient = platformclient.NewLogClient(platformclient.ClientOptions{Address: n.settings.Platform.Log, TLS: n.platformTLS()})
	n.hostListClient = platformclient.NewHostListClient(platformclient.ClientOptions{Address: n.settings.Platform.Hosts, TLS: n.platformTLS()})
	n.follower = configlog.NewFollower(configlog.Options{
		Self:       configlog.Member{Name: n.self.Name, Region: n.self.Region},
		Log:        n.logClient,
		Peers:      configPeers{n},
		Clock:      n.clock,
		Rand:       n.random(),
		Checker:    n.invariants,
		Logger:     n.log.WithName("config"),
		FreshFor:   n.settings.Member.Fresh.Std(),
		OnProgress: n.publishConfigGossip,
	})
	n.ledger = ledger.NewSet(ledger.Options{
		Log: n.logClient, Clock: n.clock, Checker: n.invariants, Logger: n.log.WithName("ledger"), Window: ledgerWindow,
	})
	n.follower.Subscribe(n.applySnapshot)
}

func (n *Node) platformTLS() *tls.Config {
	if !n.settings.Platform.TLS {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12}
}

func (n *Node) provisionServers() error {
	n.server = serve.NewServer(n, claims{n}, n.endpointClient, n.clock, n.invariants, n.log.WithName("serve"))
	callerTLS, err := tlsfiles.ListenerTLS(n.settings.TLS.CallerCert, n.settings.TLS.CallerKey)
	if err != nil {
		return err
	}
	limits := n.settings.Limits
	n.callerServer = caller.NewServer(n, caller.Options{
		BodyBytes: limits.BodyBytes, HeaderBytes: limits.HeaderBytes, BodyTimeout: limits.BodyTime.Std(),
		MaxConnections: limits.Connections, SkipAuth: n.settings.Access.OpenOnLoopback, TLS: callerTLS,
	}, n.clock, n.log.WithName("caller"))
	return n.provisionOperatorAPI()
}
