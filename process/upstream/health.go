package upstream

import (
	"time"

	"github.com/stoatmount/stoatmount/request/balance"
)

const (
	unreachedOut  = 1500 * time.Millisecond // about how long a crashed endpoint takes to start again
	brokenOut     = 2 * time.Second
	erringOut     = 3 * time.Second
	longestOut    = 10 * time.Second
	brokenInRow   = 3    // broken connections in a row that take an endpoint out
	errorWeight   = 0.12 // of the newest result in the smoothed error rate
	latencyWeight = 0.2  // of the newest sample in the smoothed latency
	erringOver    = 0.28 // error rate above that of the other endpoints that takes one out
	slowOver      = 3.0  // times the median latency of the others that counts as slow
	fewestSamples = 5    // before rates are compared
	// slowMemory is how long a slow endpoint stays set aside without a new
	// sample before it is tried again.
	slowMemory = 2 * time.Second
)

// health is what this router's own requests showed of an endpoint.
type health struct {
	outUntil  time.Time
	outs      int // times in a row that it was taken out
	inRow     int // broken connections in a row
	samples   int
	errorRate float64
	latency   time.Duration
	latencyN  int
	latencyAt time.Time
	unproven  bool      // may have started again and be cold, which its entry does not tell yet
	provenAt  time.Time // when its entry would tell; zero before its first answer
}

// coldKnown is the time after its first answer by which the registry tells
// whether an endpoint has started again and is cold.
const coldKnown = 1500 * time.Millisecond

// answered notes that the endpoint answered after it may have crashed.
func (h *health) answered(now time.Time) {
	if !h.unproven {
		return
	}
	if h.provenAt.IsZero() {
		h.provenAt = now.Add(coldKnown)
	} else if now.After(h.provenAt) {
		h.unproven = false
	}
}

func (h *health) record(now time.Time, f balance.Failure, latency time.Duration) {
	switch f {
	case balance.NotReached:
		h.unproven, h.provenAt = true, time.Time{}
		h.takeOut(now, unreachedOut)
		return
	case balance.Broken:
		h.inRow++
		h.sample(1)
		if h.inRow >= brokenInRow {
			h.takeOut(now, brokenOut)
		}
		return
	case balance.TimedOut:
		h.inRow++
		h.sample(1)
		if h.inRow >= brokenInRow {
			h.takeOut(now, brokenOut)
		}
		return
	case balance.Shed, balance.Abandoned:
		return
	case balance.ServerError:
		h.sample(1)
	case balance.NoFailure:
		h.sample(0)
		h.outs = 0
	}
	h.inRow = 0
	h.answered(now)
	if latency > 0 {
		h.addLatency(now, latency)
	}
}

func (h *health) sample(failed float64) {
	h.samples++
	h.errorRate += errorWeight * (failed - h.errorRate)
}

func (h *health) addLatency(now time.Time, latency time.Duration) {
	h.latencyN++
	h.latencyAt = now
	if h.latency == 0 {
		h.latency = latency
		return
	}
	h.latency += time.Duration(latencyWeight * float64(latency-h.latency))
}

func (h *health) takeOut(now time.Time, base time.Duration) {
	if now.Before(h.outUntil) {
		return
	}
	d := min(base<<min(h.outs, 3), longestOut)
	h.outUntil = now.Add(d)
	h.outs++
	h.inRow = 0
}

// checkErring takes an endpoint out whose error rate lies far above that of
// the others of its service.
func (h *health) checkErring(now time.Time, others float64) bool {
	if h.samples < fewestSamples || h.errorRate < others+erringOver || now.Before(h.outUntil) {
		return false
	}
	h.takeOut(now, erringOut)
	h.samples, h.errorRate = 0, 0
	return true
}

func (h *health) slow(now time.Time, median time.Duration) bool {
	return h.latencyN >= fewestSamples && median > 0 && now.Sub(h.latencyAt) < slowMemory &&
		float64(h.latency) > slowOver*float64(median)
}
