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
	held     admission.Held
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
	if !n.follower.Fresh(now) {
		return outcome.NotRun(outcome.StaleConfig, "the configuration was not confirmed lately")
	}
	snapshot := n.follower.Snapshot()
	if code := n.holder.MayDispatch(now, p.held, snapshot); code != outcome.OK {
		return outcome.NotRun(code, "endpoint %s", p.endpoint.Name)
	}
	n.check.Check(!snapshot.EndpointOut(p.endpoint.Name), invariant.NothingToOut, func() string {
		return "request " + p.job.ID + " to " + p.endpoint.Name
	})
	n.check.Check(n.follower.Fresh(now), invariant.DispatchOnFreshConfig, func() string { return "request " + p.job.ID })
	p.started = true
	p.run = n.nextID.Add(1)
	n.running.Start(p.run, p.job.Fingerprint, p.endpoint.Name, p.boot, p.alone)
	return nil
}

// Release implements serve.Permit.
func (p *permit) Release(result serve.Result) {
	n := p.node
	now := n.clock.Now()
	releases := n.holder.Release(p.held, admission.Result{
		Dispatched: result.Dispatched,
		Completed:  result.Completed,
		Failed:     result.Failed,
		FirstToken: result.FirstToken,
		Tokens:     result.Tokens,
		Boot:       result.Boot,
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
		n.hints.Held(p.endpoint.Name, now.Sub(p.at))
		n.durations.add(p.job.Kind.Name, now.Sub(p.at))
		n.budget.Served(p.endpoint.Name)
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
