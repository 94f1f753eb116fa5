package upstream

import (
	"time"

	"github.com/stoatmount/stoatmount/request/balance"
)

const (
	unreachableEjection  = 1500 * time.Millisecond // about the restart time of a crashed endpoint
	brokenEjection       = 2 * time.Second
	errorRateEjection    = 3 * time.Second
	maxEjection          = 10 * time.Second
	maxConsecutiveBroken = 3    // consecutive broken connections and timeouts that eject an endpoint
	errorWeight          = 0.12 // of the newest result in the smoothed error rate
	latencyWeight        = 0.2  // of the newest sample in the smoothed latency
	maxExcessErrorRate   = 0.28 // error rate above that of the other endpoints that ejects one
	slowFactor           = 3.0  // multiple of the usable endpoints' median latency that counts as slow
	minSamples           = 5    // from which error rates and latencies are compared
	// slowTTL is how long an endpoint counts as slow without a new sample before it
	// gets requests again.
	slowTTL = 2 * time.Second
)

// health is the health of an endpoint as shown by this router's own requests.
type health struct {
	unreachableAt     time.Time // last time that no connection could be opened
	ejectedUntil      time.Time
	ejections         int // consecutive ones without a success between
	consecutiveBroken int // broken connections and timeouts in a row
	consecutiveLate   int // timeouts in a row
	samples           int
	errorRate         float64
	lateRate          float64       // part of errorRate that is timeouts
	lateAfter         time.Duration // what the last request that timed out had waited
	ejectedAsLate     bool          // timeouts alone caused the ejection
	latency           time.Duration // at pace 1
	latencySamples    int
	latencyAt         time.Time
	maybeCold         bool      // may have restarted and be cold though its entry does not say so yet
	registryCurrentAt time.Time // when its entry shows whether it has restarted; zero until it responds again
}

// registryLag is the time after an endpoint's first response by which the registry
// shows whether it has restarted and is cold.
const registryLag = 1500 * time.Millisecond

// noteResponse records that the endpoint responded after it may have crashed.
func (h *health) noteResponse(now time.Time) {
	if !h.maybeCold {
		return
	}
	if h.registryCurrentAt.IsZero() {
		h.registryCurrentAt = now.Add(registryLag)
	} else if now.After(h.registryCurrentAt) {
		h.maybeCold = false
	}
}

// record records the result of a request. latency is the time to its first byte, 0 if there was none; it took
// the given time in all. pace is what the endpoint reported with the response, 0 if nothing.
func (h *health) record(now time.Time, f balance.Failure, latency, took time.Duration, pace float64) {
	switch f {
	case balance.NotReached:
		h.unreachableAt = now
		h.maybeCold, h.registryCurrentAt = true, time.Time{}
		h.ejectedAsLate = false
		h.eject(now, unreachableEjection, false)
		return
	case balance.ResetAtOnce: // something listens, so that the process has not ended
		h.ejectedAsLate = false
		h.eject(now, unreachableEjection, false)
		return
	case balance.Broken:
		h.consecutiveLate = 0
		h.sample(1, 0)
		h.countBroken(now)
		return
	case balance.TimedOut:
		h.consecutiveLate++
		h.lateAfter = took
		h.sample(1, 1)
		h.countBroken(now)
		return
	case balance.Shed, balance.Abandoned:
		return
	case balance.ServerError:
		h.sample(1, 0)
	case balance.NoFailure:
		h.sample(0, 0)
		h.ejections = 0
		if h.ejectedAsLate && latency >= h.lateAfter { // it is slow: those that timed out would have got responses
			h.ejectedAsLate, h.ejectedUntil = false, time.Time{}
		}
	}
	h.consecutiveBroken, h.consecutiveLate = 0, 0
	h.noteResponse(now)
	if latency > 0 {
		h.addLatency(now, usualLatency(latency, pace))
	}
}

// countBroken counts a broken connection or a timeout.
func (h *health) countBroken(now time.Time) {
	h.consecutiveBroken++
	if h.consecutiveBroken >= maxConsecutiveBroken {
		h.eject(now, brokenEjection, h.consecutiveLate >= maxConsecutiveBroken)
	}
}

func (h *health) sample(failed, late float64) {
	h.samples++
	h.errorRate += errorWeight * (failed - h.errorRate)
	h.lateRate += errorWeight * (late - h.lateRate)
}

func (h *health) addLatency(now time.Time, latency time.Duration) {
	h.latencySamples++
	h.latencyAt = now
	if h.latency == 0 {
		h.latency = latency
		return
	}
	h.latency += time.Duration(latencyWeight * float64(latency-h.latency))
}

// eject ejects the endpoint, unless it is ejected. late means that timeouts alone are the cause.
func (h *health) eject(now time.Time, base time.Duration, late bool) {
	if now.Before(h.ejectedUntil) {
		return
	}
	d := min(base<<min(h.ejections, 3), maxEjection)
	h.ejectedUntil = now.Add(d)
	h.ejectedAsLate = late
	h.ejections++
	h.consecutiveBroken, h.consecutiveLate = 0, 0
}

// ejectIfErring ejects an endpoint whose error rate is far above that of the others
// of its service.
func (h *health) ejectIfErring(now time.Time, others float64) bool {
	if h.samples < minSamples || h.errorRate < others+maxExcessErrorRate || now.Before(h.ejectedUntil) {
		return false
	}
	h.eject(now, errorRateEjection, h.errorRate-h.lateRate < others+maxExcessErrorRate)
	h.samples, h.errorRate, h.lateRate = 0, 0, 0
	return true
}

func (h *health) slow(now time.Time, median time.Duration) bool {
	return h.latencySamples >= minSamples && median > 0 && now.Sub(h.latencyAt) < slowTTL &&
		float64(h.latency) > slowFactor*float64(median)
}

// forgetFailures drops what failures since a time showed.
func (h *health) forgetFailures(since time.Time) {
	if h.unreachableAt.Before(since) && h.consecutiveBroken == 0 {
		return
	}
	h.unreachableAt, h.ejectedUntil = time.Time{}, time.Time{}
	h.ejections, h.consecutiveBroken, h.consecutiveLate, h.samples, h.errorRate, h.lateRate = 0, 0, 0, 0, 0, 0
	h.maybeCold, h.registryCurrentAt = false, time.Time{}
}
