package forward

import (
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/process/origins"
	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// retryOriginUnknown is the Retry-After of a stream that is not known: by then a
// router that cannot be reached may answer again.
const retryOriginUnknown = time.Second

// findOrigin finds the software that began the stream which the request takes up.
func (j *job) findOrigin() outcome.Code {
	if j.req.Resumes == "" && j.req.LastEventID <= 0 {
		return outcome.OK // the caller has no event
	}
	names := j.route.Services(0)
	o, ok := j.s.Origins.Find(j.requestCtx, origins.KeyOf(j.req.Resumes), names)
	if !ok {
		return outcome.OriginUnknown
	}
	j.origin = &o
	return outcome.OK
}

// recordOrigin records that the endpoint of an attempt brings the first event of a stream.
func (j *job) recordOrigin(a *attempt) {
	if j.origin != nil {
		return
	}
	j.origin = &origins.Origin{Service: a.grant.Service, Version: a.grant.Version}
	if j.route.Resumable {
		j.s.Origins.Begin(j.requestCtx, origins.KeyOf(j.req.ID), *j.origin)
	}
}

// mayGoOnAt reports whether a service may have the next attempt of the request.
func (j *job) mayGoOnAt(service string) bool { return j.origin == nil || j.origin.Service == service }

// acquireNext chooses the endpoint of the next attempt. A request for which there is no other endpoint goes to
// the one to which its connection broke, if that was found to accept another one.
func (j *job) acquireNext() (*balance.Grant, *balance.Refusal) {
	g, refusal := j.acquire()
	failed := j.rec.FailedAttempts
	if refusal == nil || refusal.Code != outcome.NoEndpoint || j.unreached > 0 || len(failed) == 0 {
		return g, refusal
	}
	last := failed[len(failed)-1]
	if last.Failure != balance.Broken || last.Crashed {
		return g, refusal
	}
	j.tried = slices.DeleteFunc(j.tried, func(id string) bool { return id == last.Endpoint })
	return j.acquire()
}
