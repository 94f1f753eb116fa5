package candidates

import (
	"time"

	"github.com/stoatmount/stoatmount/version/config"
)

const (
	// costPrice is the price of a second of endpoint time, as a share of the
	// kind's worth per deadline.
	costPrice = 0.5
	// delayPrice is the price of a second that the caller waits while the
	// answer keeps its full worth, in the same unit.
	delayPrice = 0.25
	// coldSlowdown multiplies the prefill time at an endpoint in a cold start.
	coldSlowdown = 3
	// rankStep is the expected time by which a later rendezvous choice must
	// be better to go before an earlier one.
	rankStep = 20 * time.Millisecond
)

// weigher scores candidates of one request.
type weigher struct {
	in       *Input
	model    *config.Model // nil for a plain service
	perPoint float64       // points per second of the kind: worth over deadline

	rankPenalty float64
	holder      int // index of the endpoint with the longest known prefix, or -1
	holderHas   int // tokens expected there
}

func (c *Selector) weigher(in *Input) weigher {
	w := weigher{in: in, holder: -1}
	if in.Kind.Model != "" {
		w.model = c.snapshot.Model(in.Kind.Model)
	}
	if d := in.Kind.Deadline.Std().Seconds(); d > 0 {
		w.perPoint = in.Kind.Worth / d
	}
	w.rankPenalty = rankStep.Seconds() * w.perPoint * delayPrice
	return w
}

func (w *weigher) hold(index, cached int, confidence float64) {
	if expected := int(float64(cached) * confidence); expected > w.holderHas {
		w.holder, w.holderHas = index, expected
	}
}

// prefill returns the time to compute tokens of the prompt.
func (w *weigher) prefill(tokens int) time.Duration {
	if w.model == nil || w.model.PrefillPerSecond <= 0 || tokens <= 0 {
		return 0
	}
	return time.Duration(tokens) * time.Second / time.Duration(w.model.PrefillPerSecond)
}

// weigh returns the candidate e with its score.
func (w *weigher) weigh(e *config.Endpoint, s *state, reason Reason, cached int) Candidate {
	compute := w.prefill(w.in.Prompt - cached)
	if s.known && s.load.Cold {
		compute *= coldSlowdown
	}
	c := Candidate{Endpoint: e, Reason: reason, Cached: cached, cost: compute}
	wait := s.wait()
	c.Expected = wait + compute + w.in.ServeTime
	c.score = w.score(c.Expected, c.cost)
	return c
}

// score is the worth of an answer after expected, less the price of the time
// and of the endpoint's work.
func (w *weigher) score(expected, cost time.Duration) float64 {
	worth := w.in.Kind.WorthAt(w.in.Age + expected)
	worth -= w.perPoint * delayPrice * expected.Seconds()
	worth -= w.perPoint * costPrice * cost.Seconds()
	return worth
}

// worthWaiting returns the wait that costs as much as the difference of two
// scores.
func (w *weigher) worthWaiting(difference float64) time.Duration {
	price := w.perPoint * delayPrice
	if price <= 0 {
		return 0
	}
	return time.Duration(difference / price * float64(time.Second))
}

// tryMove changes candidate to one that gets the holder's cache first, if that
// is better than to recompute.
func (w *weigher) tryMove(c *Selector, candidate *Candidate, s *state) {
	if w.holder < 0 || w.model == nil || w.model.MovePerSecond <= 0 {
		return
	}
	move := time.Duration(w.holderHas) * time.Second / time.Duration(w.model.MovePerSecond)
	compute := w.prefill(w.in.Prompt - w.holderHas)
	expected := s.wait() + move + compute + w.in.ServeTime
	score := w.score(expected, move+compute)
	if score <= candidate.score {
		return
	}
	candidate.MoveFrom = c.snapshot.Config.Endpoints[w.holder].Name
	candidate.Cached = w.holderHas
	candidate.Expected = expected
	candidate.cost = move + compute
	candidate.score = score
}
