package rollout

import "time"

const (
	// finalReports is how long a success is reported after it stands in the store.
	finalReports = 30 * time.Second
	// maxReason bounds the reason in heartbeats.
	maxReason = 200
	// learnPast is how long after it learned of an order a router takes the versions of
	// earlier orders from others.
	learnPast = 2 * time.Second
)

// Reports returns what to tell the other routers, sorted by service.
func (t *Table) Reports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Report
	for _, service := range t.sorted() {
		r := t.services[service]
		if r.stage == StageSucceeded && r.stored && now.After(r.storedAt.Add(finalReports)) {
			continue
		}
		report := Report{
			Order: r.order, Number: r.number, Starting: r.starting, Stage: r.stage, AgeMS: now.Sub(r.began).Milliseconds(),
			Stored: r.stored, Deleted: r.deleted, OldRunning: r.oldRunning,
		}
		if len(r.past) > 0 {
			report.Past = copyOf(r.past)
		}
		switch {
		case r.deleted:
		case r.stage.Final():
			report.Reason = r.reason[:min(len(r.reason), maxReason)]
		default:
			report.StageMS = now.Sub(r.stageBegan).Milliseconds()
			report.Counts = r.own.copy()
		}
		list = append(list, report)
	}
	return list
}

// copy returns a deep copy.
func (c *Counts) copy() Counts {
	d := Counts{Requests: c.Requests, Canary: c.Canary, Endpoints: copyOf(c.Endpoints), Cells: make(map[string]*Cell, len(c.Cells))}
	for key, cell := range c.Cells {
		e := *cell
		d.Cells[key] = &e
	}
	return d
}

// Merge takes the reports of another router and keeps them. Call it for every heartbeat,
// also for one without reports: it shows that the router is in touch. urgent is true if a
// stage or verdict was learned; call Step then without delay.
func (t *Table) Merge(now time.Time, router string, incarnation int64, list []Report) (urgent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if router == t.self {
		return false
	}
	t.touch(now)
	t.heard, t.outOfTouch = now, false
	for i := range list {
		if t.merge(now, router, incarnation, &list[i]) {
			urgent = true
		}
	}
	return urgent
}

// merge takes one report. It returns whether the stage changed.
func (t *Table) merge(now time.Time, router string, incarnation int64, report *Report) bool {
	r := t.align(now, router, report)
	if r == nil {
		return false
	}
	p := r.peers[router]
	if p == nil {
		p = &peer{incarnation: incarnation}
		r.peers[router] = p
	}
	switch {
	case incarnation < p.incarnation, incarnation == p.incarnation && report.AgeMS < p.ageMS:
		return false // delayed
	case incarnation > p.incarnation:
		*p = peer{incarnation: incarnation}
	}
	if r.tally.merge(now, &report.Counts, &p.counts) {
		p.counts = report.Counts
	}
	p.ageMS, p.stage, p.oldRunning = report.AgeMS, report.Stage, report.OldRunning
	if began := now.Add(-time.Duration(report.AgeMS) * time.Millisecond); began.Before(r.began) {
		r.began = began
	}
	if len(report.Past) > 0 && now.Before(r.known.Add(learnPast)) {
		past := copyOf(report.Past)
		for version, stage := range r.past {
			past[version] = stage
		}
		delete(past, r.order.To)
		r.past = past
	}
	return t.follow(now, r, report)
}

// align returns the state of the order that the report is about, nil if the report is
// about none that matters. The router follows a report with a higher number.
func (t *Table) align(now time.Time, router string, report *Report) *rollout {
	if report.Service == "" || report.To == "" || report.TimeLimit <= 0 || report.Number <= 0 {
		return nil
	}
	r := t.services[report.Service]
	if r == nil {
		if report.Deleted || report.Number <= t.numbers[report.Service] {
			return nil
		}
		r = t.begin(now, report.Order, report.Number)
		r.peerOnly, r.starting = true, report.Starting
		return r
	}
	same := report.Order == r.order
	switch {
	case report.Number == r.number && report.Deleted == r.deleted:
		if !same {
			return nil
		}
	case report.Deleted:
		t.followDeletion(now, r, router, report)
		return nil
	case same && r.starting && !r.deleted && (!report.Starting || report.Number > r.number):
		t.renumber(r, report.Number)
		r.stage, r.stored, r.peers = StageUnknown, false, map[string]*peer{}
	case report.Number > r.number && (!report.Starting || r.starting):
		t.replace(now, r, &report.Order, report.Number)
		r = t.services[report.Service]
		r.peerOnly, r.starting = true, report.Starting
	default:
		return nil
	}
	if !report.Starting {
		r.starting = false
	}
	return r
}

// followDeletion takes the deletion of the order from other routers, once most of those
// that report on it saw it: one that reads old data from the store must not end a rollout.
func (t *Table) followDeletion(now time.Time, r *rollout, router string, report *Report) {
	if r.deleted || report.Number <= r.number || report.Order != r.order {
		return
	}
	p := r.peers[router]
	if p == nil {
		p = &peer{}
		r.peers[router] = p
	}
	p.deleted = true
	deleted := 0
	for _, p := range r.peers {
		if p.deleted {
			deleted++
		}
	}
	if 2*deleted > len(r.peers) {
		t.replace(now, r, nil, report.Number)
	}
}

// follow takes the stage of a report. It returns whether the stage changed.
func (t *Table) follow(now time.Time, r *rollout, report *Report) bool {
	switch {
	case report.Stage == r.stage:
		if began := now.Add(-time.Duration(report.StageMS) * time.Millisecond); !r.stage.Final() && began.Before(r.stageBegan) {
			r.stageBegan = began
		}
		if report.Stored {
			r.markStored(now)
		}
		return false
	case report.Stage.Final() && (!r.stage.Final() || report.Stored && !r.stored):
		r.advance(now, report.Stage, report.Reason, false, false)
		if report.Stored {
			r.markStored(now)
		}
		return true
	case !report.Stage.Final() && report.Stage > r.stage:
		r.advance(now, report.Stage, report.Reason, false, false)
		r.stageBegan = now.Add(-time.Duration(report.StageMS) * time.Millisecond)
		return true
	default:
		return false
	}
}

// markStored notes that the final state stands in the store.
func (r *rollout) markStored(now time.Time) {
	if !r.stored {
		r.stored, r.storedAt = true, now
	}
}
