package forward

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/http1"
)

const (
	// maxMismatched bounds the responses to other requests that are discarded
	// while waiting for the response to this one.
	maxMismatched = 2
	// maxDrainBytes and drainTimeout bound the body of a response that is not passed on.
	maxDrainBytes = 64 << 10
	drainTimeout  = 20 * time.Millisecond
)

// readHead reads the head of the response to this request.
func (j *job) readHead(a *attempt) error {
	defer j.probeWhenSilent(a)()
	defer j.watchOverdue(a)()
	watched := false
	for mismatched := 0; ; mismatched++ {
		again, err := j.watchSilences(a)
		if err != nil {
			return err
		}
		watched = watched || again
		head, err := http1.ReadResponse(a.conn.R, responseHeadBytes, j.x.Head.Method)
		if err != nil {
			return err
		}
		a.firstAt = time.Now()
		j.s.Links.Proved(a.firstAt, a.grant)
		response := j.s.Codec.DecodeResponse(head)
		if response.Leaving && (response.EndpointID == "" || response.EndpointID == a.grant.ID) && j.s.Endpoints.RecordLeaving(a.firstAt, a.grant) {
			j.s.OnLeaving(a.grant)
		}
		if response.RetryAfter > 0 && (response.RequestID == "" || response.RequestID == j.req.ID) { // the time of a copy began with its original
			j.s.Endpoints.RecordRetryAfter(a.firstAt, a.grant, response.RetryAfter)
		}
		body := http1.NewBody(a.conn.R, head.Length)
		if a.isOwnResponse(response.RequestID, j.req.ID) {
			if watched {
				if err := a.conn.OnSilence(a.ctx, 0, nil); err != nil {
					return err
				}
			}
			a.noReuse = a.noReuse || response.RequestID == "" // a copy of it could not be told from the next one
			a.head, a.response, a.body = head, response, body
			a.conn.SetAckTimeout(j.ackTimeout(true))
			if !response.NotRun && !isServerError(head.Status) && a.firstByteCounted.CompareAndSwap(false, true) {
				j.s.Endpoints.RecordFirstByte(a.firstAt, a.grant, a.firstAt.Sub(a.sentAt))
			}
			j.recordAnnouncement(a)
			if response.HasLoad && j.s.Endpoints.RecordLoad(a.firstAt, a.grant, response.Load.Running+response.Load.Waiting) && j.s.OnOverload != nil {
				j.s.OnOverload()
			}
			return j.checkHead(a)
		}
		a.noReuse, a.hadResponse = true, true
		a.mismatched++
		if mismatched >= maxMismatched || head.Close {
			return errors.New("response to another request")
		}
		if _, err := body.ReadAll(maxDrainBytes); err != nil {
			return errors.Wrap(err, "response to another request")
		}
		if response.RequestID == "" {
			began, err := j.tryElsewhere(a)
			if err != nil {
				return err
			}
			watched = watched || began
		}
	}
}

// watchOverdue records that the response has not begun when a slow version would be noticed by it. The returned function
// ends the watch.
func (j *job) watchOverdue(a *attempt) (stop func() bool) {
	after := j.s.Endpoints.OverdueAfter(a.grant)
	if after <= 0 {
		return func() bool { return true }
	}
	return time.AfterFunc(after-time.Since(a.sentAt), func() {
		if a.firstByteCounted.CompareAndSwap(false, true) {
			j.s.Endpoints.RecordOverdue(time.Now(), a.grant)
		}
	}).Stop
}

// isOwnResponse reports whether a response is to this request. One that names no request can be a copy
// of an earlier one, unless the connection has carried none.
func (a *attempt) isOwnResponse(id, own string) bool {
	return id == own || id == "" && !a.hadResponse
}

// tryElsewhere sends a request that may be repeated to another endpoint after a response that can be a refusal
// of this request or a copy of an earlier response, and reports whether it did. The endpoint's own response is taken if it comes first.
func (j *job) tryElsewhere(a *attempt) (bool, error) {
	if a.inTakeover() || !j.mayRetryServerError() || j.takeover != nil || a.conn.R.Buffered() > 0 {
		return false, nil
	}
	if err := j.watchSilence(a, time.Until(j.deadline)); err != nil {
		return false, err
	}
	j.beginTakeover(a)
	return true, nil
}

// checkHead rejects a success that the endpoint did not sign for this request, one that is
// marked as not run, and one whose body is encoded.
func (j *job) checkHead(a *attempt) error {
	success := a.head.Status >= 200 && a.head.Status < 300
	if a.response.NotRun {
		if success {
			return errors.New("success that says that the request has not run")
		}
		return nil
	}
	if success && (!a.response.Signed || a.response.RequestID != j.req.ID) {
		return errors.New("success without the endpoint's signature or the request's id")
	}
	if success && a.head.Get("Content-Encoding") != "" {
		return errors.New("response body has a Content-Encoding")
	}
	return nil
}

// promisesNotRun reports whether callers take a status for the word that their request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isServerError reports whether an endpoint that may have run a request failed. One whose status says that it has not
// run, without the endpoint's word for it, did.
func isServerError(status int) bool {
	return status >= http.StatusInternalServerError || promisesNotRun(status)
}

// drain reads a short response that is not passed on, so that its connection
// can be reused. A body that has not arrived yet is not worth the wait.
func (j *job) drain(a *attempt) {
	noReuse := a.noReuse
	a.noReuse = true // an unread rest would be taken for the next response
	if a.head.Length == http1.UntilClose || a.stream != nil || a.conn.SetReadDeadline(time.Now().Add(drainTimeout)) != nil {
		return
	}
	if _, err := a.body.ReadAll(maxDrainBytes); err == nil {
		a.noReuse = noReuse
	}
}
