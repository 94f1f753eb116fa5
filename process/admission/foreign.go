package admission

import "time"

// doubtTime is how long a report is kept to be explained by later releases.
const doubtTime = time.Second

// doubt is a load report that counts requests which may be either foreign or
// of permits that were granted just before it. Releases tell later when those
// were dispatched.
type doubt struct {
	shown time.Time // state that the report shows
	at    time.Time // when it came
	// others is how many requests in the report no known permit stood for.
	others int
	young  map[uint64]bool // permits that may have been among them
}

// relyTime is how long after foreign work was last found permits are checked
// that foreign was reckoned with.
const relyTime = 10 * time.Second

// rely notes that foreign was lowered because the requests of some permits are
// taken to be among those that a report shows.
func (e *endpoint) rely(now, shown time.Time, settle time.Duration) {
	if !now.Before(e.doubtUntil) {
		return
	}
	for _, p := range e.permits {
		if p.granted.Before(shown.Add(-settle)) && p.boot == e.warm.boot {
			p.relied = shown
		}
	}
}

// holdBack keeps the place of p, which is given back, as foreign until a later
// report, if its request may have ended before the report that it was relied on
// for: its entry has said nothing in between and may have been paused.
func (e *endpoint) holdBack(now time.Time, p *permit, heard time.Time, slack time.Duration) {
	if p.relied.IsZero() || heard.After(p.relied.Add(slack)) {
		return
	}
	e.foreign++
	e.foreignAt = now
}

// noteDoubt keeps a report, if foreign work is in question, until later
// releases have explained it.
func (e *endpoint) noteDoubt(now, shown time.Time, others int, settle time.Duration) {
	if e.foreign == 0 || shown.Before(e.foreignAt) {
		e.doubt = doubt{}
		return
	}
	if len(e.doubt.young) > 0 && now.Sub(e.doubt.at) < doubtTime {
		return
	}
	e.doubt = doubt{shown: shown, at: now, others: others, young: make(map[uint64]bool)}
	for id, p := range e.permits {
		if p.boot == e.warm.boot && p.granted.Before(shown) && !p.granted.Before(shown.Add(-settle)) {
			e.doubt.young[id] = true
		}
	}
}

// explain lowers foreign if the permit id, which is given back and was used
// within the given time of its grant, was one of the requests in doubt.
func (e *endpoint) explain(id uint64, p *permit, dispatchedAfter, arrival time.Duration) {
	if !e.doubt.young[id] {
		return
	}
	delete(e.doubt.young, id)
	if e.doubt.shown.Before(e.foreignAt) || p.granted.Add(dispatchedAfter+arrival).After(e.doubt.shown) {
		return
	}
	e.doubt.others--
	e.foreign = min(e.foreign, max(0, e.doubt.others))
}
