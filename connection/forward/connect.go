package forward

import (
	"context"
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/connection/http1"
)

const (
	// repeatableAckTimeout is how long the host of an endpoint may acknowledge nothing until the connection has failed, for a
	// request that may go on elsewhere.
	repeatableAckTimeout = 2 * time.Second
	// longAckTimeout is the same for other requests, and while an endpoint may not have taken all of a body: a sound one
	// takes nothing while it is silent, which counts as if its host were.
	longAckTimeout = 4 * time.Second
	// leastWindow is what the receive window of an endpoint holds at least.
	leastWindow = 4 << 10
)

// ackTimeout returns the silence after which the host of an endpoint is given up. taken tells that the endpoint has the whole request.
func (j *job) ackTimeout(taken bool) time.Duration {
	if j.route.Retryable() && (taken || len(j.x.Body) <= leastWindow) {
		return repeatableAckTimeout
	}
	return longAckTimeout
}

// usable returns the function that reports whether no response to the request can have come on a connection before. Until
// the request ends, that is known of all its connections.
func (j *job) usable() func(c *http1.Conn) bool {
	request, answeredOn := j.requestHash(), j.answeredOn
	return func(c *http1.Conn) bool { return !slices.Contains(answeredOn, c) && !c.HasAnswered(request) }
}

// recordAnswered records that the request got a response on a connection and may be sent again.
func (j *job) recordAnswered(c *http1.Conn) {
	j.answeredOn = append(j.answeredOn, c)
	c.RecordAnswered(j.requestHash())
}

// connect takes an idle connection or opens one.
func (j *job) connect(a *attempt) error {
	pool := j.s.Pool
	if a.relayed {
		pool = j.s.RelayPool
	}
	a.conn = pool.Get(a.grant.Addr, time.Now(), a.usable)
	if a.conn == nil {
		c, err := pool.Dial(a.ctx, a.grant.Addr, connectTimeout)
		if err != nil {
			return err
		}
		a.conn = c
		a.dials++
		if !a.relayed {
			j.s.Links.Connected(time.Now(), a.grant)
		}
	}
	a.hadResponse = a.conn.Received()
	a.conn.SetAckTimeout(j.ackTimeout(false))
	conn := a.conn
	a.stopWatch = context.AfterFunc(a.ctx, func() {
		_ = conn.SetDeadline(time.Unix(1, 0)) // wakes a read or write in progress
	})
	return nil
}
