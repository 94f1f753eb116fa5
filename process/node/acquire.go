package node

import (
	"context"
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/admission"
	"github.com/stoatmount/stoatmount/process/member"
	choose "github.com/stoatmount/stoatmount/request/candidates"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/serve"
	"github.com/stoatmount/stoatmount/version/config"
)

const (
	// maxRounds bounds how often the candidates are tried for one attempt.
	maxRounds = 8
	// roundBackoff is the delay before another round when the candidates could
	// not decide, for example while duties move.
	roundBackoff = 200 * time.Millisecond
	// permitSlack is added to the wait in the owner's queue to get the timeout
	// of the call.
	permitSlack = 500 * time.Millisecond
)

// Acquire implements serve.Fleet.
func (n *Node) Acquire(ctx context.Context, job *serve.Job, avoid []string) (serve.Permit, *outcome.Refusal) {
	a := &acquisition{node: n, job: job, avoid: avoid}
	defer a.unpin()
	for round := range maxRounds {
		permit, refusal := a.round(ctx, round)
		if permit != nil {
			return permit, nil
		}
		if !a.waitForNextRound(ctx, refusal) {
			return nil, refusal
		}
	}
	return nil, a.lastRefusal
}

// acquisition is the state of acquiring one permit.
type acquisition struct {
	node         *Node
	job          *serve.Job
	avoid        []string
	known        []choose.CacheLocation
	knownFetched bool
	pinned       *pin
	backoff      time.Duration
	lastRefusal  *outcome.Refusal
}

// pin restricts the request to one endpoint, as the home of its fingerprint
// demands. The home counts the request as running there.
type pin struct {
	endpoint string
	alone    bool // no other request may run there
}

// waitForNextRound reports whether to try another round, after its delay.
func (a *acquisition) waitForNextRound(ctx context.Context, refusal *outcome.Refusal) bool {
	a.lastRefusal = refusal
	if a.pinned != nil {
		return ctx.Err() == nil
	}
	if !transient(refusal.Code) {
		return false
	}
	backoff := max(a.backoff, roundBackoff)
	a.backoff = 0
	if a.job.Remaining(a.node.clock.Now()) <= backoff+a.node.durations.estimate(a.job.Kind.Name) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-a.node.clock.After(backoff):
		return true
	}
}

// transient reports whether a refusal is about a state that passes soon.
func transient(code outcome.Code) bool {
	switch code {
	case outcome.NotOwner, outcome.OwnerUnreachable, outcome.EndpointCold, outcome.EndpointAtCap, outcome.NoEndpoint:
		return true
	default:
		return false
	}
}

// round tries the candidates once, best first. From the second round on, the best
// one is asked with the longest wait that the deadline allows.
func (a *acquisition) round(ctx context.Context, round int) (serve.Permit, *outcome.Refusal) {
	n := a.node
	now := n.clock.Now()
	selector := n.selector.Load()
	if selector == nil {
		return nil, outcome.NotRun(outcome.NoConfig, "no configuration is in force yet")
	}
	if !a.knownFetched {
		a.known = n.knownPlacements(ctx, now, a.job)
		a.knownFetched = true
	}
	plan := selector.Select(now, a.input(now))
	candidates := plan.Candidates()
	if len(candidates) == 0 {
		refusal := outcome.NotRun(plan.Code, "no endpoint can serve the request in time")
		refusal.RetryAfter = plan.RetryAfter
		return nil, refusal
	}
	if a.pinned != nil {
		return a.askPinned(ctx, now, candidates)
	}
	refusal := outcome.NotRun(outcome.NoEndpoint, "")
	for i := range candidates {
		wait := candidates[i].MaxWait
		if round > 0 && i == 0 {
			wait = a.longestWait(now)
		}
		permit, denied := a.ask(ctx, &candidates[i], wait)
		if permit != nil {
			return permit, nil
		}
		refusal = denied
		if ctx.Err() != nil || a.pinned != nil || conclusive(denied.Code) {
			return nil, denied
		}
	}
	return nil, refusal
}

// askPinned asks the endpoint that the request is pinned to. If that cannot take
// the request, the home is asked again in the next round.
func (a *acquisition) askPinned(ctx context.Context, now time.Time, candidates []choose.Candidate) (serve.Permit, *outcome.Refusal) {
	defer a.unpin()
	refusal := outcome.NotRun(outcome.EndpointAtCap, "the request has to run at endpoint %s", a.pinned.endpoint)
	for i := range candidates {
		if candidates[i].Endpoint.Name != a.pinned.endpoint {
			continue
		}
		permit, denied := a.ask(ctx, &candidates[i], a.longestWait(now))
		if permit != nil {
			return permit, nil
		}
		refusal = denied
	}
	return nil, refusal
}

// unpin notifies the home that the request does not run where it is pinned.
func (a *acquisition) unpin() {
	if a.pinned == nil {
		return
	}
	a.node.notifySuspectHome(&peerpb.Suspect{
		Fingerprint: uint64(a.job.Fingerprint), Endpoint: a.pinned.endpoint, Alone: a.pinned.alone, Withdrawn: true,
	})
	a.pinned = nil
}

// conclusive reports whether no other candidate needs to be asked.
func conclusive(code outcome.Code) bool {
	return code == outcome.RequestConvicted || code == outcome.WorkspaceOverShare
}

// longestWait returns the wait that leaves enough time to serve the request.
func (a *acquisition) longestWait(now time.Time) time.Duration {
	return max(a.job.Remaining(now)-a.node.durations.estimate(a.job.Kind.Name), 0)
}

func (a *acquisition) input(now time.Time) *choose.Input {
	return &choose.Input{
		Chat:             a.job.ChatKey(),
		HashKey:          uint64(a.job.Fingerprint) ^ uint64(a.job.Received.UnixNano()),
		Kind:             a.job.Kind,
		Age:              now.Sub(a.job.Received),
		Deadline:         a.job.Deadline.Sub(a.job.Received),
		Prompt:           a.job.PromptTokens,
		TimeAfterPrefill: a.node.durations.estimate(a.job.Kind.Name),
		CacheLocations:   a.known,
		Returning:        a.job.Returning(),
		Tried:            a.avoid,
	}
}

// ask requests a permit for one candidate and the approval of the home of the
// request's fingerprint.
func (a *acquisition) ask(ctx context.Context, c *choose.Candidate, wait time.Duration) (serve.Permit, *outcome.Refusal) {
	n := a.node
	if _, ok := n.breakers.Allow(n.clock.Now(), c.Endpoint.Name); !ok {
		return nil, outcome.NotRun(outcome.BreakerOpen, "endpoint %s", c.Endpoint.Name)
	}
	alone := a.pinned != nil && a.pinned.alone
	granted, refusal := n.askOwner(ctx, a.job, c.Endpoint, wait, alone)
	if refusal != nil {
		return nil, refusal
	}
	p := &permit{node: n, job: a.job, endpoint: c.Endpoint, ref: granted.ref, incarnation: granted.incarnation, grantedAt: granted.grantedAt, alone: alone}
	if refusal := a.askSuspectHome(ctx, p); refusal != nil {
		p.Release(serve.Result{})
		return nil, refusal
	}
	if c.MoveFrom != "" {
		n.moveCache(ctx, a.job, c)
	}
	return p, nil
}

// grant is a permit as received from the owner.
type grant struct {
	ref         admission.PermitRef
	incarnation uint64
	grantedAt   time.Time
}

// askOwner requests a permit from the admission owner of the endpoint.
func (n *Node) askOwner(ctx context.Context, job *serve.Job, target *config.Endpoint, wait time.Duration, alone bool) (grant, *outcome.Refusal) {
	now := n.clock.Now()
	owner, ok := n.members.OwnerFor(now, member.DutyAdmission, target.Name)
	if !ok {
		return grant{}, outcome.NotRun(outcome.OwnerUnreachable, "no router is the admission owner of %s", target.Name)
	}
	var decision admission.Decision
	var refusal *outcome.Refusal
	if owner.Name == n.self.Name {
		decision, refusal = n.askSelf(ctx, job, target, wait, alone)
	} else {
		decision, refusal = n.askPeer(ctx, owner, job, target, wait, alone)
	}
	if refusal != nil {
		return grant{}, refusal
	}
	n.hints.SetLoad(n.clock.Now(), target.Name, choose.Load{
		Permits: decision.Load, Cap: decision.Cap, Queue: decision.Queue, Cold: decision.Cold, Incarnation: decision.Incarnation,
	})
	if !decision.Granted {
		refusal := outcome.NotRun(decision.Code, "endpoint %s", target.Name)
		refusal.RetryAfter = decision.RetryAfter
		return grant{}, refusal
	}
	return grant{ref: n.holder.AddGrant(now, owner.Name, &decision), incarnation: decision.Incarnation, grantedAt: n.clock.Now()}, nil
}

// permitRequestMessage returns the request for a permit as sent to other routers.
func (n *Node) permitRequestMessage(now time.Time, job *serve.Job, target *config.Endpoint, wait time.Duration, alone bool) *peerpb.PermitRequest {
	return &peerpb.PermitRequest{
		Endpoint:      target.Name,
		Workspace:     job.Workspace,
		Kind:          job.Kind.Name,
		DeadlineMs:    millis(job.Remaining(now)),
		WaitMs:        millis(wait),
		AgeMs:         millis(now.Sub(job.Received)),
		Alone:         alone,
		ConfigVersion: uint64(job.Snapshot.Version),
	}
}

func millis(d time.Duration) uint32 {
	return uint32(max(d.Milliseconds(), 0))
}

func (n *Node) askSelf(ctx context.Context, job *serve.Job, target *config.Endpoint, wait time.Duration, alone bool) (admission.Decision, *outcome.Refusal) {
	decided := make(chan admission.Decision, 1)
	call := n.calls.add(func(d admission.Decision) { decided <- d })
	now := n.clock.Now()
	request := admission.RequestFrom(now, n.self.Name, call, n.permitRequestMessage(now, job, target, wait, alone))
	n.calls.deliver(n.owner.Request(now, request))
	select {
	case d := <-decided:
		return d, nil
	case <-ctx.Done():
	}
	if n.calls.drop(call) {
		n.owner.Cancel(n.self.Name, call, target.Name)
	} else {
		n.releaseUnused(<-decided)
	}
	return admission.Decision{}, outcome.NotRun(outcome.DeadlineTooShort, "no place became free in time")
}

// releaseUnused releases a permit that was granted after its request had ended.
func (n *Node) releaseUnused(d admission.Decision) {
	if d.Granted {
		release := admission.Release{Endpoint: d.Endpoint, Permit: d.Permit}
		n.calls.deliver(n.owner.Release(n.clock.Now(), n.self.Name, release))
	}
}

func (n *Node) askPeer(ctx context.Context, owner member.Member, job *serve.Job, target *config.Endpoint, wait time.Duration, alone bool) (admission.Decision, *outcome.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, wait+permitSlack)
	defer cancel()
	message := &peerpb.Envelope{Body: &peerpb.Envelope_PermitRequest{
		PermitRequest: n.permitRequestMessage(n.clock.Now(), job, target, wait, alone),
	}}
	reply, err := n.links.Call(ctx, owner.Peer, message)
	if err != nil || reply.GetPermitReply() == nil {
		return admission.Decision{}, outcome.NotRun(outcome.OwnerUnreachable, "router %s", owner.Name)
	}
	return admission.DecisionFrom(target.Name, reply.GetPermitReply()), nil
}
