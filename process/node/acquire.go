package node

import (
	"context"
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/admission"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/request/candidates"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/serve"
	"github.com/stoatmount/stoatmount/version/config"
)

const (
	// maxRounds bounds how often the candidates are tried for one attempt.
	maxRounds = 8
	// roundBackoff is the delay before another round if no candidate granted a permit
	// for reasons that pass soon, for example while duties move.
	roundBackoff = 200 * time.Millisecond
	// permitSlack is added to the wait in the owner's queue to get the timeout
	// of the call.
	permitSlack = 500 * time.Millisecond
)

// Acquire implements serve.Dependencies.
func (n *Node) Acquire(ctx context.Context, job *serve.Job, tried []string) (serve.Permit, *outcome.Refusal) {
	a := &acquisition{node: n, job: job, tried: tried}
	defer a.withdrawAssignment()
	for round := range maxRounds {
		permit, refusal := a.tryCandidates(ctx, round)
		if permit != nil {
			return permit, nil
		}
		if !a.waitForNextRound(ctx, refusal) {
			return nil, refusal
		}
	}
	return nil, a.lastRefusal
}

type acquisition struct {
	node                  *Node
	job                   *serve.Job
	tried                 []string // endpoints not to use again
	cacheLocations        []candidates.CacheLocation
	cacheLocationsFetched bool
	assigned              *assignment
	// backoff is the minimum delay before the next round, set by the home; roundBackoff if that is longer.
	backoff     time.Duration
	lastRefusal *outcome.Refusal
}

// assignment is the one endpoint that the home of the request's fingerprint allows.
// The home counts the request as running there.
type assignment struct {
	endpoint string
	alone    bool // no other request may run there
}

// waitForNextRound reports whether to try another round, after its delay.
func (a *acquisition) waitForNextRound(ctx context.Context, refusal *outcome.Refusal) bool {
	a.lastRefusal = refusal
	if a.assigned != nil {
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

// tryCandidates tries the candidates once, best first. From the second round on, the
// best one is asked with the longest wait that the deadline allows.
func (a *acquisition) tryCandidates(ctx context.Context, round int) (serve.Permit, *outcome.Refusal) {
	n := a.node
	now := n.clock.Now()
	selector := n.selector.Load()
	if selector == nil {
		return nil, outcome.NotRun(outcome.NoConfig, "no configuration is in force yet")
	}
	if !a.cacheLocationsFetched {
		a.cacheLocations = n.cacheLocations(ctx, now, a.job)
		a.cacheLocationsFetched = true
	}
	plan := selector.Select(now, a.input(now))
	ranked := plan.Candidates()
	if len(ranked) == 0 {
		refusal := outcome.NotRun(plan.Code, "no endpoint can serve the request in time")
		refusal.RetryAfter = plan.RetryAfter
		return nil, refusal
	}
	if a.assigned != nil {
		return a.requestAssignedPermit(ctx, now, ranked)
	}
	last := outcome.NotRun(outcome.NoEndpoint, "")
	for i := range ranked {
		wait := ranked[i].MaxWait
		if round > 0 && i == 0 {
			wait = a.longestWait(now)
		}
		permit, refusal := a.requestPermit(ctx, &ranked[i], wait)
		if permit != nil {
			return permit, nil
		}
		last = refusal
		if ctx.Err() != nil || a.assigned != nil || conclusive(refusal.Code) {
			return nil, refusal
		}
	}
	return nil, last
}

// requestAssignedPermit requests a permit for the assigned endpoint. If that cannot
// take the request, the home is asked again in the next round.
func (a *acquisition) requestAssignedPermit(ctx context.Context, now time.Time, ranked []candidates.Candidate) (serve.Permit, *outcome.Refusal) {
	defer a.withdrawAssignment()
	last := outcome.NotRun(outcome.EndpointAtCap, "the request has to run at endpoint %s", a.assigned.endpoint)
	for i := range ranked {
		if ranked[i].Endpoint.Name != a.assigned.endpoint {
			continue
		}
		permit, refusal := a.requestPermit(ctx, &ranked[i], a.longestWait(now))
		if permit != nil {
			return permit, nil
		}
		last = refusal
	}
	return nil, last
}

// withdrawAssignment notifies the home that the request does not run where assigned.
func (a *acquisition) withdrawAssignment() {
	if a.assigned == nil {
		return
	}
	a.node.notifySuspectHome(&peerpb.Suspect{
		Fingerprint: uint64(a.job.Fingerprint), Endpoint: a.assigned.endpoint, Alone: a.assigned.alone, Withdrawn: true,
	})
	a.assigned = nil
}

// conclusive reports whether no other candidate needs to be asked.
func conclusive(code outcome.Code) bool {
	return code == outcome.RequestConvicted || code == outcome.WorkspaceOverShare
}

// longestWait returns the wait that leaves enough time to serve the request.
func (a *acquisition) longestWait(now time.Time) time.Duration {
	return max(a.job.Remaining(now)-a.node.durations.estimate(a.job.Kind.Name), 0)
}

func (a *acquisition) input(now time.Time) *candidates.Input {
	return &candidates.Input{
		Chat:             a.job.ChatKey(),
		HashKey:          uint64(a.job.Fingerprint) ^ uint64(a.job.Received.UnixNano()), // differs for equal bodies
		Kind:             a.job.Kind,
		Age:              now.Sub(a.job.Received),
		Deadline:         a.job.Deadline.Sub(a.job.Received),
		Prompt:           a.job.PromptTokens,
		TimeAfterPrefill: a.node.durations.estimate(a.job.Kind.Name),
		CacheLocations:   a.cacheLocations,
		Returning:        a.job.Returning(),
		Tried:            a.tried,
	}
}

// requestPermit requests a permit for one candidate and the approval of the home of
// the request's fingerprint.
func (a *acquisition) requestPermit(ctx context.Context, c *candidates.Candidate, wait time.Duration) (serve.Permit, *outcome.Refusal) {
	n := a.node
	if _, ok := n.breakers.Allow(n.clock.Now(), c.Endpoint.Name); !ok {
		return nil, outcome.NotRun(outcome.BreakerOpen, "endpoint %s", c.Endpoint.Name)
	}
	alone := a.assigned != nil && a.assigned.alone
	granted, refusal := n.requestFromOwner(ctx, a.job, c.Endpoint, wait, alone)
	if refusal != nil {
		return nil, refusal
	}
	p := &permit{node: n, job: a.job, endpoint: c.Endpoint, ref: granted.ref, incarnation: granted.incarnation, receivedAt: granted.receivedAt, alone: alone}
	if refusal := a.requestHomeApproval(ctx, p); refusal != nil {
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
	receivedAt  time.Time
}

// requestFromOwner requests a permit from the admission owner of the endpoint.
func (n *Node) requestFromOwner(ctx context.Context, job *serve.Job, target *config.Endpoint, wait time.Duration, alone bool) (grant, *outcome.Refusal) {
	now := n.clock.Now()
	owner, ok := n.members.OwnerFor(now, member.DutyAdmission, target.Name)
	if !ok {
		return grant{}, outcome.NotRun(outcome.OwnerUnreachable, "no router is the admission owner of %s", target.Name)
	}
	var decision admission.Decision
	var refusal *outcome.Refusal
	if owner.Name == n.self.Name {
		decision, refusal = n.requestFromSelf(ctx, job, target, wait, alone)
	} else {
		decision, refusal = n.requestFromPeer(ctx, owner, job, target, wait, alone)
	}
	if refusal != nil {
		return grant{}, refusal
	}
	n.hints.SetLoad(n.clock.Now(), target.Name, candidates.Load{
		Permits: decision.Load, Cap: decision.Cap, Queue: decision.Queue, Cold: decision.Cold, Incarnation: decision.Incarnation,
	})
	if !decision.Granted {
		refusal := outcome.NotRun(decision.Code, "endpoint %s", target.Name)
		refusal.RetryAfter = decision.RetryAfter
		return grant{}, refusal
	}
	return grant{ref: n.holder.AddGrant(now, owner.Name, &decision), incarnation: decision.Incarnation, receivedAt: n.clock.Now()}, nil
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

func (n *Node) requestFromSelf(ctx context.Context, job *serve.Job, target *config.Endpoint, wait time.Duration, alone bool) (admission.Decision, *outcome.Refusal) {
	decided := make(chan admission.Decision, 1)
	call := n.pendingPermits.add(func(d admission.Decision) { decided <- d })
	now := n.clock.Now()
	request := admission.RequestFrom(now, n.self.Name, call, n.permitRequestMessage(now, job, target, wait, alone))
	n.pendingPermits.deliver(n.owner.Request(now, request))
	select {
	case d := <-decided:
		return d, nil
	case <-ctx.Done(): // the decision may have been delivered meanwhile
	}
	if n.pendingPermits.drop(call) {
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
		n.pendingPermits.deliver(n.owner.Release(n.clock.Now(), n.self.Name, release))
	}
}

func (n *Node) requestFromPeer(ctx context.Context, owner member.Member, job *serve.Job, target *config.Endpoint, wait time.Duration, alone bool) (admission.Decision, *outcome.Refusal) {
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
