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

// permit implements serve.Permit.
type permit struct {
	node     *Node
	job      *serve.Job
	endpoint *config.Endpoint
	held     admission.PermitRef
	boot     uint64
	at       time.Time // when it was granted
	alone    bool
	run      uint64 // number in the table of running requests
	asked    bool   // the home of the fingerprint expects to hear of it
	started  bool
}

// Endpoint implements serve.Permit.
func (p *permit) Endpoint() *config.Endpoint {
	return p.endpoint
}

// MayDispatch implements serve.Permit.
func (p *permit) MayDispatch(now time.Time) *outcome.Refusal {
	n := p.node
	if refusal := n.lastCheck(p, now); refusal != nil {
		return refusal
	}
	p.audit(n.clock.Now())
	p.started = true
	p.run = n.nextID.Add(1)
	n.running.Start(p.run, p.job.Fingerprint, p.endpoint.Name, p.boot, p.alone)
	return nil
}

// check is the last check before the request leaves.
func (p *permit) check(now time.Time) *outcome.Refusal {
	n := p.node
	if !n.follower.Fresh(now) {
		return outcome.NotRun(outcome.StaleConfig, "the configuration was not confirmed lately")
	}
	if code := n.holder.MayDispatch(now, p.held, n.follower.Snapshot()); code != outcome.OK {
		return outcome.NotRun(code, "endpoint %s", p.endpoint.Name)
	}
	if n.leavingFor(now, p.endpoint.Name) > 0 {
		return outcome.NotRun(outcome.EndpointOut, "endpoint %s is leaving", p.endpoint.Name)
	}
	return nil
}

// leavingGrace is how long after an endpoint was heard to be leaving it may
// still get new work.
const leavingGrace = 3 * time.Second

// auditGrace is the age of a configuration from which on every dispatch must
// respect it.
const auditGrace = 250 * time.Millisecond

// audit checks what must hold when a request leaves, without the check that
// let it pass.
func (p *permit) audit(now time.Time) {
	n := p.node
	name := p.endpoint.Name
	evidence := func() string { return "request " + p.job.ID + " to " + name }
	settled := now.Sub(time.Unix(0, n.appliedAt.Load())) > auditGrace
	n.check.Check(!settled || !n.follower.Snapshot().EndpointOutOfService(name), invariant.NothingToOutOfService, evidence)
	n.check.Check(n.leavingFor(now, name) <= leavingGrace, invariant.NothingToDraining, evidence)
	n.check.Check(n.follower.Fresh(now), invariant.DispatchOnFreshConfig, evidence)
}

// leavingFor returns how long this router has known that the endpoint leaves;
// 0 if it does not.
func (n *Node) leavingFor(now time.Time, name string) time.Duration {
	since := n.loads.leavingSince(name)
	if since.IsZero() {
		return 0
	}
	return max(now.Sub(since), 1)
}

// Release implements serve.Permit.
func (p *permit) Release(result serve.Result) {
	n := p.node
	now := n.clock.Now()
	releases := n.holder.Release(p.held, admission.Result{
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
	p.learn(now, result)
	p.tellHome(result)
}

func (n *Node) sendRelease(now time.Time, r *admission.OwnerRelease) {
	if r.Owner == n.self.Name {
		n.calls.deliver(n.owner.Release(now, n.self.Name, r.Release))
		return
	}
	if owner, ok := n.roster.find(r.Owner); ok {
		n.links.Send(owner.Peer, &peerpb.Envelope{Body: &peerpb.Envelope_Release{Release: r.Release.Message()}})
	}
}

// learn updates what the choice of endpoints is based on.
func (p *permit) learn(now time.Time, result serve.Result) {
	n := p.node
	switch {
	case result.Completed:
		n.hints.RecordHold(p.endpoint.Name, now.Sub(p.at))
		n.durations.add(p.job.Kind.Name, now.Sub(p.at))
		n.budget.RecordSuccess(p.endpoint.Name)
		n.breakers.Success(p.endpoint.Name)
	case result.Failed:
		if until, open := n.breakers.Failure(now, p.endpoint.Name, outcome.EndpointFailed); open {
			n.hints.Block(p.endpoint.Name, until)
		}
	}
}

// tellHome tells the home of the fingerprint that the request no longer runs.
func (p *permit) tellHome(result serve.Result) {
	n := p.node
	switch {
	case p.started:
		if message := n.running.End(p.run, p.endpoint.Name, result.Completed); message != nil {
			n.tellSuspectHome(message)
		}
	case p.asked:
		n.tellSuspectHome(&peerpb.Suspect{
			Fingerprint: uint64(p.job.Fingerprint), Endpoint: p.endpoint.Name, Boot: p.boot, Withdrawn: true,
		})
	}
}
