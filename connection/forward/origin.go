package forward

import (
	"time"

	"github.com/stoatmount/stoatmount/process/origins"
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
	o, ok := j.s.Origins.Find(j.ctx, origins.KeyOf(j.req.Resumes), names)
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
		j.s.Origins.Begin(j.ctx, origins.KeyOf(j.req.ID), *j.origin)
	}
}

// mayGoOnAt reports whether a service may have the next attempt of the request.
func (j *job) mayGoOnAt(service string) bool { return j.origin == nil || j.origin.Service == service }
