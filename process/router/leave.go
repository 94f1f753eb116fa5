package router

import (
	"context"
	"time"
)

const (
	// answerTTL is how long callers keep addresses. Some keep them three times
	// as long.
	answerTTL = time.Second
	// heldLonger is how many times its TTL an answer may be used.
	heldLonger = 3
	// closeBefore is the time before the end of the grace at which connections
	// without a request are closed and no new ones are accepted.
	closeBefore = 1200 * time.Millisecond
	// endBefore is the time before the end of the grace at which the process ends.
	endBefore = 400 * time.Millisecond
	// streamsFor is how long a leaving router takes new streams: until callers keep
	// no address of it any more, while there is time for a stream to end.
	streamsFor = heldLonger*answerTTL + 500*time.Millisecond
	// leavePoll is the pause between looks at what is still open.
	leavePoll = 50 * time.Millisecond
)

// addresses names the routers that take requests.
func (r *Router) addresses(AddressQuery) ([]string, time.Duration) {
	var list []string
	if r.Ready() {
		list = append(list, r.s.Front)
	}
	for _, m := range r.peers.Ready(time.Now()) {
		list = append(list, m.Front)
	}
	ttl := answerTTL
	if most := r.bounds.Load().AnswerTTLMax; most > 0 {
		ttl = min(ttl, most)
	}
	return list, ttl
}

// refusesStreams reports whether new streams are refused, as the process ends
// before they do.
func (r *Router) refusesStreams() bool {
	until := r.streamsUntil.Load()
	return until != 0 && time.Now().UnixNano() > until
}

// Shutdown ends the process without cutting off requests: it is named to nobody
// from now on, serves what still arrives, and returns when nothing is open or
// the grace is nearly over.
func (r *Router) Shutdown() {
	began, grace := time.Now(), r.bounds.Load().Grace
	r.front.StartDrain()
	r.streamsUntil.Store(began.Add(streamsFor).UnixNano())
	r.leaving.Store(true)
	open, busy := r.front.ConnectionCounts()
	r.log.Info("leaving", "open", open, "busy", busy, "grace_ms", grace.Milliseconds())
	if r.exchange != nil {
		r.exchange.SendNow()
	}
	if err := r.writeRecord(context.Background(), nil); err != nil {
		r.log.Info("own record not removed", "error", err.Error())
	}
	unused := began.Add(heldLonger*answerTTL + time.Second)
	last := began.Add(grace - closeBefore)
	for time.Now().Before(last) {
		open, _ := r.front.ConnectionCounts()
		if open == 0 && time.Now().After(unused) {
			break
		}
		time.Sleep(leavePoll)
	}
	_ = r.listeners.front.Close() // callers that still connect are refused at once and go elsewhere
	r.front.CloseIdle()
	end := began.Add(grace - endBefore)
	for time.Now().Before(end) {
		if open, _ = r.front.ConnectionCounts(); open == 0 {
			break
		}
		time.Sleep(leavePoll)
	}
	open, busy = r.front.ConnectionCounts()
	r.log.Info("ended", "open", open, "busy", busy, "took_ms", time.Since(began).Milliseconds())
	r.Close()
}

// Close ends the process at once, with its connections.
func (r *Router) Close() {
	r.closing.Do(func() {
		r.leaving.Store(true)
		if r.listeners.front != nil {
			_ = r.listeners.front.Close()
		}
		r.front.Close()
		for _, s := range r.listeners.http {
			_ = s.Close()
		}
		if r.stop != nil {
			r.stop()
		}
		r.group.Wait()
	})
}
