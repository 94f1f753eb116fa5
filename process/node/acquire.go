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
	// maxRounds bounds how often the candidates are asked for one attempt.
	maxRounds = 8
	// roundPause is the pause before candidates are asked again that could not
	// decide, for example while the duties move.
	roundPause = 200 * time.Millisecond
	// permitSlack is added to the wait in the owner's queue to get the bound of
	// the call.
	permitSlack = 500 * time.Millisecond
)

// Acquire implements serve.Fleet.
func (n *Node) Acquire(ctx context.Context, job *serve.Job, avoid []string) (serve.Permit, *outcome.Refusal) {
	a := &acquisition{node: n, job: job, avoid: avoid}
	defer a.unbind()
	for round := range maxRounds {
		permit, refusal := a.round(ctx, round)
		if permit != nil {
			return permit, nil
		}
		if !a.again(ctx, refusal) {
			return nil, refusal
		}
	}
	return nil, a.last
}

// acquisition is the search for one permit.
type acquisition struct {
	node  *Node
	job   *serve.Job
	avoid []string
	known []choose.CacheLocation
	asked bool // known is filled
	bound *binding
	pause time.Duration
	last  *outcome.Refusal
}

// binding is the word of the home of the request's fingerprint that the
// request may run at one endpoint only. The home counts it as running there.
type binding struct {
	endpoint string
	alone    bool // nothing else may run there
}

// again decides after a round without permit and waits before the next one.
func (a *acquisition) again(ctx context.Context, refusal *outcome.Refusal) bool {
	a.last = refusal
	if a.bound != nil {
		return ctx.Err() == nil
	}
	if !passing(refusal.Code) {
		return false
	}
	pause := max(a.pause, roundPause)
	a.pause = 0
	if a.job.Remaining(a.node.clock.Now()) <= pause+a.node.durations.of(a.job.Kind.Name) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-a.node.clock.After(pause):
		return true
	}
}

// passing reports whether a refusal is about a state that passes in moments.
func passing(code outcome.Code) bool {
	switch code {
	case outcome.NotOwner, outcome.OwnerUnreachable, outcome.EndpointCold, outcome.EndpointAtCap, outcome.NoEndpoint:
		return true
	default:
		return false
	}
}

// round asks the candidates once, best first. From the second round on the
// best one is asked with the longest wait that the deadline allows.
func (a *acquisition) round(ctx context.Context, round int) (serve.Permit, *outcome.Refusal) {
	n := a.node
	now := n.clock.Now()
	chooser := n.chooser.Load()
	if chooser == nil {
		return nil, outcome.NotRun(outcome.NoConfig, "no configuration is in force yet")
	}
	if !a.asked {
		a.known = n.knownPlaces(ctx, now, a.job)
		a.asked = true
	}
	plan := chooser.Select(now, a.input(now))
	candidates := plan.Candidates()
	if len(candidates) == 0 {
		refusal := outcome.NotRun(plan.Code, "no endpoint can serve the request in time")
		refusal.RetryAfter = plan.RetryAfter
		return nil, refusal
	}
	if a.bound != nil {
		return a.askBound(ctx, now, candidates)
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
		if ctx.Err() != nil || a.bound != nil || final(denied.Code) {
			return nil, denied
		}
	}
	return nil, refusal
}

// askBound asks the endpoint that the request is bound to. If it cannot take
// the request, the home is asked anew in the next round.
func (a *acquisition) askBound(ctx context.Context, now time.Time, candidates []choose.Candidate) (serve.Permit, *outcome.Refusal) {
	defer a.unbind()
	refusal := outcome.NotRun(outcome.EndpointAtCap, "the request has to run at endpoint %s", a.bound.endpoint)
	for i := range candidates {
		if candidates[i].Endpoint.Name != a.bound.endpoint {
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

// unbind tells the home that the request does not run where it is bound to.
func (a *acquisition) unbind() {
	if a.bound == nil {
		return
	}
	a.node.tellSuspectHome(&peerpb.Suspect{
		Fingerprint: uint64(a.job.Fingerprint), Endpoint: a.bound.endpoint, Alone: a.bound.alone, Withdrawn: true,
	})
	a.bound = nil
}

// final reports whether no other candidate needs to be asked.
func final(code outcome.Code) bool {
	return code == outcome.RequestConvicted || code == outcome.WorkspaceOverShare
}

// longestWait is the wait that leaves enough time to serve the request.
func (a *acquisition) longestWait(now time.Time) time.Duration {
	return max(a.job.Remaining(now)-a.node.durations.of(a.job.Kind.Name), 0)
}

func (a *acquisition) input(now time.Time) *choose.Input {
	return &choose.Input{
		Chat:           a.job.ChatID(),
		HashKey:        uint64(a.job.Fingerprint) ^ uint64(a.job.Received.UnixNano()),
		Kind:           a.job.Kind,
		Age:            now.Sub(a.job.Received),
		Deadline:       a.job.Deadline.Sub(a.job.Received),
		Prompt:         a.job.PromptTokens,
		ServeTime:      a.node.durations.of(a.job.Kind.Name),
		CacheLocations: a.known,
		Returning:      a.job.Returning(),
		Tried:          a.avoid,
	}
}

// ask tries to get a permit at one candidate and the word of the home of the
// request's fingerprint.
func (a *acquisition) ask(ctx context.Context, c *choose.Candidate, wait time.Duration) (serve.Permit, *outcome.Refusal) {
	n := a.node
	if _, ok := n.breakers.Allow(n.clock.Now(), c.Endpoint.Name); !ok {
		return nil, outcome.NotRun(outcome.BreakerOpen, "endpoint %s", c.Endpoint.Name)
	}
	alone := a.bound != nil && a.bound.alone
	granted, refusal := n.askOwner(ctx, a.job, c.Endpoint, wait, alone)
	if refusal != nil {
		return nil, refusal
	}
	p := &permit{node: n, job: a.job, endpoint: c.Endpoint, held: granted.held, boot: granted.boot, at: granted.at, alone: alone}
	if refusal := a.clear(ctx, p); refusal != nil {
		p.Release(serve.Result{})
		return nil, refusal
	}
	if c.MoveFrom != "" {
		n.moveCache(ctx, a.job, c)
	}
	return p, nil
}

// granted is a permit as it came from the owner.
type granted struct {
	held admission.PermitRef
	boot uint64
	at   time.Time
}

// askOwner asks the admission owner of the endpoint for a permit.
func (n *Node) askOwner(ctx context.Context, job *serve.Job, target *config.Endpoint, wait time.Duration, alone bool) (granted, *outcome.Refusal) {
	now := n.clock.Now()
	owner, ok := n.members.OwnerFor(now, member.DutyAdmission, target.Name)
	if !ok {
		return granted{}, outcome.NotRun(outcome.OwnerUnreachable, "no router is the admission owner of %s", target.Name)
	}
	var decision admission.Decision
	var refusal *outcome.Refusal
	if owner.Name == n.self.Name {
		decision, refusal = n.askSelf(ctx, job, target, wait, alone)
	} else {
		decision, refusal = n.askPeer(ctx, owner, job, target, wait, alone)
	}
	if refusal != nil {
		return granted{}, refusal
	}
	n.hints.SetLoad(n.clock.Now(), target.Name, choose.Load{
		Permits: decision.Load, Cap: decision.Cap, Queue: decision.Queue, Cold: decision.Cold, Incarnation: decision.Incarnation,
	})
	if !decision.Granted {
		refusal := outcome.NotRun(decision.Code, "endpoint %s", target.Name)
		refusal.RetryAfter = decision.RetryAfter
		return granted{}, refusal
	}
	return granted{held: n.holder.AddGrant(now, owner.Name, &decision), boot: decision.Incarnation, at: n.clock.Now()}, nil
}

// permitMessage is the request for a permit as other routers get it.
func (n *Node) permitMessage(now time.Time, job *serve.Job, target *config.Endpoint, wait time.Duration, alone bool) *peerpb.PermitRequest {
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
	request := admission.RequestFrom(now, n.self.Name, call, n.permitMessage(now, job, target, wait, alone))
	n.calls.deliver(n.owner.Request(now, request))
	select {
	case d := <-decided:
		return d, nil
	case <-ctx.Done():
	}
	if n.calls.drop(call) {
		n.owner.Cancel(n.self.Name, call, target.Name)
	} else {
		n.giveBack(<-decided)
	}
	return admission.Decision{}, outcome.NotRun(outcome.DeadlineTooShort, "no place became free in time")
}

// giveBack returns a permit that was granted to a request that had gone.
func (n *Node) giveBack(d admission.Decision) {
	if d.Granted {
		release := admission.Release{Endpoint: d.Endpoint, Permit: d.Permit}
		n.calls.deliver(n.owner.Release(n.clock.Now(), n.self.Name, release))
	}
}

func (n *Node) askPeer(ctx context.Context, owner member.Member, job *serve.Job, target *config.Endpoint, wait time.Duration, alone bool) (admission.Decision, *outcome.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, wait+permitSlack)
	defer cancel()
	message := &peerpb.Envelope{Body: &peerpb.Envelope_PermitRequest{
		PermitRequest: n.permitMessage(n.clock.Now(), job, target, wait, alone),
	}}
	reply, err := n.links.Call(ctx, owner.Peer, message)
	if err != nil || reply.GetPermitReply() == nil {
		return admission.Decision{}, outcome.NotRun(outcome.OwnerUnreachable, "router %s", owner.Name)
	}
	return admission.DecisionFrom(target.Name, reply.GetPermitReply()), nil
}
