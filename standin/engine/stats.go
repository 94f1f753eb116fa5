package engine

import (
	"slices"
	"time"
)

// maxEntries bounds each list of the recorder; a full list drops its older half.
const maxEntries = 1 << 16

// Stats counts what happened at an engine.
type Stats struct {
	Arrivals        int // accepted requests
	Completed       int
	Cancelled       int
	Refused         int // requests refused as not run
	Crashes         int
	WorstInProgress int // largest number of requests in progress
	// WorstOverrun is the largest excess over the true capacity at an arrival.
	// WorstColdOverrun is the same while the engine warms up after a restart, but
	// not after TurnCold, of which callers get no notice.
	WorstOverrun     int
	WorstColdOverrun int
	PromptTokens     int64
	CachedTokens     int64
	// StaleOrders counts orders obeyed although their fencing token was lower than an earlier one.
	StaleOrders int
}

// Arrival is a request that an engine accepted.
type Arrival struct {
	ID              string
	Session         string
	CallerRequestID string // caller's own id of the request
	At              time.Time
	Incarnation     uint64
	InProgress      int // this one included
	Capacity        int // true capacity at arrival
}

// Overrun is an arrival above the true capacity.
type Overrun struct {
	At        time.Time
	By        int
	Capacity  int
	ColdSince time.Time
	Announced bool // whether a new incarnation showed that the engine was cold
}

// Crash is one crash of an engine.
type Crash struct {
	At      time.Time
	Reason  string
	Running []string // request ids in the batch
}

type recorder struct {
	Stats
	arrivals          []Arrival
	overruns          []Overrun
	crashes           []Crash
	orders            []ReceivedOrder
	byRequestID       map[string]int
	byCallerRequestID map[string]int
	drainChangedAt    time.Time
}

func (r *recorder) addArrival(s *sequence, now time.Time, incarnation uint64, inProgress int, w *warmup) {
	r.Arrivals++
	r.arrivals = appendBounded(r.arrivals, Arrival{
		ID: s.id, Session: s.session, CallerRequestID: s.callerRequestID, At: now, Incarnation: incarnation,
		InProgress: inProgress, Capacity: w.capacity(),
	})
	if r.byRequestID == nil {
		r.byRequestID = make(map[string]int)
		r.byCallerRequestID = make(map[string]int)
	}
	r.byRequestID[s.id]++
	r.byCallerRequestID[s.callerRequestID]++
	r.WorstInProgress = max(r.WorstInProgress, inProgress)
	r.addOverrun(now, inProgress-w.capacity(), w)
}

func (r *recorder) addOverrun(now time.Time, by int, w *warmup) {
	if by <= 0 {
		return
	}
	r.overruns = appendBounded(r.overruns, Overrun{
		At: now, By: by, Capacity: w.capacity(), ColdSince: w.since, Announced: w.announced,
	})
	r.WorstOverrun = max(r.WorstOverrun, by)
	if w.capacity() < w.full && w.announced {
		r.WorstColdOverrun = max(r.WorstColdOverrun, by)
	}
}

func (r *recorder) addPrompt(s *sequence) {
	r.PromptTokens += int64(s.prompt)
	r.CachedTokens += int64(s.cached)
}

func (r *recorder) addCrash(reason string, now time.Time, batch []*sequence) {
	ids := make([]string, len(batch))
	for i, s := range batch {
		ids[i] = s.id
	}
	r.Crashes++
	r.crashes = appendBounded(r.crashes, Crash{At: now, Reason: reason, Running: ids})
}

func appendBounded[T any](list []T, item T) []T {
	list = append(list, item)
	if len(list) > maxEntries {
		list = slices.Clone(list[maxEntries/2:])
	}
	return list
}

// Stats returns the counts so far.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.recorder.Stats
}

// Arrivals returns the accepted requests in order of arrival.
func (e *Engine) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.recorder.arrivals)
}

// ArrivalsByRequestID returns how often a request id was accepted.
func (e *Engine) ArrivalsByRequestID(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.recorder.byRequestID[id]
}

// ArrivalsByCallerRequestID returns how often a request with this id of its caller was accepted.
func (e *Engine) ArrivalsByCallerRequestID(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.recorder.byCallerRequestID[id]
}

// Overruns returns the arrivals above the true capacity.
func (e *Engine) Overruns() []Overrun {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.recorder.overruns)
}

// Crashes returns the crashes of the engine.
func (e *Engine) Crashes() []Crash {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.recorder.crashes)
}

// DrainChangedAt returns when StartDrain or EndDrain was last called.
func (e *Engine) DrainChangedAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.recorder.drainChangedAt
}

// LastArrival returns when a request was last accepted; zero if never.
func (e *Engine) LastArrival() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n := len(e.recorder.arrivals); n > 0 {
		return e.recorder.arrivals[n-1].At
	}
	return time.Time{}
}
