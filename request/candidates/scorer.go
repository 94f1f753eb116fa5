package candidates

import (
	"time"

	"github.com/stoatmount/stoatmount/version/config"
)

const (
	// endpointTimePrice is the price of a second of endpoint time, as a multiple of
	// scorer.worthPerSecond.
	endpointTimePrice = 0.5
	// delayPrice is the price of a second that the caller waits while the response
	// keeps its full worth, in the same unit.
	delayPrice = 0.25
	// coldSlowdown multiplies the prefill time at an endpoint in a cold start.
	coldSlowdown = 3
	// rankStep is the expected time by which a rendezvous choice must be faster to be
	// preferred to the one before it.
	rankStep = 20 * time.Millisecond
)

// scorer scores the candidates of one request.
type scorer struct {
	in             *Input
	model          *config.Model // nil for a plain service
	worthPerSecond float64       // worth of the kind divided by its deadline in seconds

	rankPenalty  float64
	holder       int // index of the endpoint with the longest known prefix, or -1
	holderTokens int // tokens expected there
}

func (sel *Selector) newScorer(in *Input) scorer {
	w := scorer{in: in, holder: -1}
	if in.Kind.Model != "" {
		w.model = sel.snapshot.Model(in.Kind.Model)
	}
	if d := in.Kind.Deadline.Std().Seconds(); d > 0 {
		w.worthPerSecond = in.Kind.Worth / d
	}
	w.rankPenalty = rankStep.Seconds() * w.worthPerSecond * delayPrice
	return w
}

func (w *scorer) noteHolder(index, cached int, confidence float64) {
	if expected := int(float64(cached) * confidence); expected > w.holderTokens {
		w.holder, w.holderTokens = index, expected
	}
}

// prefill returns the time to compute tokens of the prompt.
func (w *scorer) prefill(tokens int) time.Duration {
	if w.model == nil || w.model.PrefillPerSecond <= 0 || tokens <= 0 {
		return 0
	}
	return time.Duration(tokens) * time.Second / time.Duration(w.model.PrefillPerSecond)
}

// newCandidate returns endpoint e as a candidate with its score.
func (w *scorer) newCandidate(e *config.Endpoint, s *hintState, reason Reason, cached int) Candidate {
	compute := w.prefill(w.in.Prompt - cached)
	if s.recent && s.load.Cold {
		compute *= coldSlowdown
	}
	c := Candidate{Endpoint: e, Reason: reason, Cached: cached, endpointTime: compute}
	wait := s.expectedWait()
	c.Expected = wait + compute + w.in.TimeAfterPrefill
	c.score = w.score(c.Expected, c.endpointTime)
	return c
}

// score returns the worth of a response after expected, less the price of the
// delay and of the endpoint time.
func (w *scorer) score(expected, endpointTime time.Duration) float64 {
	worth := w.in.Kind.WorthAt(w.in.Age + expected)
	worth -= w.worthPerSecond * delayPrice * expected.Seconds()
	worth -= w.worthPerSecond * endpointTimePrice * endpointTime.Seconds()
	return worth
}

// waitForScore returns the wait that costs as much as the difference of two scores.
func (w *scorer) waitForScore(difference float64) time.Duration {
	price := w.worthPerSecond * delayPrice
	if price <= 0 {
		return 0
	}
	return time.Duration(difference / price * float64(time.Second))
}

// considerMove changes candidate to one that moves the holder's cache first, if
// that scores higher than computing the prefix.
func (w *scorer) considerMove(sel *Selector, candidate *Candidate, s *hintState) {
	if w.holder < 0 || w.model == nil || w.model.MovePerSecond <= 0 {
		return
	}
	move := time.Duration(w.holderTokens) * time.Second / time.Duration(w.model.MovePerSecond)
	compute := w.prefill(w.in.Prompt - w.holderTokens)
	expected := s.expectedWait() + move + compute + w.in.TimeAfterPrefill
	score := w.score(expected, move+compute)
	if score <= candidate.score {
		return
	}
	candidate.MoveFrom = sel.snapshot.Config.Endpoints[w.holder].Name
	candidate.Cached = w.holderTokens
	candidate.Expected = expected
	candidate.endpointTime = move + compute
	candidate.score = score
}
