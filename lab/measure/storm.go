package measure

import (
	"math/rand/v2"
	"time"

	"github.com/stoatmount/stoatmount/process/breaker"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/retry"
	"github.com/stoatmount/stoatmount/version/config"
)

// Parameters of the storm simulation.
const (
	stormRouters     = 7
	stormEndpoints   = 12
	stormRate        = 60.0 // requests per second
	stormCapacity    = 10
	stormServiceTime = time.Second
	stormDuration    = 5 * time.Minute
	stormFaultStart  = time.Minute
	stormFaultEnd    = 3 * time.Minute
	stormDeadline    = 10 * time.Second
	stormRetryShare  = 0.1
)

// stormPolicy is a retry policy.
type stormPolicy struct {
	name     string
	budget   bool // use the retry budget and the circuit breakers
	attempts int  // largest number of attempts
}

// stormSimulation has a group of endpoints of which some fail every request for a
// while; requests beyond the capacity of an endpoint fail as well.
type stormSimulation struct {
	loop     *eventLoop
	rng      *rand.Rand
	policy   stormPolicy
	failing  int
	kind     config.Kind
	budgets  []*retry.Budget
	breakers []*breaker.Breakers
	running  []int

	requests, attempts, inTime int // sent while endpoints fail
}

// stormRequest is one request with its attempts.
type stormRequest struct {
	router   int
	sent     time.Time
	attempts int
	counted  bool
}

func newStormSimulation(seed uint64, p stormPolicy, failing int) *stormSimulation {
	s := &stormSimulation{
		loop: newEventLoop(), rng: rand.New(rand.NewPCG(seed, 4)), policy: p, failing: failing,
		running: make([]int, stormEndpoints),
	}
	for i := range stormRouters {
		s.budgets = append(s.budgets, retry.NewBudget(stormRetryShare))
		s.breakers = append(s.breakers, breaker.New(rand.New(rand.NewPCG(seed, uint64(10+i)))))
	}
	return s
}

func (s *stormSimulation) run() *stormSimulation {
	s.scheduleArrival()
	s.loop.run(epoch.Add(stormDuration))
	return s
}

func (s *stormSimulation) scheduleArrival() {
	s.loop.after(time.Duration(s.rng.ExpFloat64()*float64(time.Second)/stormRate), func() {
		age := s.loop.now.Sub(epoch)
		r := &stormRequest{router: s.rng.IntN(stormRouters), sent: s.loop.now}
		r.counted = age >= stormFaultStart && age < stormFaultEnd
		if r.counted {
			s.requests++
		}
		s.attempt(r)
		s.scheduleArrival()
	})
}

// isFailing reports whether endpoint e now fails every request.
func (s *stormSimulation) isFailing(e int) bool {
	age := s.loop.now.Sub(epoch)
	return e < s.failing && age >= stormFaultStart && age < stormFaultEnd
}

func endpointName(e int) string {
	return string(rune('a' + e))
}

// pick returns a random endpoint whose circuit breaker allows the request, or -1.
func (s *stormSimulation) pick(r *stormRequest) int {
	for range 2 * stormEndpoints {
		e := s.rng.IntN(stormEndpoints)
		if !s.policy.budget {
			return e
		}
		if _, ok := s.breakers[r.router].Allow(s.loop.now, endpointName(e)); ok {
			return e
		}
	}
	return -1
}

func (s *stormSimulation) attempt(r *stormRequest) {
	e := s.pick(r)
	if e < 0 {
		return
	}
	r.attempts++
	if r.counted {
		s.attempts++
	}
	failed := s.isFailing(e) || s.running[e] >= stormCapacity
	s.running[e]++
	length := time.Duration(s.rng.ExpFloat64() * float64(stormServiceTime))
	s.loop.after(length, func() {
		s.running[e]--
		if failed {
			s.failed(r, e)
			return
		}
		s.served(r, e)
	})
}

func (s *stormSimulation) served(r *stormRequest, e int) {
	s.budgets[r.router].RecordSuccess(endpointName(e))
	s.breakers[r.router].Success(endpointName(e))
	if r.counted && s.loop.now.Sub(r.sent) <= stormDeadline {
		s.inTime++
	}
}

func (s *stormSimulation) failed(r *stormRequest, e int) {
	if !s.policy.budget {
		if r.attempts < s.policy.attempts {
			s.attempt(r)
		}
		return
	}
	s.breakers[r.router].Failure(s.loop.now, endpointName(e), outcome.EndpointFailed)
	a := retry.Attempts{Kind: &s.kind, Dispatched: r.attempts, Remaining: stormDeadline - s.loop.now.Sub(r.sent), ServeTime: stormServiceTime}
	if a.CheckRetry() != outcome.OK {
		return
	}
	if s.budgets[r.router].Take(endpointName(e)) == outcome.OK {
		s.attempt(r)
	}
}

// maxAmplification is the largest number of attempts per request while endpoints
// fail: one, plus stormRetryShare, plus retries that the budget had saved before.
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
				s := newStormSimulation(seed, p, failing).run()
				attempts = append(attempts, ratio(float64(s.attempts), float64(s.requests)))
				inTime = append(inTime, ratio(float64(s.inTime), float64(s.requests)))
			}
			figure := report.add(workload, p.name, "attempts per request", attempts)
			report.add(workload, p.name, "in time", inTime)
			if p.budget {
				report.atMost("attempts per request, "+workload, maxAmplification, figure.Max)
			}
		}
	}
	return report, nil
}
