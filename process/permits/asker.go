package permits

import (
	"slices"
	"time"
)

const (
	// ReplyTimeout is how long a router waits for any reply of the owner.
	ReplyTimeout = 30 * time.Millisecond
	// missesBeforePause is the number of asks in a row without any reply after which
	// a router does not ask for pauseDuration.
	missesBeforePause = 3
	pauseDuration     = time.Second
	// repeatAfter is when an ask without a reply is repeated once: a reply takes at most
	// two hops of 4 ms and the time that processes need.
	repeatAfter = 13 * time.Millisecond
	// pollEvery is how often a queued ask is repeated, in case the grant was lost.
	pollEvery = 40 * time.Millisecond
	// duplicateWindow is how long after a grant the same grant may arrive again.
	duplicateWindow = time.Second
)

// Verdict is what a router does with a call after its Ask.
type Verdict int

const (
	// Without lets the call proceed as without permits.
	Without Verdict = iota
	// Granted sends the call to Result.Endpoint.
	Granted
	// Refused refuses the call with Result.RetryAfter.
	Refused
)

// Result is the outcome of an Ask.
type Result struct {
	Number     int64
	Verdict    Verdict
	Missed     bool // Verdict is Without because the owner did not reply
	Endpoint   string
	Started    int64
	RetryAfter time.Duration
}

// Expired is what Asker.Expire found due.
type Expired struct {
	Results []Result // asks that ended
	Repeat  []Ask    // asks to send again, unchanged
	Dones   []Done   // messages to the owner that withdraw asks
}

// Asker holds the asks of one router for the permits of one service.
type Asker struct {
	service     string
	next        int64
	pending     []pendingAsk // in the order of their numbers
	granted     []grantedAsk // in the order of the grants
	misses      int
	pausedUntil time.Time
}

type grantedAsk struct {
	number int64
	until  time.Time // end of duplicateWindow
}

type pendingAsk struct {
	ask        Ask
	replyBy    time.Time // until when any reply has to arrive
	repeatAt   time.Time // when the ask is repeated; zero is never
	grantBy    time.Time // until when a queued ask has to be granted
	queued     bool
	retryAfter time.Duration // of the last reply
}

// end returns when the ask ends without a further reply.
func (p *pendingAsk) end() time.Time {
	if p.queued {
		return p.grantBy
	}
	return p.replyBy
}

// NewAsker returns an Asker for a service. Its asks are numbered from first on,
// which has to be higher than the numbers that the router used before a restart: its
// start time in milliseconds, for example.
func NewAsker(service string, first int64) *Asker {
	return &Asker{service: service, next: first}
}

// Ask numbers an ask, which the caller sends to the owner. It returns false, and the
// call proceeds as without permits, while the Asker pauses.
func (a *Asker) Ask(now time.Time, ask Ask) (Ask, bool) {
	if now.Before(a.pausedUntil) {
		return Ask{}, false
	}
	a.granted = slices.DeleteFunc(a.granted, func(g grantedAsk) bool { return now.After(g.until) })
	ask.Number, ask.Service = a.next, a.service
	a.next++
	a.pending = append(a.pending, pendingAsk{ask: ask, replyBy: now.Add(ReplyTimeout), repeatAt: now.Add(repeatAfter),
		grantBy: now.Add(ask.Wait)})
	return ask, true
}

// Reply processes a reply of the owner. ended reports whether the ask ended with
// result. If back is not nil, the reply granted a permit too late, and back returns
// it to the owner.
func (a *Asker) Reply(now time.Time, r Reply) (result Result, ended bool, back *Done) {
	i := a.index(r.Number)
	if i < 0 {
		if r.Granted && !a.isDuplicate(now, r.Number) {
			back = &Done{Number: r.Number, Service: a.service, Endpoint: r.Endpoint, Started: r.Started}
		}
		return Result{}, false, back
	}
	a.misses = 0
	p := &a.pending[i]
	if r.Queued {
		p.queued, p.retryAfter, p.repeatAt = true, r.RetryAfter, now.Add(pollEvery)
		return Result{}, false, nil
	}
	result = Result{Number: r.Number}
	switch {
	case r.Granted:
		result.Verdict, result.Endpoint, result.Started = Granted, r.Endpoint, r.Started
		a.granted = append(a.granted, grantedAsk{r.Number, now.Add(duplicateWindow)})
	case r.Refused:
		result.Verdict, result.RetryAfter = Refused, r.RetryAfter
	}
	a.pending = slices.Delete(a.pending, i, i+1)
	return result, true, nil
}

// isDuplicate reports whether the ask was granted before. The owner replies again to
// an ask that was repeated while its reply was under way.
func (a *Asker) isDuplicate(now time.Time, number int64) bool {
	a.granted = slices.DeleteFunc(a.granted, func(g grantedAsk) bool { return now.After(g.until) })
	return slices.ContainsFunc(a.granted, func(g grantedAsk) bool { return g.number == number })
}

// Expire ends the asks that waited too long. It is called at Deadline.
func (a *Asker) Expire(now time.Time) Expired {
	var e Expired
	for i := range a.pending {
		if p := &a.pending[i]; !p.repeatAt.IsZero() && !now.Before(p.repeatAt) && now.Before(p.end()) {
			e.Repeat = append(e.Repeat, p.ask)
			p.repeatAt = time.Time{}
			if p.queued {
				p.repeatAt = now.Add(pollEvery)
			}
		}
	}
	a.pending = slices.DeleteFunc(a.pending, func(p pendingAsk) bool {
		switch {
		case now.Before(p.end()):
			return false
		case p.queued:
			e.Results = append(e.Results, Result{Number: p.ask.Number, Verdict: Refused, RetryAfter: p.retryAfter})
		default:
			e.Results = append(e.Results, Result{Number: p.ask.Number, Missed: true})
			if a.misses++; a.misses >= missesBeforePause {
				// One more miss after the pause starts the next one.
				a.misses, a.pausedUntil = missesBeforePause-1, now.Add(pauseDuration)
			}
		}
		e.Dones = append(e.Dones, Done{Number: p.ask.Number, Service: a.service})
		return true
	})
	return e
}

// Deadline returns when Expire is to be called next. It returns false while no ask
// is pending.
func (a *Asker) Deadline() (time.Time, bool) {
	var first time.Time
	for i := range a.pending {
		at := a.pending[i].end()
		if repeat := a.pending[i].repeatAt; !repeat.IsZero() && repeat.Before(at) {
			at = repeat
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// Cancel ends an ask whose caller has left. It returns false if the ask is not
// pending; otherwise the Done withdraws it at the owner.
func (a *Asker) Cancel(number int64) (Done, bool) {
	i := a.index(number)
	if i < 0 {
		return Done{}, false
	}
	a.pending = slices.Delete(a.pending, i, i+1)
	return Done{Number: number, Service: a.service}, true
}

// OwnerChanged ends a pause, because the service has another owner. Pending asks
// end as if the new owner did not reply.
func (a *Asker) OwnerChanged() {
	a.misses, a.pausedUntil = 0, time.Time{}
}

func (a *Asker) index(number int64) int {
	return slices.IndexFunc(a.pending, func(p pendingAsk) bool { return p.ask.Number == number })
}
