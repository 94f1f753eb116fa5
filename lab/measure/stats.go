package measure

import (
	"math"
	"slices"
	"strings"
	"time"
)

// kindStats counts the requests of one kind that were sent in the measured time.
type kindStats struct {
	sent    int
	inTime  int
	late    int // completed after the deadline, or unfinished after it at the end of the run
	refused int
}

// inTimeShare returns the share of requests that were completed in time.
func (k *kindStats) inTimeShare() float64 {
	return ratio(float64(k.inTime), float64(k.sent))
}

// durationStats collects durations.
type durationStats struct {
	all []time.Duration
}

func (w *durationStats) add(d time.Duration) { w.all = append(w.all, d) }

func (w *durationStats) mean() time.Duration {
	if len(w.all) == 0 {
		return 0
	}
	total := time.Duration(0)
	for _, d := range w.all {
		total += d
	}
	return total / time.Duration(len(w.all))
}

func (w *durationStats) quantile(q float64) time.Duration {
	if len(w.all) == 0 {
		return 0
	}
	sorted := slices.Clone(w.all)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}

// stats are the figures of one run.
type stats struct {
	f     *fleet
	kinds map[string]*kindStats
	open  map[uint64]*request // counted and not ended yet

	reusable int // prompt tokens that earlier requests of the chat had computed
	cached   int // of these, cached at the endpoint that ran the request
	moves    int

	reuseBefore reuseStats // of the workspaces that do not surge, before the surge
	reuseDuring reuseStats // and during it

	skews                  []float64 // highest load relative to the mean, per second and group
	overCap                int       // permits beyond the cap that the owner knows
	overMean               int       // dispatches at an endpoint with more permits than max(1, ceil(meanMultiple x true mean))
	maxOverMean            int       // largest number of permits beyond that bound
	loadSum                float64   // sum of the sampled mean loads of models
	loadSamples            int
	overCapacity           int           // requests beyond the capacity of the endpoint
	overCold               int           // of these, at an endpoint in a cold start
	waitBefore, waitDuring durationStats // of live requests of workspaces that do not surge
	waitSurging            durationStats // of live requests of the first workspace, the one that surges, over the whole measured time
	firstToken             durationStats // of live requests, from arrival to the end of prefill

	permitRequests int
	placeUpdates   int
	placeQueries   int
	migratedChats  int
	requests       int
}

func newStats(f *fleet) *stats {
	return &stats{f: f, kinds: make(map[string]*kindStats), open: make(map[uint64]*request)}
}

// kind returns the counts of the request's kind, summed over all models.
func (s *stats) kind(r *request) *kindStats {
	name, _, _ := strings.Cut(r.kind.Name, "-")
	k, ok := s.kinds[name]
	if !ok {
		k = &kindStats{}
		s.kinds[name] = k
	}
	return k
}

func (s *stats) forKind(name string) *kindStats {
	if k, ok := s.kinds[name]; ok {
		return k
	}
	return &kindStats{}
}

func (s *stats) sent(r *request) {
	if !s.f.isCounted(r.sent) {
		return
	}
	s.requests++
	s.kind(r).sent++
	s.open[r.id] = r
}

func (s *stats) dispatched(r *request, e *endpoint, reuse int) {
	now := s.f.loop.now
	r.attempts++
	if !s.f.isCounted(r.sent) {
		return
	}
	if r.chat != nil && r.chat.historyTokens > 0 {
		s.reusable += r.chat.historyTokens
		s.cached += min(reuse, r.chat.historyTokens)
		s.reused(r, min(reuse, r.chat.historyTokens))
	}
	s.checkMean(e)
	if !r.firstDispatch.IsZero() || r.kind.CanWait || r.kind.Service != "" {
		return
	}
	r.firstDispatch = now
	s.recordWait(r, now.Sub(r.sent))
}

func (s *stats) recordWait(r *request, wait time.Duration) {
	switch {
	case r.workspace == 0:
		s.waitSurging.add(wait)
	case s.f.surging:
		s.waitDuring.add(wait)
	case s.f.loop.now.Before(s.f.measuredStart().Add(s.f.workload.Measured / 3)):
		s.waitBefore.add(wait)
	}
}

// reuseStats counts the prompt tokens that could be cached and those that were.
type reuseStats struct {
	reusable, cached int
}

func (u *reuseStats) share() float64 {
	return ratio(float64(u.cached), float64(u.reusable))
}

func (s *stats) reused(r *request, tokens int) {
	phase := &s.reuseBefore
	switch {
	case r.workspace == 0:
		return
	case s.f.surging:
		phase = &s.reuseDuring
	case !s.f.loop.now.Before(s.f.measuredStart().Add(s.f.workload.Measured / 3)):
		return
	}
	phase.reusable += r.chat.historyTokens
	phase.cached += tokens
}

// checkMean compares the permits of e with the true mean of its group.
func (s *stats) checkMean(e *endpoint) {
	group := e.config.Group()
	mean := float64(s.f.permits[group]) / float64(max(s.f.usable[group], 1))
	if over := e.admission.permits - max(1, int(math.Ceil(meanMultiple*mean))); over > 0 {
		s.overMean++
		s.maxOverMean = max(s.maxOverMean, over)
	}
}

// countOverrunOnArrival counts a request beyond the capacity of the endpoint, for policies
// without admission control.
func (s *stats) countOverrunOnArrival(e *endpoint) {
	if !s.f.isCounted(s.f.loop.now) {
		return
	}
	if e.running+len(e.queue) < e.currentCapacity() {
		return
	}
	s.overCapacity++
	if e.cold() {
		s.overCold++
	}
}

// countOverrunOnStart counts a request beyond the capacity of the endpoint, for policies
// with admission control, after it has started.
func (s *stats) countOverrunOnStart(e *endpoint) {
	if !s.f.isCounted(s.f.loop.now) || e.running <= e.currentCapacity() {
		return
	}
	s.overCapacity++
	if e.cold() {
		s.overCold++
	}
}

func (s *stats) permitRequested(r *request) {
	if s.f.isCounted(r.sent) {
		s.permitRequests++
	}
}

func (s *stats) moved(*request, int) { s.moves++ }

func (s *stats) completed(r *request) {
	if !s.closeRequest(r) {
		return
	}
	if s.f.loop.now.After(r.deadline) {
		s.kind(r).late++
		return
	}
	s.kind(r).inTime++
}

func (s *stats) refused(r *request) {
	if s.closeRequest(r) {
		s.kind(r).refused++
	}
}

// closeRequest removes a request from the open ones. It returns false if it is
// not counted.
func (s *stats) closeRequest(r *request) bool {
	if _, ok := s.open[r.id]; !ok {
		return false
	}
	delete(s.open, r.id)
	return true
}

// countUnfinished counts the requests without a response at the end of the run:
// late if the deadline has passed, and not at all otherwise.
func (s *stats) countUnfinished() {
	for _, r := range s.open {
		if s.f.loop.now.After(r.deadline) {
			s.kind(r).late++
		} else {
			s.kind(r).sent--
		}
	}
}

// minSkewMean is the mean load below which the skew is not sampled, as a single
// request would dominate it.
const minSkewMean = 2

// sample records the load and the skew of each model.
func (s *stats) sample() {
	sum := make(map[string]int)
	count := make(map[string]int)
	highest := make(map[string]int)
	for _, e := range s.f.endpoints {
		if !e.admission.usable() || e.config.Model == "" {
			continue
		}
		g, load := e.config.Group(), e.running+len(e.queue)
		sum[g] += load
		count[g]++
		highest[g] = max(highest[g], load)
	}
	for _, g := range s.f.groups {
		mean := ratio(float64(sum[g]), float64(count[g]))
		if count[g] > 0 {
			s.loadSum += mean
			s.loadSamples++
		}
		if mean >= minSkewMean {
			s.skews = append(s.skews, float64(highest[g])/mean)
		}
	}
}

// recordFirstToken records the time to the first token of r, which is due after delay.
func (s *stats) recordFirstToken(r *request, delay time.Duration) {
	if s.f.isCounted(r.sent) && !r.kind.CanWait && r.kind.Service == "" {
		s.firstToken.add(s.f.loop.now.Add(delay).Sub(r.sent))
	}
}

func (s *stats) reuse() float64 {
	return ratio(float64(s.cached), float64(s.reusable))
}

func (s *stats) skew(q float64) float64 {
	if len(s.skews) == 0 {
		return 0
	}
	sorted := slices.Clone(s.skews)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
