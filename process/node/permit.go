package node

import (
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/admission"
	"github.com/stoatmount/stoatmount/process/invariant"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/serve"
	"github.com/stoatmount/stoatmount/version/config"
)

// permit is a granted permit with its request. It implements serve.Permit.
type permit struct {
	node            *Node
	job             *serve.Job
	endpoint        *config.Endpoint
	ref             admission.PermitRef
	incarnation     uint64
	receivedAt      time.Time
	alone           bool
	runID           uint64 // number in the table of running requests
	approvedByHome  bool   // the home of the fingerprint must be notified of the end
	dispatchAllowed bool   // MayDispatch has returned nil
}

// Endpoint implements serve.Permit.
func (p *permit) Endpoint() *config.Endpoint {
	return p.endpoint
}

// MayDispatch implements serve.Permit.
func (p *permit) MayDispatch(now time.Time) *outcome.Refusal {
	n := p.node
	if refusal := n.finalCheck(p, now); refusal != nil {
		return refusal
	}
	p.audit(n.clock.Now())
	p.dispatchAllowed = true
	p.runID = n.nextID.Add(1)
	n.runs.Start(p.runID, p.job.Fingerprint, p.endpoint.Name, p.incarnation, p.alone)
	return nil
}

// check is the final check before the request is sent.
func (p *permit) check(now time.Time) *outcome.Refusal {
	n := p.node
	if !n.follower.Fresh(now) {
		return outcome.NotRun(outcome.StaleConfig, "the configuration was not confirmed lately")
	}
	if code := n.holder.MayDispatch(now, p.ref, n.follower.Snapshot()); code != outcome.OK {
		return outcome.NotRun(code, "endpoint %s", p.endpoint.Name)
	}
	if n.drainingFor(now, p.endpoint.Name) > 0 {
		return outcome.NotRun(outcome.EndpointOut, "endpoint %s is leaving", p.endpoint.Name)
	}
	return nil
}

// drainingGrace is the time after a draining endpoint was detected from which new work
// for it violates an invariant.
const drainingGrace = 3 * time.Second

// auditGrace is the age of a configuration from which a dispatch that does not comply
// with it violates an invariant.
const auditGrace = 250 * time.Millisecond

// audit verifies the invariants of a dispatch independently of the check that
// allowed it.
func (p *permit) audit(now time.Time) {
	n := p.node
	name := p.endpoint.Name
	evidence := func() string { return "request " + p.job.ID + " to " + name }
	configOldEnough := now.Sub(time.Unix(0, n.appliedAt.Load())) > auditGrace
	n.invariants.Check(!configOldEnough || !n.follower.Snapshot().EndpointOutOfService(name), invariant.NoDispatchToOutOfService, evidence)
	n.invariants.Check(n.drainingFor(now, name) <= drainingGrace, invariant.NoDispatchToDraining, evidence)
	n.invariants.Check(n.follower.Fresh(now), invariant.DispatchOnFreshConfig, evidence)
}

// drainingFor returns how long this router has known that the endpoint is draining: at
// least 1 ns, or 0 if it is not.
func (n *Node) drainingFor(now time.Time, name string) time.Duration {
	since := n.loadReports.drainingSince(name)
	if since.IsZero() {
		return 0
	}
	return max(now.Sub(since), 1)
}

// Release implements serve.Permit.
func (p *permit) Release(result serve.Result) {
	n := p.node
	now := n.clock.Now()
	releases := n.holder.Release(p.ref, admission.Result{
		Dispatched:  result.Dispatched,
		Completed:   result.Completed,
		Failed:      result.Failed,
		FirstToken:  result.FirstToken,
		Tokens:      result.Tokens,
		Incarnation: result.Incarnation,
	})
	for i := range releases {
		n.sendRelease(now, &releases[i])
	}
	p.recordResult(now, result)
	p.notifyHome(result)
}

func (n *Node) sendRelease(now time.Time, r *admission.OwnerRelease) {
	if r.Owner == n.self.Name {
		n.pendingPermits.deliver(n.owner.Release(now, n.self.Name, r.Release))
		return
	}
	if owner, ok := n.roster.find(r.Owner); ok {
		n.links.Send(owner.Peer, &peerpb.Envelope{Body: &peerpb.Envelope_Release{Release: r.Release.Message()}})
	}
}

// recordResult updates the hints, durations, retry budget and breakers.
func (p *permit) recordResult(now time.Time, result serve.Result) {
	n := p.node
	switch {
	case result.Completed:
		n.hints.RecordHold(p.endpoint.Name, now.Sub(p.receivedAt))
		n.durations.add(p.job.Kind.Name, now.Sub(p.receivedAt))
		n.retryBudget.RecordSuccess(p.endpoint.Name)
		n.breakers.Success(p.endpoint.Name)
	case result.Failed:
		if until, open := n.breakers.Failure(now, p.endpoint.Name, outcome.EndpointFailed); open {
			n.hints.Block(p.endpoint.Name, until)
		}
	}
}

// notifyHome notifies the home of the fingerprint that the request has ended.
func (p *permit) notifyHome(result serve.Result) {
	n := p.node
	switch {
	case p.dispatchAllowed:
		if message := n.runs.End(p.runID, p.endpoint.Name, result.Completed); message != nil {
			n.notifySuspectHome(message)
		}
	case p.approvedByHome:
		n.notifySuspectHome(&peerpb.Suspect{
			Fingerprint: uint64(p.job.Fingerprint), Endpoint: p.endpoint.Name, Boot: p.incarnation, Withdrawn: true,
		})
	}
}
