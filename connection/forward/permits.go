package forward

import (
	"context"
	"time"

	"github.com/stoatmount/stoatmount/request/balance"
)

// Permits asks the router that owns the slots of a service for the endpoint of a request.
type Permits interface {
	// Acquire asks for a permit. used is false if the service does not use permits, or its owner did not reply.
	Acquire(ctx context.Context, r PermitRequest) (p Permit, refusal *balance.Refusal, used bool)
	// Release returns a permit. answered is whether the endpoint answered and reported its load; took is how long
	// it ran the request, or 0 if it did not run it to an answer.
	Release(p Permit, answered bool, load Load, took time.Duration)
}

// PermitRequest describes a request that asks for a permit.
type PermitRequest struct {
	balance.Request
	ID        string        // of the request
	Remaining time.Duration // of the request's objective; 0 if it has passed
	Left      time.Duration // until its deadline
}

// Permit is the result of asking for one.
type Permit struct {
	Service   string
	Number    int64
	Owner     string // name of the router that was asked; "" if none was
	OwnerAddr string // of that router, for datagrams; "" is this one
	Result    PermitResult
	Endpoint  balance.Assignment // zero unless granted
	Waited    time.Duration      // until the result
}

// PermitResult is how asking for a permit ended.
type PermitResult string

// The results. A request for which none was asked has "".
const (
	PermitGranted    PermitResult = "granted"
	PermitRefused    PermitResult = "refused"
	PermitNone       PermitResult = "none"       // the owner had none to give
	PermitUnanswered PermitResult = "unanswered" // the owner did not reply in time
	PermitLeft       PermitResult = "left"       // the request ended while it waited
)

// PermitEvent is something that happens to a request that needs a permit: a PermitResult, or one of these.
type PermitEvent string

// Events that are no results.
const (
	PermitAsked        PermitEvent = "asked"
	PermitQueued       PermitEvent = "queued"        // by the owner, until its result
	PermitPaused       PermitEvent = "paused"        // the owner was not asked, as it has not replied lately
	PermitOwnerChanged PermitEvent = "owner_changed" // of a service
)

// noObjective stands for the objective of routes without one, as waits are a part of it.
const noObjective = time.Second

// acquireAt chooses an endpoint of a service, by permit if the service uses them.
func (j *job) acquireAt(service string) (*balance.Grant, *balance.Refusal) {
	req := j.balanceRequest(service)
	p, refusal := j.askPermit(req)
	if refusal != nil {
		return nil, refusal
	}
	granted := p.Result == PermitGranted
	if granted {
		req.Assigned = &p.Endpoint
	}
	g, refusal := j.s.Endpoints.Acquire(time.Now(), req)
	if granted && (refusal != nil || g.ID != p.Endpoint.ID || g.Started != p.Endpoint.Started) {
		j.s.Permits.Release(p, false, Load{}, 0)
		granted = false
	}
	if granted {
		j.permit = &p
	}
	return g, refusal
}

// askPermit asks for a permit unless the request has a prompt key or needs a version. A request that
// may have run is not refused, as its caller could not send it again.
func (j *job) askPermit(req balance.Request) (Permit, *balance.Refusal) {
	if j.s.Permits == nil || req.HasKey || req.Version != nil {
		return Permit{}, nil
	}
	objective := j.route.Objective
	if objective <= 0 {
		objective = noObjective
	}
	now := time.Now()
	remaining := min(objective-now.Sub(j.x.Arrived), j.deadline.Sub(now))
	p, refusal, used := j.s.Permits.Acquire(j.requestCtx, PermitRequest{Request: req, ID: j.req.ID, Remaining: max(0, remaining), Left: max(0, j.deadline.Sub(now))})
	if p.Result != "" {
		j.rec.Permit = p
	}
	if !used || refusal != nil && (j.mayHaveRun || j.rec.HeadSent) && j.requestCtx.Err() == nil {
		return p, nil
	}
	return p, refusal
}

// releasePermit returns the permit of an attempt, if it has one.
func (j *job) releasePermit(a *attempt, now time.Time, failure balance.Failure) {
	if a.permit == nil {
		return
	}
	if !a.response.HasLoad {
		j.s.Permits.Release(*a.permit, false, Load{}, 0)
		return
	}
	took := time.Duration(0)
	if failure == balance.NoFailure || failure == balance.ServerError {
		took = now.Sub(a.sentAt)
	}
	j.s.Permits.Release(*a.permit, true, a.response.Load, took)
}
