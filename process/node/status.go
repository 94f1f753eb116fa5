package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/operator"
	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	tlsfiles "github.com/stoatmount/stoatmount/process/credentials"
	"github.com/stoatmount/stoatmount/process/member"
)

// statusPeers implements operator.Peers.
type statusPeers struct {
	node *Node
}

// Members implements operator.Peers.
func (p statusPeers) Members() []member.Member {
	return p.node.members.Live(p.node.clock.Now())
}

// Status implements operator.Peers.
func (p statusPeers) Status(ctx context.Context, to member.Member, withBurn bool) ([]byte, error) {
	reply, err := p.node.links.Call(ctx, to.Peer, &peerpb.Envelope{Body: &peerpb.Envelope_StatusQuery{
		StatusQuery: &peerpb.StatusQuery{Burn: withBurn},
	}})
	if err != nil {
		return nil, err
	}
	if reply.GetStatusReply() == nil {
		return nil, errors.Errorf("router %s replied without a status", to.Name)
	}
	return reply.GetStatusReply().GetJson(), nil
}

func (n *Node) provisionOperatorAPI() (err error) {
	n.collector = operator.NewCollector(operator.CollectorOptions{
		Clock: n.clock, Peers: statusPeers{n}, LocalStatus: n.status, Recorder: n.recorder, Replicas: n.burnReplicas, Snapshot: n.follower.Snapshot,
	})
	controller := operator.RouterController{ConfigChanges: operator.ConfigChanges{Follower: n.follower}, Collector: n.collector, Metrics: n.Vars}
	n.operatorServer, err = operator.New(controller, n.settings.Access.OperatorKeyHash, n.settings.Access.OpenOnLoopback, n.log.WithName("operator"))
	return err
}

// statusReply answers a status query of another router.
func (n *Node) statusReply(m *peerpb.StatusQuery) *peerpb.Envelope {
	data, err := n.collector.StatusReply(m.GetBurn())
	if err != nil {
		n.log.Error(err, "status")
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_StatusReply{StatusReply: &peerpb.StatusReply{Json: data}}}
}

// status returns the state of this router.
func (n *Node) status(now time.Time) api.Router {
	s := api.Router{
		Name: n.self.Name, Incarnation: n.self.Incarnation, Zone: n.self.Zone, Region: n.self.Region,
		Started: n.started, At: now, Draining: n.drain.draining(), Health: n.health(),
		ConfigVersion: n.follower.Status().Version, ConfigFresh: n.follower.Fresh(now), LogAgeMs: -1, // unknown
		InProgress:            int(n.inProgress.Load()),
		ControlBytesPerSecond: float64(n.counters.controlRate.Load()),
		InvariantViolations:   n.invariants.Total(),
		MemoryBytes:           memoryBytes(),
		Kinds:                 n.counters.kinds(),
	}
	if confirmed := n.follower.Status().ConfirmedAt; !confirmed.IsZero() {
		s.LogAgeMs = now.Sub(confirmed).Milliseconds()
	}
	if gap := n.follower.Status().Missing; gap != nil {
		s.ConfigMissing = &api.RecordRange{From: uint64(gap.From), To: uint64(gap.To)}
	}
	if view := n.members.View(); view != nil {
		s.View, s.ViewMembers = uint64(view.ID), len(view.Members)
	}
	s.Endpoints = n.ownedEndpointStatus(now)
	for _, e := range s.Endpoints {
		s.Waiting += e.Waiting
	}
	return s
}

func (n *Node) health() string {
	switch {
	case n.drain.draining():
		return "leaving" // the API's word for draining
	case n.Ready():
		return "ready"
	default:
		return "not ready"
	}
}

func (n *Node) ownedEndpointStatus(now time.Time) []api.Endpoint {
	var endpoints []api.Endpoint
	for _, s := range n.owner.Status(now) {
		if !n.owns(now, member.DutyAdmission, s.Endpoint) {
			continue
		}
		e := api.Endpoint{
			Name: s.Endpoint, Permits: s.Permits, Cap: s.Cap, Waiting: s.Waiting, Cold: s.Cold,
			Usable: n.owner.Usable(now, s.Endpoint), Running: -1, // unknown
		}
		if report, ok := n.loadReports.get(s.Endpoint); ok {
			e.Running, e.Draining = report.Running, report.Draining
			e.ReportAgeMs = now.Sub(report.At).Milliseconds() + report.AgeMs
		}
		endpoints = append(endpoints, e)
	}
	return endpoints
}

// serveOperators serves the operator API until ctx ends.
func (n *Node) serveOperators(ctx context.Context) error {
	server := n.operatorServer.HTTPServer()
	certificate, err := tlsfiles.ListenerTLS(n.settings.TLS.OperatorCert, n.settings.TLS.OperatorKey)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err = serveMaybeTLS(server, n.listen.operator, certificate != nil, n.settings.TLS.OperatorCert, n.settings.TLS.OperatorKey)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func serveMaybeTLS(server *http.Server, listener net.Listener, secure bool, cert, key string) error {
	if secure {
		return server.ServeTLS(listener, cert, key)
	}
	return server.Serve(listener)
}
