package measure

import (
	"math/rand/v2"
	"time"

	"github.com/stoatmount/stoatmount/process/breaker"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/retry"
	"github.com/stoatmount/stoatmount/version/config"
)

// Measures of the storm site.
const (
	stormRouters   = 7
	stormEndpoints = 12
	stormRate      = 60.0 // requests a second
	stormBears     = 10
	stormServe     = time.Second
	stormTime      = 5 * time.Minute
	stormFrom      = time.Minute
	stormUntil     = 3 * time.Minute
	stormDeadline  = 10 * time.Second
	stormShare     = 0.1
)

// stormPolicy says how failed requests are sent again.
type stormPolicy struct {
	name     string
	budget   bool // the budget and the breakers are used
	attempts int  // largest number of attempts
}

// stormSite is a group of endpoints of which some fail every request for a
// while; what they are sent beyond what they bear fails as well.
type stormSite struct {
	loop    *loop
	rng     *rand.Rand
	policy  stormPolicy
	failing int
	kind    config.Kind
	budgets []*retry.Budget
	breaks  []*breaker.Breakers
	running []int

	requests, attempts, inTime int // sent while endpoints fail
}

// stormRequest is one request with its attempts.
type stormRequest struct {
	router  int
	sent    time.Time
	made    int
	counted bool
}

func newStormSite(seed uint64, p stormPolicy, failing int) *stormSite {
	s := &stormSite{
		loop: newLoop(), rng: rand.New(rand.NewPCG(seed, 4)), policy: p, failing: failing,
		running: make([]int, stormEndpoints),
	}
	for i := range stormRouters {
		s.budgets = append(s.budgets, retry.NewBudget(stormShare))
		s.breaks = append(s.breaks, breaker.New(rand.New(rand.NewPCG(seed, uint64(10+i)))))
	}
	return s
}

func (s *stormSite) run() *stormSite {
	s.arrivals()
	s.loop.run(epoch.Add(stormTime))
	return s
}

func (s *stormSite) arrivals() {
	s.loop.after(time.Duration(s.rng.ExpFloat64()*float64(time.Second)/stormRate), func() {
		age := s.loop.now.Sub(epoch)
		r := &stormRequest{router: s.rng.IntN(stormRouters), sent: s.loop.now}
		r.counted = age >= stormFrom && age < stormUntil
		if r.counted {
			s.requests++
		}
		s.attempt(r)
		s.arrivals()
	})
}

// broken reports whether endpoint e fails every request now.
func (s *stormSite) broken(e int) bool {
	age := s.loop.now.Sub(epoch)
	return e < s.failing && age >= stormFrom && age < stormUntil
}

func endpointName(e int) string {
	return string(rune('a' + e))
}

// pick draws an endpoint whose breaker lets the request through.
func (s *stormSite) pick(r *stormRequest) int {
	for range 2 * stormEndpoints {
		e := s.rng.IntN(stormEndpoints)
		if !s.policy.budget {
			return e
		}
		if _, ok := s.breaks[r.router].Allow(s.loop.now, endpointName(e)); ok {
			return e
		}
	}
	return -1
}

func (s *stormSite) attempt(r *stormRequest) {
	e := s.pick(r)
	if e < 0 {
		return
	}
	r.made++
	if r.counted {
		s.attempts++
	}
	failed := s.broken(e) || s.running[e] >= stormBears
	s.running[e]++
	length := time.Duration(s.rng.ExpFloat64() * float64(stormServe))
	s.loop.after(length, func() {
		s.running[e]--
		if failed {
			s.failed(r, e)
			return
		}
		s.served(r, e)
	})
}

func (s *stormSite) served(r *stormRequest, e int) {
	s.budgets[r.router].RecordSuccess(endpointName(e))
	s.breaks[r.router].Success(endpointName(e))
	if r.counted && s.loop.now.Sub(r.sent) <= stormDeadline {
		s.inTime++
	}
}

func (s *stormSite) failed(r *stormRequest, e int) {
	if !s.policy.budget {
		if r.made < s.policy.attempts {
			s.attempt(r)
		}
		return
	}
	s.breaks[r.router].Failure(s.loop.now, endpointName(e), outcome.EndpointFailed)
	a := retry.Attempts{Kind: &s.kind, Dispatched: r.made, Remaining: stormDeadline - s.loop.now.Sub(r.sent), ServeTime: stormServe}
	if a.CheckRetry() != outcome.OK {
		return
	}
	if s.budgets[r.router].Take(endpointName(e)) == outcome.OK {
		s.attempt(r)
	}
}

// maxAmplification is the largest number of attempts per request while
// endpoints fail: one, and the retries that the budget allows and had saved.
const maxAmplification = 1.15

// measureStorm measures the attempts per request while endpoints fail.
func measureStorm(o Options) (*Report, error) {
	report := &Report{Name: "storm", Seeds: o.seeds(), Plot: "attempts per request"}
	for _, failing := range []int{3, 6, 12} {
		workload := []string{3: "3 of 12 fail", 6: "6 of 12 fail", 12: "all fail"}[failing]
		for _, p := range []stormPolicy{
			{"stoatmount", true, retry.MaxAttempts},
			{"no_retry", false, 1},
			{"three_attempts", false, 3},
			{"ten_attempts", false, 10},
		} {
			var attempts, inTime []float64
			for _, seed := range o.seeds() {
				s := newStormSite(seed, p, failing).run()
				attempts = append(attempts, ratio(float64(s.attempts), float64(s.requests)))
				inTime = append(inTime, ratio(float64(s.inTime), float64(s.requests)))
			}
			f := report.add(workload, p.name, "attempts per request", attempts)
			report.add(workload, p.name, "in time", inTime)
			if p.budget {
				report.atMost("attempts per request, "+workload, maxAmplification, f.Max)
			}
		}
	}
	return report, nil
}
