package measure

import (
	"math"
	"slices"
	"strings"
	"time"
)

// kindStats counts the requests of one kind that were sent while counting.
type kindStats struct {
	sent    int
	inTime  int
	late    int // answered late, or not at all by the deadline
	refused int
}

// share returns the share of requests that were answered in time.
func (k *kindStats) share() float64 {
	return ratio(float64(k.inTime), float64(k.sent))
}

// waitStats are times from arrival to dispatch.
type waitStats struct {
	all []time.Duration
}

func (w *waitStats) add(d time.Duration) { w.all = append(w.all, d) }

func (w *waitStats) mean() time.Duration {
	if len(w.all) == 0 {
		return 0
	}
	total := time.Duration(0)
	for _, d := range w.all {
		total += d
	}
	return total / time.Duration(len(w.all))
}

func (w *waitStats) quantile(q float64) time.Duration {
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
	open  map[uint64]*request // counted and without an answer yet

	reusable int // prompt tokens that some endpoint had computed for the chat
	cached   int // of these, found where the request ran
	moves    int

	calmReuse  reuseStats // of the workspaces that do not surge, before the surge
	surgeReuse reuseStats // and during it

	skews       []float64 // highest load over the mean, per second and group
	overCap     int       // permits beyond the cap as the owner knows it
	overMean    int       // permits beyond max(1, ceil(c x mean)) of that moment
	mostOver    int       // the largest number of permits beyond it
	load        float64   // sum of the sampled mean loads of models
	loads       int
	overBears   int       // requests beyond what the endpoint bears
	overCold    int       // of these, at an endpoint in a cold start
	calm, surge waitStats // of live requests of workspaces that do not surge
	surging     waitStats // of live requests of the surging workspace
	firstToken  waitStats // of live requests, from arrival to the end of prefill

	asks         int
	placeUpdates int
	placeQueries int
	movedAhead   int
	requests     int
}

func newStats(f *fleet) *stats {
	return &stats{f: f, kinds: make(map[string]*kindStats), open: make(map[uint64]*request)}
}

// kind returns the counts of a kind; those of all models are taken together.
func (s *stats) kind(r *request) *kindStats {
	name, _, _ := strings.Cut(r.kind.Name, "-")
	k, ok := s.kinds[name]
	if !ok {
		k = &kindStats{}
		s.kinds[name] = k
	}
	return k
}

func (s *stats) named(name string) *kindStats {
	if k, ok := s.kinds[name]; ok {
		return k
	}
	return &kindStats{}
}

func (s *stats) sent(r *request) {
	if !s.f.counting(r.sent) {
		return
	}
	s.requests++
	s.kind(r).sent++
	s.open[r.id] = r
}

func (s *stats) dispatched(r *request, e *endpoint, reuse int) {
	now := s.f.loop.now
	r.attempts++
	if !s.f.counting(r.sent) {
		return
	}
	if r.chat != nil && r.chat.length > 0 {
		s.reusable += r.chat.length
		s.cached += min(reuse, r.chat.length)
		s.reused(r, min(reuse, r.chat.length))
	}
	s.checkMean(e)
	if !r.first.IsZero() || r.kind.CanWait || r.kind.Service != "" {
		return
	}
	r.first = now
	s.waited(r, now.Sub(r.sent))
}

func (s *stats) waited(r *request, wait time.Duration) {
	switch {
	case r.space == 0:
		s.surging.add(wait)
	case s.f.surging:
		s.surge.add(wait)
	case s.f.loop.now.Before(s.f.countedStart().Add(s.f.workload.Counted / 3)):
		s.calm.add(wait)
	}
}

// reuseStats counts the prompt tokens that could be and were found cached.
type reuseStats struct {
	reusable, cached int
}

func (u *reuseStats) share() float64 {
	return ratio(float64(u.cached), float64(u.reusable))
}

func (s *stats) reused(r *request, tokens int) {
	phase := &s.calmReuse
	switch {
	case r.space == 0:
		return
	case s.f.surging:
		phase = &s.surgeReuse
	case !s.f.loop.now.Before(s.f.countedStart().Add(s.f.workload.Counted / 3)):
		return
	}
	phase.reusable += r.chat.length
	phase.cached += tokens
}

// checkMean compares the permits of e with the mean of this moment.
func (s *stats) checkMean(e *endpoint) {
	group := e.config.Group()
	mean := float64(s.f.permits[group]) / float64(max(s.f.usable[group], 1))
	if over := e.gate.permits - max(1, int(math.Ceil(meanMultiple*mean))); over > 0 {
		s.overMean++
		s.mostOver = max(s.mostOver, over)
	}
}

// entered counts work beyond what the endpoint bears, for policies without
// admission.
func (s *stats) entered(e *endpoint) {
	if !s.f.counting(s.f.loop.now) {
		return
	}
	if e.running+len(e.queue) < e.bears() {
		return
	}
	s.overBears++
	if e.cold() {
		s.overCold++
	}
}

// admitted counts work beyond what the endpoint bears, for policies with
// admission, when it has been started.
func (s *stats) admitted(e *endpoint) {
	if !s.f.counting(s.f.loop.now) || e.running <= e.bears() {
		return
	}
	s.overBears++
	if e.cold() {
		s.overCold++
	}
}

func (s *stats) asked(r *request) {
	if s.f.counting(r.sent) {
		s.asks++
	}
}

func (s *stats) moved(*request, int) { s.moves++ }

func (s *stats) answered(r *request) {
	if !s.take(r) {
		return
	}
	if s.f.loop.now.After(r.deadline) {
		s.kind(r).late++
		return
	}
	s.kind(r).inTime++
}

func (s *stats) refused(r *request) {
	if s.take(r) {
		s.kind(r).refused++
	}
}

// take ends a counted request.
func (s *stats) take(r *request) bool {
	if _, ok := s.open[r.id]; !ok {
		return false
	}
	delete(s.open, r.id)
	return true
}

// close counts what has no answer at the end of the run: late if its deadline
// has passed, and not at all otherwise.
func (s *stats) close() {
	for _, r := range s.open {
		if s.f.loop.now.After(r.deadline) {
			s.kind(r).late++
		} else {
			s.kind(r).sent--
		}
	}
}

// minSkewMean is the mean load below which the skew is not sampled, as one
// request more or less decides it.
const minSkewMean = 2

// sample notes the skew of each model's load.
func (s *stats) sample() {
	sum := make(map[string]int)
	count := make(map[string]int)
	highest := make(map[string]int)
	for _, e := range s.f.ends {
		if !e.gate.usable() || e.config.Model == "" {
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
			s.load += mean
			s.loads++
		}
		if mean >= minSkewMean {
			s.skews = append(s.skews, float64(highest[g])/mean)
		}
	}
}

// started notes when the first token of r comes.
func (s *stats) started(r *request, compute time.Duration) {
	if s.f.counting(r.sent) && !r.kind.CanWait && r.kind.Service == "" {
		s.firstToken.add(s.f.loop.now.Add(compute).Sub(r.sent))
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
