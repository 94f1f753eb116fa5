package forward

import (
	"time"
)

// firstByteFactor bounds the silence up to the end of the head of the response to a request that may be
// retried, and within its body if it is no stream, as a multiple of its objective. After it another
// endpoint is tried. It is not 1, because a second endpoint processes the prompt again.
const firstByteFactor = 2

// watchSilences makes another endpoint be tried after a silence of firstByteFactor objectives, if the
// request may be retried elsewhere and its deadline is at least two such waits away. It reports whether it does.
func (j *job) watchSilences(a *attempt) (bool, error) {
	silence, left := firstByteFactor*j.route.Objective, time.Until(j.deadline)
	switch {
	case a.inTakeover(), j.takeover != nil: // which wakes it
		return true, j.watchSilence(a, max(silence, left/2))
	case !j.mayRetryElsewhere(a.grant.Service) || left < 2*silence:
		return false, nil
	}
	return true, j.watchSilence(a, silence)
}

// watchSilence makes a silence of an attempt, and the end of its successor, call onSilence.
func (j *job) watchSilence(a *attempt, d time.Duration) error {
	return a.conn.OnSilence(a.ctx, d, func(woken bool) error {
		if a.inTakeover() {
			return nil
		}
		return j.onSilence(a, woken)
	})
}

// inTakeover reports whether the attempt is a successor beside another one, which goes on to use the job.
func (a *attempt) inTakeover() bool { return a.successorIn != nil && !a.successorIn.alone.Load() }

// mayRetryElsewhere reports whether the request may also run at another
// endpoint of the service.
func (j *job) mayRetryElsewhere(service string) bool {
	return j.mayRunAgain() && j.route.Objective > 0 && j.runs < j.maxRuns &&
		j.s.Endpoints.CountHealthy(time.Now(), j.balanceRequest(service)) > 0
}

// onSilence handles that the endpoint of an attempt has sent or taken nothing for a while, or that its successor is
// done. Silence alone is no failure, so that the attempt goes on unless it returns an error.
func (j *job) onSilence(a *attempt, woken bool) error {
	if t := j.takeover; t != nil {
		switch {
		case t.outOfReach.Load():
			return errOutOfReach
		case !t.answered.Load():
			return nil
		}
		<-t.done
		if t.has(TakeoverDone) {
			return errTakenOver
		}
		j.endSuccessor()
	} else if woken {
		return nil // by a takeover that was settled meanwhile
	}
	if !j.mayRetryElsewhere(a.grant.Service) || j.refusals >= maxRefusals {
		return nil
	}
	if !j.rec.HeadSent && j.hasRelay() && j.viaRelay() {
		if !j.s.RetryBudget.Allow(time.Now(), a.grant.Service) {
			return nil
		}
		a.retryAllowed = true
		return errSlowFirstByte
	}
	j.beginTakeover(a)
	return nil
}

// hasRelay reports whether there is another router that reaches the service.
func (j *job) hasRelay() bool {
	addr, ok := j.s.Links.AcquireRelay(time.Now(), j.relayedService(), j.relays)
	if ok {
		j.s.Links.ReleaseRelay(addr)
	}
	return ok
}
