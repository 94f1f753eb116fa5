package upstream

import (
	"time"

	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/outcome"
)

const (
	// endpointRestartTime is the usual time until a crashed endpoint serves again.
	endpointRestartTime = 2500 * time.Millisecond
	// minLimitedRetryAfter is the minimum retry time for a service whose endpoints are limited.
	minLimitedRetryAfter = 200 * time.Millisecond
	// longestRetryInterval bounds the time between the callers that are told to come back.
	longestRetryInterval = 4 * time.Second
	// minRetryAfter is the minimum retry time for a service without endpoints.
	minRetryAfter = 600 * time.Millisecond
	// retryJitter is the fraction by which retry times are randomly extended, so that
	// callers do not all retry at once.
	retryJitter = 0.4
)

// retryAfter returns when a caller should retry a service that has no endpoint
// now: when a cold endpoint has capacity, or when lost endpoints are likely to
// serve again.
func (t *Table) retryAfter(now time.Time, req balance.Request, code outcome.Code) time.Duration {
	wait := coldWindow / 2
	switch {
	case code == outcome.EndpointCold:
	case req.Version != nil: // the service may have endpoints of other versions
		wait = endpointRestartTime
	default:
		since, ok := t.downSince[req.Service]
		if !ok || now.Sub(since) > 2*endpointRestartTime {
			since = now
			t.downSince[req.Service] = now
		}
		wait = max(minRetryAfter, endpointRestartTime-now.Sub(since))
	}
	return time.Duration(float64(wait) * (1 + retryJitter*t.draw()))
}

// unavailable is why the endpoints of a service get no request now: the code and the wait
// of the one that takes requests first.
type unavailable struct {
	code outcome.Code // OK if there are none
	wait time.Duration
}

func (u *unavailable) add(code outcome.Code, wait time.Duration) {
	if u.code == outcome.OK || wait < u.wait {
		u.code, u.wait = code, wait
	}
}

// refuseUnavailable refuses a request for which no endpoint is usable.
func (t *Table) refuseUnavailable(now time.Time, req balance.Request, out unavailable) *balance.Refusal {
	switch out.code {
	case outcome.EndpointAtCap:
		return &balance.Refusal{Code: out.code, RetryAfter: out.wait}
	case outcome.EndpointLimited:
		return t.refuseLimited(now, req, out.wait)
	case outcome.EndpointCold:
		return &balance.Refusal{Code: out.code, RetryAfter: t.retryAfter(now, req, out.code)}
	}
	return &balance.Refusal{Code: outcome.NoEndpoint, RetryAfter: t.retryAfter(now, req, outcome.NoEndpoint)}
}

// refuseLimited refuses a request because the endpoints take no more requests a second.
// Callers come back at the rate of this router's part of the limits.
func (t *Table) refuseLimited(now time.Time, req balance.Request, soonest time.Duration) *balance.Refusal {
	interval := longestRetryInterval
	if rate := t.limitedRate + t.roomRate; rate > 0 {
		interval = min(interval, time.Duration(float64(time.Second)/rate))
	}
	return &balance.Refusal{Code: outcome.EndpointLimited, RetryAfter: t.loadOf(req.Service).retries.Next(now, max(minLimitedRetryAfter, soonest), interval, t.draw()),
		PriorityRank: req.PriorityRank}
}
