package admission

import "time"

// ambiguityWindow is how long an ambiguous report is kept for later releases before a newer one may replace it.
const ambiguityWindow = time.Second

// ambiguousReport is a load report that counts requests which may be
// foreign or may belong to permits granted just before it. The releases of these permits
// tell later when their requests were dispatched.
type ambiguousReport struct {
	reportedAt time.Time // time of the state that the report shows
	receivedAt time.Time // when the report arrived
	// unmatched is the number of requests in the report without a known permit.
	unmatched int
	recent    map[uint64]bool // permits whose requests may be among the unmatched
}

// assumptionWindow is how long, after foreign work was last found, load reports still
// mark permits as assumed to be running, for keepAsForeign to check on release.
const assumptionWindow = 10 * time.Second

// assumeRunning marks the permits whose requests are assumed to be among those that
// a load report shows, as foreign was bounded by this report.
func (e *endpoint) assumeRunning(now, reportedAt time.Time, settleTime time.Duration) {
	if !now.Before(e.verifyUntil) {
		return
	}
	for _, p := range e.permits {
		if p.granted.Before(reportedAt.Add(-settleTime)) && p.incarnation == e.coldStart.incarnation {
			p.assumedRunningAt = reportedAt
		}
	}
}

// keepAsForeign counts the released permit p as foreign work until a later report,
// if its request may have ended before the report in which it was assumed to run:
// its entry host sent no message since that report and may have been paused.
func (e *endpoint) keepAsForeign(now time.Time, p *permit, lastMessage time.Time, networkDelay time.Duration) {
	if p.assumedRunningAt.IsZero() || lastMessage.After(p.assumedRunningAt.Add(networkDelay)) {
		return
	}
	e.foreign++
	e.foreignAt = now
}

// noteAmbiguousReport keeps a report until later releases resolve it, if there
// is foreign work.
func (e *endpoint) noteAmbiguousReport(now, reportedAt time.Time, unmatched int, settleTime time.Duration) {
	if e.foreign == 0 || reportedAt.Before(e.foreignAt) {
		e.ambiguous = ambiguousReport{}
		return
	}
	if len(e.ambiguous.recent) > 0 && now.Sub(e.ambiguous.receivedAt) < ambiguityWindow {
		return
	}
	e.ambiguous = ambiguousReport{reportedAt: reportedAt, receivedAt: now, unmatched: unmatched, recent: make(map[uint64]bool)}
	for id, p := range e.permits {
		if p.incarnation == e.coldStart.incarnation && p.granted.Before(reportedAt) && !p.granted.Before(reportedAt.Add(-settleTime)) {
			e.ambiguous.recent[id] = true
		}
	}
}

// resolveAmbiguity lowers foreign if the request of the released permit id, which
// was dispatched at most the given time after the grant, was one of the requests in
// the ambiguous report.
func (e *endpoint) resolveAmbiguity(id uint64, p *permit, dispatchedAfter, networkDelay time.Duration) {
	if !e.ambiguous.recent[id] {
		return
	}
	delete(e.ambiguous.recent, id)
	if e.ambiguous.reportedAt.Before(e.foreignAt) || p.granted.Add(dispatchedAfter+networkDelay).After(e.ambiguous.reportedAt) {
		return
	}
	e.ambiguous.unmatched--
	e.foreign = min(e.foreign, max(0, e.ambiguous.unmatched))
}
