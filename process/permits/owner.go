package permits

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minLease and leaseMeans bound how long a permit is held without a Done: leaseMeans
	// times the mean duration of a call, but at least minLease.
	minLease   = 500 * time.Millisecond
	leaseMeans = 4
	// overdueMeans is the number of mean durations after which a permit may be left out
	// of an endpoint's load if the endpoint reports fewer calls.
	overdueMeans = 2
	// startPhase is how long a new owner grants at most half of the slots beyond the
	// load reported to it. Calls that the owner before it let through are still running.
	startPhase = 500 * time.Millisecond
	// rememberFor is how long the reply to an ask that has ended is kept for repeated asks.
	rememberFor = time.Second
	// durationWeight is the weight of a call in the mean durations.
	durationWeight = 0.05
)

// Owner is the permit state of one service, held by its permit owner.
type Owner struct {
	service   string
	draw      func() float64
	began     time.Time // the first SetEndpoints
	endpoints []*endpoint
	permits   map[key]*permit
	beyond    int        // permits for calls beyond the usual rate of their workspace
	waiting   []*waiting // in the order in which they are granted
	sequence  uint64     // of the newest waiting ask
	ended     map[key]Reply
	endedList []endedAsk // in the order in which they ended
	replies   []Addressed

	workspaces   workspaces
	appointments appointments
	demand       demand
	works        works
	took         time.Duration // mean duration of calls, with waits at the endpoint
	stats        Stats
}

type key struct {
	router string
	number int64
}

// permit is a granted permit.
type permit struct {
	at      *endpoint
	granted time.Time
	until   time.Time // end of the lease
	class   uint32
	long    bool // for a long prompt
	beyond  bool // for a call beyond the usual rate of its workspace
}

type endedAsk struct {
	key   key
	until time.Time
}

// NewOwner returns the permit state of a service without endpoints. draw returns
// random numbers in [0,1).
func NewOwner(service string, draw func() float64) *Owner {
	return &Owner{service: service, draw: draw, permits: make(map[key]*permit), ended: make(map[key]Reply),
		workspaces: workspaces{byHash: make(map[uint32]*workspace)}, works: works{byClass: make(map[uint32]time.Duration)}}
}

// SetEndpoints sets the endpoints that may get calls. Permits of endpoints that are
// not in the list, or have another start, end. It is called whenever an endpoint
// changes, and at least once a second with the newest load reports.
func (o *Owner) SetEndpoints(now time.Time, list []Endpoint) (replies []Addressed) {
	if o.began.IsZero() {
		o.began = now
	}
	old := o.endpoints
	o.endpoints = make([]*endpoint, 0, len(list))
	for _, l := range list {
		e := &endpoint{}
		if i := slices.IndexFunc(old, func(e *endpoint) bool { return e.ID == l.ID && e.Started == l.Started }); i >= 0 {
			e = old[i]
			old = slices.Delete(old, i, i+1)
		}
		if l.Slots <= 0 {
			l.Slots = e.Slots
		}
		e.Endpoint = l
		if l.LoadAt.After(e.excessAt) && now.Sub(l.LoadAt) < maxReportAge {
			e.report(now, l.LoadAt, l.Load)
		}
		o.endpoints = append(o.endpoints, e)
	}
	for k, p := range o.permits {
		if slices.Contains(old, p.at) {
			o.endPermit(k, p)
		}
	}
	o.dispatch(now)
	return o.takeReplies()
}

// Ask answers the ask of a router. It also returns replies to waiting asks that the
// ask decided.
func (o *Owner) Ask(now time.Time, from string, a Ask) (replies []Addressed) {
	o.stats.Asks++
	k := key{from, a.Number}
	if o.repeated(k) {
		return o.takeReplies()
	}
	switch {
	case !o.anyUsable(&a):
		o.end(now, k, Reply{Number: a.Number})
	case a.Tokens > 0:
		e := o.forLongPrompt(now, &a)
		o.grant(now, k, &a, e)
	default:
		w := o.enqueue(now, k, a)
		o.dispatch(now)
		if !w.ended {
			o.admit(now, w)
		}
	}
	return o.takeReplies()
}

// repeated replies to an ask that the owner knows.
func (o *Owner) repeated(k key) bool {
	reply, known := o.ended[k]
	if !known {
		i := slices.IndexFunc(o.waiting, func(w *waiting) bool { return w.key == k })
		if i < 0 {
			return false
		}
		reply = Reply{Number: k.number, Queued: true, RetryAfter: o.waiting[i].retryAfter}
	}
	o.stats.Repeated++
	o.replies = append(o.replies, Addressed{k.router, reply})
	return true
}

func (o *Owner) anyUsable(a *Ask) bool {
	return slices.ContainsFunc(o.endpoints, func(e *endpoint) bool { return usable(e, a) })
}

func usable(e *endpoint, a *Ask) bool {
	return e.Slots > 0 && !slices.Contains(a.Exclude, e.ID)
}

// Done returns a permit or withdraws a waiting ask, and takes the endpoint's load
// report.
func (o *Owner) Done(now time.Time, from string, d Done) (replies []Addressed) {
	k := key{from, d.Number}
	p := o.permits[k]
	e := o.endpoint(d.Endpoint, d.Started)
	if p != nil {
		e = p.at
	}
	if e != nil && d.Answered {
		if d.Load != (Load{}) {
			e.report(now, now, d.Load)
		}
		o.measure(now, e, p, d.Took)
	}
	if p != nil {
		o.endPermit(k, p)
	} else if i := slices.IndexFunc(o.waiting, func(w *waiting) bool { return w.key == k }); i >= 0 {
		o.drop(now, o.waiting[i])
		o.record(k, Reply{Number: k.number}, now.Add(rememberFor))
		o.waiting = slices.Delete(o.waiting, i, i+1)
	}
	o.dispatch(now)
	return o.takeReplies()
}

// measure adds the duration of a call to the means.
func (o *Owner) measure(now time.Time, e *endpoint, p *permit, took time.Duration) {
	if took <= 0 || p != nil && p.long {
		return
	}
	o.took = average(o.took, took, durationWeight)
	e.took = average(e.took, took, durationWeight)
	class := uint32(0)
	if p != nil {
		class = p.class
	}
	o.works.add(class, time.Duration(float64(took)/o.pace(now, e)))
}

// pace returns the pace expected of an endpoint. Without reports it follows from the
// durations of its calls.
func (o *Owner) pace(now time.Time, e *endpoint) float64 {
	if pace := e.pace.now(now); pace > 0 {
		return pace
	}
	if e.took == 0 || o.took == 0 {
		return 1
	}
	return min(max(float64(e.took)/float64(o.took), minPace), maxPace)
}

func (o *Owner) endpoint(id string, started int64) *endpoint {
	for _, e := range o.endpoints {
		if e.ID == id && e.Started == started {
			return e
		}
	}
	return nil
}

// Expire ends leases and waits that are due. It is called every 10 ms while Waiting
// returns more than 0, and otherwise at least once a second.
func (o *Owner) Expire(now time.Time) (replies []Addressed) {
	for k, p := range o.permits {
		if !now.Before(p.until) {
			o.stats.Expired++
			o.endPermit(k, p)
		}
	}
	n := 0
	for n < len(o.endedList) && !now.Before(o.endedList[n].until) {
		delete(o.ended, o.endedList[n].key)
		n++
	}
	o.endedList = slices.Delete(o.endedList, 0, n)
	o.dispatch(now)
	o.expireWaiting(now)
	return o.takeReplies()
}

// grant grants a permit at an endpoint.
func (o *Owner) grant(now time.Time, k key, a *Ask, e *endpoint) *permit {
	lease := max(minLease, leaseMeans*o.took)
	p := &permit{at: e, granted: now, until: now.Add(lease), class: a.Class, long: a.Tokens > 0}
	o.permits[k] = p
	e.held = append(e.held, p)
	if p.long {
		e.reading++
	}
	o.stats.Granted++
	o.remember(k, Reply{Number: k.number, Granted: true, Endpoint: e.ID, Started: e.Started}, p.until.Add(rememberFor))
	return p
}

func (o *Owner) endPermit(k key, p *permit) {
	p.at.end(p)
	o.beyond -= flag(p.beyond)
	delete(o.permits, k)
}

// end replies to an ask that gets no permit.
func (o *Owner) end(now time.Time, k key, r Reply) {
	if r.Refused {
		o.stats.Refused++
	}
	o.remember(k, r, now.Add(rememberFor))
}

func (o *Owner) remember(k key, r Reply, until time.Time) {
	o.record(k, r, until)
	o.replies = append(o.replies, Addressed{k.router, r})
}

// record keeps the reply for repeated asks.
func (o *Owner) record(k key, r Reply, until time.Time) {
	o.ended[k] = r
	at, _ := slices.BinarySearchFunc(o.endedList, until, func(e endedAsk, t time.Time) int { return e.until.Compare(t) })
	o.endedList = slices.Insert(o.endedList, at, endedAsk{k, until})
}

func (o *Owner) takeReplies() []Addressed {
	replies := o.replies
	o.replies = nil
	return replies
}

// Waiting returns the number of asks that wait for a permit.
func (o *Owner) Waiting() int {
	return len(o.waiting)
}

// Stats are the counts of an Owner, for metrics.
type Stats struct {
	Asks, Repeated, Granted, Queued, Refused, Expired uint64 // since the Owner was created
	Held, Waiting                                     int    // now
}

// Stats returns the counts.
func (o *Owner) Stats() Stats {
	s := o.stats
	s.Held, s.Waiting = len(o.permits), len(o.waiting)
	return s
}

// forLongPrompt returns the endpoint for a long prompt: the preferred one unless it
// reads one already and another endpoint does not. At least one endpoint is usable.
func (o *Owner) forLongPrompt(now time.Time, a *Ask) *endpoint {
	work := o.works.of(a.Class)
	return slices.MinFunc(o.endpoints, func(x, y *endpoint) int {
		return cmp.Or(
			cmp.Compare(flag(!usable(x, a)), flag(!usable(y, a))),
			cmp.Compare(flag(x.Cold && x.ID != a.Prefer), flag(y.Cold && y.ID != a.Prefer)),
			cmp.Compare(flag(x.reading > 0), flag(y.reading > 0)),
			cmp.Compare(flag(x.ID != a.Prefer), flag(y.ID != a.Prefer)),
			cmp.Compare(x.reading, y.reading),
			cmp.Compare(o.expected(now, x, a, work), o.expected(now, y, a, work)))
	})
}

func flag(b bool) int {
	if b {
		return 1
	}
	return 0
}
