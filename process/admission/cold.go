package admission

import (
	"time"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/version/config"
)

// Bounds within which first-token times tell that an endpoint became cold
// without notice.
const (
	outlierFactor  = 5.0  // times the usual
	outlierRun     = 5    // in a row
	usualSamples   = 20   // before the usual time is relied on
	usualWeight    = 0.05 // of the newest sample in the moving average
	firstTokenSlow = 50 * time.Millisecond
)

// warmth is what the owner knows of an endpoint's cold start. An endpoint of
// which nothing is known is cold.
type warmth struct {
	known     bool
	boot      uint64
	completed uint64    // highest in a report of this boot
	base      uint64    // completed when it last turned cold
	done      int       // completed since it turned cold, surely
	countFrom time.Time // requests granted before may be in done already

	usual    time.Duration // moving average of first-token times
	samples  int
	outliers int // in a row
}

// report takes in a load report at now and returns whether the endpoint turned
// cold.
func (w *warmth) report(now time.Time, r *protocol.LoadReport) bool {
	if w.boot != r.Incarnation || (w.boot == 0 && !w.known) {
		restarted := w.known
		*w = warmth{known: true, boot: r.Incarnation, completed: r.Completed, usual: w.usual, samples: w.samples}
		w.credit(now, r.Completed)
		return restarted
	}
	if r.Completed < w.completed { // its counters were reset
		w.known = true
		w.completed = r.Completed
		w.turnCold(now)
		return true
	}
	w.known = true
	w.completed = r.Completed
	w.credit(now, r.Completed-w.base)
	return false
}

// credit raises the completed work to what a report shows. Requests granted
// earlier may be part of it already and are not counted again.
func (w *warmth) credit(now time.Time, completed uint64) {
	if shown := int(min(completed, 1<<30)); shown > w.done {
		w.done = shown
		w.countFrom = now
	}
}

// lost notes that load reports stopped coming: the endpoint may have restarted
// unseen.
func (w *warmth) lost() {
	w.known = false
	w.done = 0
}

// completedOne notes a request that was granted at the given time, while the
// endpoint had the given boot number, and has completed. It returns whether
// first-token times show a cold endpoint.
func (w *warmth) completedOne(now, granted time.Time, boot uint64, firstToken time.Duration) bool {
	if !w.known || boot != w.boot {
		return false
	}
	if !granted.Before(w.countFrom) {
		w.done++
	}
	return firstToken > 0 && w.sample(now, firstToken)
}

func (w *warmth) sample(now time.Time, firstToken time.Duration) bool {
	slow := time.Duration(outlierFactor*float64(w.usual)) + firstTokenSlow
	if w.samples >= usualSamples && firstToken > slow {
		w.outliers++
		if w.outliers >= outlierRun {
			w.turnCold(now)
			return true
		}
		return false
	}
	w.outliers = 0
	if w.samples == 0 {
		w.usual = firstToken
	}
	w.samples++
	w.usual += time.Duration(usualWeight * float64(firstToken-w.usual))
	return false
}

// turnCold starts the ramp again.
func (w *warmth) turnCold(now time.Time) {
	w.base = w.completed
	w.done = 0
	w.countFrom = now
	w.samples, w.outliers = 0, 0
}

// cap returns the number of requests that e bears: it rises from ColdBears to
// Bears in proportion to the completed work.
func (w *warmth) cap(e *config.Endpoint) int {
	if !w.cold(e) {
		return e.Capacity
	}
	cold := min(e.ColdCapacity, e.Capacity)
	if !w.known {
		return cold
	}
	return cold + (e.Capacity-cold)*w.done/e.WarmAfter
}

// cold reports whether e is in a cold start.
func (w *warmth) cold(e *config.Endpoint) bool {
	return e.WarmAfter > 0 && e.ColdCapacity < e.Capacity && (!w.known || w.done < e.WarmAfter)
}
