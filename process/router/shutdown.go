package router

import (
	"context"
	"time"

	"github.com/stoatmount/stoatmount/connection/forward"
)

const (
	// addressTTL is how long callers may cache addresses. Some cache them three times as long.
	addressTTL = time.Second
	// maxTTLMultiple is the multiple of the TTL for which addresses may be used.
	maxTTLMultiple = 3
	// closeBeforeGraceEnd is the time before the end of the grace period at which idle
	// connections are closed and no new ones are accepted.
	closeBeforeGraceEnd = 1200 * time.Millisecond
	// answerBeforeGraceEnd is the time before the end of the grace period at which requests whose response
	// has not begun are answered that they may have run. Requests that are taken late are complete by then.
	answerBeforeGraceEnd = 400 * time.Millisecond
	// endBeforeGraceEnd is the time before the end of the grace period at which streams end.
	endBeforeGraceEnd = 150 * time.Millisecond
	// exitBeforeGraceEnd is the time before the end of the grace period at which the
	// process exits.
	exitBeforeGraceEnd = 100 * time.Millisecond
	// drainPoll is the pause between checks for open connections.
	drainPoll = 50 * time.Millisecond
)

// others returns how many other routers take requests, and how many do not of which callers may have the addresses.
func (r *Router) others() forward.Others {
	now := time.Now()
	return forward.Others{Ready: r.peers.CountReady(now), Unready: r.peers.CountUnready(now, maxTTLMultiple*addressTTL)}
}

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

// Shutdown stops the process without interrupting requests: it withdraws the
// address at once, serves requests that still arrive and are complete before its end, and returns
// when no connection is open or the grace period, which began then or later, is nearly over.
func (r *Router) Shutdown(began time.Time) {
	grace := r.bounds.Load().Grace
	r.front.StartDrain()
	r.relayed.StartDrain()
	addressesExpire := began.Add(maxTTLMultiple * addressTTL)
	plan := forward.DrainPlan{Began: began, AddressesExpire: addressesExpire,
		End: began.Add(grace - answerBeforeGraceEnd), StreamsEnd: began.Add(grace - endBeforeGraceEnd), Exit: began.Add(grace - exitBeforeGraceEnd)}
	r.requests.StartDrain(plan)
	r.draining.Store(true)
	open, busy := r.connectionCounts()
	r.log.Info("leaving", "open", open, "busy", busy, "grace_ms", grace.Milliseconds(), "late_ms", time.Since(began).Milliseconds())
	if r.exchange != nil {
		r.exchange.SendNow()
	}
	r.group.Go(func() { r.removeRecord(plan.Exit) })
	lastArrival := addressesExpire.Add(time.Second)
	stopAccepting := began.Add(grace - closeBeforeGraceEnd)
	for time.Now().Before(stopAccepting) {
		open, _ := r.connectionCounts()
		if open == 0 && time.Now().After(lastArrival) {
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
	r.awaitClosed(plan.End)
	r.requests.EndWaiting()
	r.awaitClosed(plan.StreamsEnd)
	if _, busy := r.connectionCounts(); busy > 0 {
		r.log.Info("ending the requests in progress", "busy", busy, "after_ms", time.Since(began).Milliseconds())
	}
	r.requests.EndRequests()
	r.awaitClosed(plan.Exit)
	open, busy = r.connectionCounts()
	r.log.Info("ended", "open", open, "busy", busy, "took_ms", time.Since(began).Milliseconds())
	r.Close()
}

// removeRecord removes this router's record, until end at the latest.
func (r *Router) removeRecord(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end) // not that of the router: Close waits for it
	defer cancel()
	if err := r.writeRecord(ctx, nil); err != nil {
		r.log.Info("removing own record failed", "error", err.Error())
	}
}

// awaitClosed waits until no connection is open, or until end.
func (r *Router) awaitClosed(end time.Time) {
	for time.Now().Before(end) {
		if open, _ := r.connectionCounts(); open == 0 {
			return
		}
		time.Sleep(drainPoll)
	}
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
		r.strangers.Close()
		for _, s := range r.listeners.http {
			_ = s.Close()
		}
		if r.stop != nil {
			r.stop()
		}
		r.group.Wait()
	})
}
