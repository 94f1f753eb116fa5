package permits

import (
	"cmp"
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/request/loadshed"
)

const (
	// waitFraction is the fraction of what is left of its objective that a call may wait.
	waitFraction = 0.4
	// replyMargin is the time by which the owner's wait ends before that of the asking
	// router: the ask and the last reply are under way, and Expire runs every 10 ms.
	// It takes at most marginFraction of the wait.
	replyMargin    = 18 * time.Millisecond
	marginFraction = 0.25
	// waitSafety is the factor by which the wait of a call may exceed the expected one.
	waitSafety = 1.25
	// refuseWithin is the fraction of its objective within which a call is refused if
	// it turns out to wait too long. Later than that, waiting on costs it nothing.
	refuseWithin = 0.125
	// beyondMargin is the factor by which the slots kept for usual calls exceed those
	// that they fill on average, and leastBeyond the part of all slots that other calls
	// may fill in any case.
	beyondMargin = 1.4
	leastBeyond  = 0.1
	// keptFree is the part of the slots that is left free for usual calls when others get more than
	// their part: the usual ones that arrive at once then need not wait.
	keptFree = 0.15
	// meanWork is the work that the mean work counts as in the order by work and rank.
	// It is in the middle of a band, so that small changes of means change no order.
	meanWork = 76 * time.Millisecond
)

// waiting is an ask that waits for a permit.
type waiting struct {
	key        key
	ask        Ask
	asked      time.Time
	until      time.Time // end of its wait
	retryAfter time.Duration
	ended      bool

	// The order of grants: returned callers first, then by level, then by start.
	returned  bool
	committed bool
	level     int
	start     float64
	sequence  uint64
	workspace *workspace
	cost      float64
}

// beyond reports whether the ask is beyond the usual rate of its workspace.
func (w *waiting) beyond() bool { return w.level >= levelsPerProfile }

func compareWaiting(a, b *waiting) int {
	return cmp.Or(cmp.Compare(flag(a.beyond()), flag(b.beyond())), cmp.Compare(flag(!a.returned), flag(!b.returned)),
		cmp.Compare(flag(!a.committed), flag(!b.committed)), cmp.Compare(a.level, b.level),
		cmp.Compare(a.start, b.start), cmp.Compare(a.sequence, b.sequence))
}

// enqueue adds an ask to those that wait.
func (o *Owner) enqueue(now time.Time, k key, a Ask) *waiting {
	wait := a.Wait
	if a.Objective > 0 {
		wait = min(wait, time.Duration(waitFraction*float64(a.Objective)))
	}
	margin := min(replyMargin, time.Duration(marginFraction*float64(wait)))
	w := &waiting{key: k, ask: a, asked: now, until: now.Add(wait - margin), sequence: o.sequence}
	o.sequence++
	space, usual := o.workspaces.arrive(now, a.Workspace)
	work := o.works.of(a.Class)
	w.workspace, w.cost = space, float64(work)/float64(o.works.of(0))
	relative := time.Duration(w.cost * float64(meanWork))
	w.start = o.workspaces.start(now, space, w.cost)
	w.level = loadshed.PriorityBand(relative, min(max(a.Rank, 0), maxLevel), 0)
	if !usual {
		w.level += levelsPerProfile
	}
	if p, ok := o.appointments.take(now, &a); ok {
		w.returned, w.level = true, min(w.level, p.level)
	} else {
		o.demand.add(now, w.level)
	}
	at, _ := slices.BinarySearchFunc(o.waiting, w, compareWaiting)
	o.waiting = slices.Insert(o.waiting, at, w)
	return w
}

// dispatch grants permits to waiting asks, in their order, while there is room.
func (o *Owner) dispatch(now time.Time) {
	for i := 0; i < len(o.waiting); {
		w := o.waiting[i]
		if now.After(w.until) { // Expire refuses it
			i++
			continue
		}
		if !o.anyUsable(&w.ask) {
			o.drop(now, w)
			o.end(now, w.key, Reply{Number: w.key.number})
		} else if w.beyond() && !o.mayExceed(now) {
			return
		} else if e := o.bestEndpoint(now, w); e != nil {
			w.ended = true
			o.workspaces.granted(w.start)
			p := o.grant(now, w.key, &w.ask, e)
			p.beyond = w.beyond()
			o.beyond += flag(p.beyond)
		} else if len(w.ask.Exclude) == 0 {
			return // no endpoint has room
		} else {
			i++
			continue
		}
		o.waiting = slices.Delete(o.waiting, i, i+1)
	}
}

// drop ends an ask without a permit; the caller removes it from o.waiting.
func (o *Owner) drop(now time.Time, w *waiting) {
	w.ended = true
	o.workspaces.refund(now, w.workspace, w.cost)
}

// bestEndpoint returns the endpoint with room where a call takes the shortest time, or nil.
func (o *Owner) bestEndpoint(now time.Time, w *waiting) *endpoint {
	a := &w.ask
	work := o.works.of(a.Class)
	var best *endpoint
	var shortest time.Duration
	ties := 0
	for _, e := range o.endpoints {
		if !usable(e, a) || !o.hasRoom(now, e, w.beyond()) {
			continue
		}
		expected := o.expected(now, e, a, work)
		switch {
		case best == nil || cmp.Or(cmp.Compare(flag(e.Cold), flag(best.Cold)), cmp.Compare(expected, shortest)) < 0:
			best, shortest, ties = e, expected, 1
		case e.Cold == best.Cold && expected == shortest:
			if ties++; o.draw()*float64(ties) < 1 {
				best = e
			}
		}
	}
	return best
}

// expected returns how long a call would take at an endpoint.
func (o *Owner) expected(now time.Time, e *endpoint, a *Ask, work time.Duration) time.Duration {
	load, mean := e.load(now, overdueMeans*o.took), o.works.of(0)
	d := e.expected(load, o.pace(now, e), mean, work)
	if a.Zone != "" && e.Zone != a.Zone {
		d += crossZone
	}
	// Among endpoints with free slots, prefer the least used one.
	return d + time.Duration(load/float64(max(e.Slots, 1))*float64(time.Millisecond))
}

// hasRoom reports whether an endpoint may get one more permit.
func (o *Owner) hasRoom(now time.Time, e *endpoint, beyond bool) bool {
	held := len(e.held)
	if now.Sub(o.began) < startPhase {
		beyond := max(e.load(now, overdueMeans*o.took)-float64(held), 0)
		free := float64(e.Slots) - beyond
		return free >= 1 && held < max(1, int(free/2))
	}
	limit := e.limit(o.pace(now, e))
	if beyond {
		limit = float64(e.Slots) // no queue
	}
	return e.load(now, overdueMeans*o.took)+1 <= limit
}

// mayExceed reports whether one more call beyond its workspace's usual rate may run:
// such calls get the slots that the usual calls of all workspaces do not need, and those that
// are free while enough others are.
func (o *Owner) mayExceed(now time.Time) bool {
	total, free := 0, 0.0
	for _, e := range o.endpoints {
		total += e.Slots
		free += max(float64(e.Slots)-e.load(now, overdueMeans*o.took), 0)
	}
	if free >= 1+keptFree*float64(total) {
		return true
	}
	used := beyondMargin * o.demand.before(now, levelsPerProfile) / max(o.perSecond(now, true), 1)
	return float64(o.beyond) < max(1, float64(total)*max(1-used, leastBeyond))
}

// perSecond returns how many calls the endpoints complete in a second, beside the load
// beyond permits, at their lasting pace or at the one expected now.
func (o *Owner) perSecond(now time.Time, lasting bool) float64 {
	slots := 0.0
	for _, e := range o.endpoints {
		pace := o.pace(now, e)
		if lasting && e.pace.lasting > 0 {
			pace = e.pace.lasting
		}
		free := float64(e.Slots) - max(e.excess*decay(now.Sub(e.excessAt), excessConstant), 0)
		slots += max(free, 0) / pace
	}
	return slots / o.works.of(0).Seconds()
}

// timeToGrant returns the expected time until an ask with this many before it gets a
// permit. More urgent asks that arrive meanwhile go before it.
func (o *Owner) timeToGrant(now time.Time, w *waiting, ahead int) time.Duration {
	rate := o.perSecond(now, false)
	if !w.returned {
		rate -= o.demand.before(now, w.level)
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	return min(time.Duration(waitSafety*float64(ahead+1)/rate*float64(time.Second)), maxRetryAfter)
}

// admit lets a new ask that got no permit wait, or refuses it.
func (o *Owner) admit(now time.Time, w *waiting) {
	i := slices.Index(o.waiting, w)
	if now.Add(o.timeToGrant(now, w, i)).After(w.until) {
		o.waiting = slices.Delete(o.waiting, i, i+1)
		o.refuse(now, w)
		return
	}
	o.stats.Queued++
	w.retryAfter = o.timeToGrant(now, w, len(o.waiting))
	o.replies = append(o.replies, Addressed{w.key.router, Reply{Number: w.key.number, Queued: true, RetryAfter: w.retryAfter}})
}

// refuse refuses an ask with a retry time at which there will be room.
func (o *Owner) refuse(now time.Time, w *waiting) {
	o.drop(now, w)
	a := appointment{level: w.level, workspace: w.ask.Workspace, rank: w.ask.Rank, class: w.ask.Class, request: w.ask.Request}
	spare := o.spare(now, w.level)
	longest := maxRetryAfter
	if w.ask.Return > 0 {
		longest = min(longest, w.ask.Return)
	}
	after := o.appointments.add(now, a, min(o.timeToGrant(now, w, len(o.waiting)), longest), longest, spare, o.draw)
	o.end(now, w.key, Reply{Number: w.key.number, Refused: true, RetryAfter: after})
}

// spare returns how many callers of a level may return in a second.
func (o *Owner) spare(now time.Time, level int) float64 {
	capacity := o.perSecond(now, true)
	before, through := o.demand.before(now, level), o.demand.before(now, level+1)
	// At the onset of a surge, the demand of the last second is too low.
	rising := max(o.workspaces.perSecondNow(now)/max(o.demand.before(now, maxLevel), 1), 1)
	left := usableCapacity*capacity - before*rising
	return max(left-(through-before)*rising, returnedPart*left, leastPart*capacity)
}

// expireWaiting refuses the asks whose wait has ended, and the recent ones that will
// wait too long because more urgent ones arrived.
func (o *Owner) expireWaiting(now time.Time) {
	kept := o.waiting[:0]
	var refused []*waiting
	for _, w := range o.waiting {
		recent := now.Sub(w.asked) < time.Duration(refuseWithin*float64(w.ask.Objective))-transit
		if !now.Before(w.until) || recent && !w.returned && now.Add(o.timeToGrant(now, w, len(kept))).After(w.until) {
			refused = append(refused, w)
			continue
		}
		w.committed = !recent
		kept = append(kept, w)
	}
	clear(o.waiting[len(kept):])
	o.waiting = kept
	slices.SortStableFunc(o.waiting, compareWaiting)
	for _, w := range refused {
		o.refuse(now, w)
	}
}
