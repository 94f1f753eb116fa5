package admission

import (
	"time"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/version/config"
)

// Thresholds for detecting from first-token times that an endpoint turned cold
// although its reports do not show it.
const (
	outlierFactor  = 5.0  // times the average, plus outlierMargin: a higher first-token time is an outlier
	outliersToCold = 5    // in a row
	minSamples     = 20   // before the average is used
	sampleWeight   = 0.05 // weight of the newest sample in the moving average
	outlierMargin  = 50 * time.Millisecond
)

// coldStart tracks the cold start of an endpoint. An endpoint without a load
// report counts as cold.
type coldStart struct {
	reported         bool // a report of this incarnation arrived and reports have not stopped since
	incarnation      uint64
	completed        uint64    // highest in a report of this incarnation
	completedAtStart uint64    // value of completed when the cold start began
	completedSince   int       // requests completed since then, a lower bound
	countGrantedFrom time.Time // completions of requests granted earlier are not added to completedSince

	average  time.Duration // moving average of first-token times
	samples  int
	outliers int // in a row
}

// update applies a load report and returns whether the endpoint turned cold.
func (c *coldStart) update(now time.Time, r *protocol.LoadReport) bool {
	if c.incarnation != r.Incarnation || (c.incarnation == 0 && !c.reported) {
		restarted := c.reported
		*c = coldStart{reported: true, incarnation: r.Incarnation, completed: r.Completed, average: c.average, samples: c.samples}
		c.raiseCompletedSince(now, r.Completed)
		return restarted
	}
	if r.Completed < c.completed { // its counters were reset
		c.reported = true
		c.completed = r.Completed
		c.restart(now)
		return true
	}
	c.reported = true
	c.completed = r.Completed
	c.raiseCompletedSince(now, r.Completed-c.completedAtStart)
	return false
}

// raiseCompletedSince raises completedSince to what a report shows. The report may
// include requests granted earlier, so their completions are not added again.
func (c *coldStart) raiseCompletedSince(now time.Time, completed uint64) {
	if reported := int(min(completed, 1<<30)); reported > c.completedSince {
		c.completedSince = reported
		c.countGrantedFrom = now
	}
}

// reportsLost records that load reports stopped: the endpoint may have restarted
// in between.
func (c *coldStart) reportsLost() {
	c.reported = false
	c.completedSince = 0
}

// requestCompleted records the completion of a request that was granted at the
// given time to the given incarnation of the endpoint. It returns whether
// first-token times show a cold endpoint.
func (c *coldStart) requestCompleted(now, granted time.Time, incarnation uint64, firstToken time.Duration) bool {
	if !c.reported || incarnation != c.incarnation {
		return false
	}
	if !granted.Before(c.countGrantedFrom) {
		c.completedSince++
	}
	return firstToken > 0 && c.addSample(now, firstToken)
}

func (c *coldStart) addSample(now time.Time, firstToken time.Duration) bool {
	slow := time.Duration(outlierFactor*float64(c.average)) + outlierMargin
	if c.samples >= minSamples && firstToken > slow {
		c.outliers++
		if c.outliers >= outliersToCold {
			c.restart(now)
			return true
		}
		return false
	}
	c.outliers = 0
	if c.samples == 0 {
		c.average = firstToken
	}
	c.samples++
	c.average += time.Duration(sampleWeight * float64(firstToken-c.average))
	return false
}

func (c *coldStart) restart(now time.Time) {
	c.completedAtStart = c.completed
	c.completedSince = 0
	c.countGrantedFrom = now
	c.samples, c.outliers = 0, 0
}

// capacity returns how many requests e can serve at once: it rises from
// ColdCapacity to Capacity in proportion to the completed work.
func (c *coldStart) capacity(e *config.Endpoint) int {
	if !c.active(e) {
		return e.Capacity
	}
	cold := min(e.ColdCapacity, e.Capacity)
	if !c.reported {
		return cold
	}
	return cold + (e.Capacity-cold)*c.completedSince/e.WarmAfter
}

// active reports whether e is in a cold start.
func (c *coldStart) active(e *config.Endpoint) bool {
	return e.WarmAfter > 0 && e.ColdCapacity < e.Capacity && (!c.reported || c.completedSince < e.WarmAfter)
}
