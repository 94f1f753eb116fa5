package engine

import (
	"slices"
	"time"
)

// maxListed bounds each list that a record keeps; the oldest entries go.
const maxListed = 1 << 16

// Stats is what really happened at an engine.
type Stats struct {
	Arrivals        int // requests taken in
	Completed       int
	Cancelled       int
	Refused         int // requests refused as not run
	Crashes         int
	WorstInProgress int // largest number of requests in progress
	// WorstOverrun is the largest excess over the true capacity, as new work
	// came in; WorstColdOverrun counts only while the capacity was below full,
	// and leaves out cold turns without notice.
	WorstOverrun     int
	WorstColdOverrun int
	PromptTokens     int64
	CachedTokens     int64
	// StaleOrders counts orders obeyed although their fencing number was
	// lower than one obeyed before.
	StaleOrders int
}

// Arrival is a request that an engine took in.
type Arrival struct {
	ID         string
	Session    string
	User       string // caller's own name for the request
	At         time.Time
	Boot       uint64
	InProgress int // this one included
	Capacity   int // true capacity at that time
}

// Overrun is new work that came in although the engine was at its true
// capacity.
type Overrun struct {
	At        time.Time
	By        int
	Capacity  int
	ColdSince time.Time
	Announced bool // whether the boot number told that the engine was cold
}

// Crash is one crash of an engine.
type Crash struct {
	At      time.Time
	Reason  string
	Running []string // request numbers in the batch
}

type record struct {
	Stats
	arrivals []Arrival
	overruns []Overrun
	crashes  []Crash
	orders   []SeenOrder
	byID     map[string]int
	byUser   map[string]int
	leftAt   time.Time
}

func (r *record) addArrival(s *sequence, now time.Time, boot uint64, inProgress int, w *warmth) {
	r.Arrivals++
	r.arrivals = appendBounded(r.arrivals, Arrival{
		ID: s.id, Session: s.session, User: s.user, At: now, Boot: boot,
		InProgress: inProgress, Capacity: w.capacity(),
	})
	if r.byID == nil {
		r.byID = make(map[string]int)
		r.byUser = make(map[string]int)
	}
	r.byID[s.id]++
	r.byUser[s.user]++
	r.WorstInProgress = max(r.WorstInProgress, inProgress)
	r.addOverrun(now, inProgress-w.capacity(), w)
}

func (r *record) addOverrun(now time.Time, by int, w *warmth) {
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

func (r *record) addPrompt(s *sequence) {
	r.PromptTokens += int64(s.prompt)
	r.CachedTokens += int64(s.cached)
}

func (r *record) addCrash(reason string, now time.Time, batch []*sequence) {
	ids := make([]string, len(batch))
	for i, s := range batch {
		ids[i] = s.id
	}
	r.Crashes++
	r.crashes = appendBounded(r.crashes, Crash{At: now, Reason: reason, Running: ids})
}

func appendBounded[T any](list []T, item T) []T {
	list = append(list, item)
	if len(list) > maxListed {
		list = slices.Clone(list[maxListed/2:])
	}
	return list
}

// Stats returns what really happened so far.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record.Stats
}

// Arrivals returns the requests that were taken in, in their order.
func (e *Engine) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.record.arrivals)
}

// ArrivalsByID returns how often a request number was taken in.
func (e *Engine) ArrivalsByID(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record.byID[id]
}

// ArrivalsByUser returns how often a request of the caller's own name was
// taken in.
func (e *Engine) ArrivalsByUser(user string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record.byUser[user]
}

// Overruns returns the work that came in above the true capacity.
func (e *Engine) Overruns() []Overrun {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.record.overruns)
}

// Crashes returns the engine's crashes.
func (e *Engine) Crashes() []Crash {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.record.crashes)
}

// DrainChangedAt returns when StartDrain or EndDrain was last called.
func (e *Engine) DrainChangedAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record.leftAt
}

// LastArrival returns when a request was last taken in; zero if never.
func (e *Engine) LastArrival() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n := len(e.record.arrivals); n > 0 {
		return e.record.arrivals[n-1].At
	}
	return time.Time{}
}
