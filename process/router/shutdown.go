package router

import (
	"context"
	"time"
)

const (
	// addressTTL is how long callers may cache addresses. Some cache them three times as long.
	addressTTL = time.Second
	// maxTTLMultiple is the multiple of the TTL for which addresses may be used.
	maxTTLMultiple = 3
	// closeBeforeGraceEnd is the time before the end of the grace period at which idle
	// connections are closed and no new ones are accepted.
	closeBeforeGraceEnd = 1200 * time.Millisecond
	// exitBeforeGraceEnd is the time before the end of the grace period at which the
	// process exits.
	exitBeforeGraceEnd = 400 * time.Millisecond
	// acceptStreamsFor is how long a draining router accepts new streams: callers may
	// cache its address that long, and a later stream might not end in the grace period.
	acceptStreamsFor = maxTTLMultiple*addressTTL + 500*time.Millisecond
	// drainPoll is the pause between checks for open connections.
	drainPoll = 50 * time.Millisecond
)

// addresses returns the addresses of the routers that take requests, in all zones.
func (r *Router) addresses(AddressQuery) ([]string, time.Duration) {
	var list []string
	if r.Ready() {
		list = append(list, r.s.Front)
	}
	for _, m := range r.peers.Ready(time.Now()) {
		list = append(list, m.Front)
	}
	ttl := addressTTL
	if maxTTL := r.bounds.Load().AnswerTTLMax; maxTTL > 0 {
		ttl = min(ttl, maxTTL)
	}
	return list, ttl
}

// refusesStreams reports whether new streams are refused, since the process may end
// before they do.
func (r *Router) refusesStreams() bool {
	until := r.acceptStreamsUntil.Load()
	return until != 0 && time.Now().UnixNano() > until
}

// Shutdown stops the process without interrupting requests: it withdraws the
// address at once, serves requests that still arrive, and returns when no connection
// is open or the grace period is nearly over.
func (r *Router) Shutdown() {
	began, grace := time.Now(), r.bounds.Load().Grace
	r.front.StartDrain()
	r.relayed.StartDrain()
	r.acceptStreamsUntil.Store(began.Add(acceptStreamsFor).UnixNano())
	r.draining.Store(true)
	open, busy := r.connectionCounts()
	r.log.Info("leaving", "open", open, "busy", busy, "grace_ms", grace.Milliseconds())
	if r.exchange != nil {
		r.exchange.SendNow()
	}
	if err := r.writeRecord(context.Background(), nil); err != nil {
		r.log.Info("removing own record failed", "error", err.Error())
	}
	addressesExpired := began.Add(maxTTLMultiple*addressTTL + time.Second)
	stopAccepting := began.Add(grace - closeBeforeGraceEnd)
	for time.Now().Before(stopAccepting) {
		open, _ := r.connectionCounts()
		if open == 0 && time.Now().After(addressesExpired) {
			break
		}
		time.Sleep(drainPoll)
	}
	_ = r.listeners.front.Close() // callers that still connect are refused at once and use another router
	if r.listeners.relay != nil {
		_ = r.listeners.relay.Close()
	}
	r.front.CloseIdle()
	r.relayed.CloseIdle()
	end := began.Add(grace - exitBeforeGraceEnd)
	for time.Now().Before(end) {
		if open, _ = r.connectionCounts(); open == 0 {
			break
		}
		time.Sleep(drainPoll)
	}
	open, busy = r.connectionCounts()
	r.log.Info("ended", "open", open, "busy", busy, "took_ms", time.Since(began).Milliseconds())
	r.Close()
}

// connectionCounts returns the number of open connections of callers and other routers, and
// of those with a request.
func (r *Router) connectionCounts() (open, busy int) {
	open, busy = r.front.ConnectionCounts()
	_, relayed := r.RelayedConnections() // other routers keep idle ones open
	return open + relayed, busy + relayed
}

// Close stops the process at once and closes its connections.
func (r *Router) Close() {
	r.closing.Do(func() {
		r.draining.Store(true)
		if r.listeners.front != nil {
			_ = r.listeners.front.Close()
		}
		if r.listeners.relay != nil {
			_ = r.listeners.relay.Close()
		}
		r.front.Close()
		r.relayed.Close()
		for _, s := range r.listeners.http {
			_ = s.Close()
		}
		if r.stop != nil {
			r.stop()
		}
		r.group.Wait()
	})
}
