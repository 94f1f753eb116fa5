package permits

import (
	"time"
)

const (
	// transit is how long a load report or a granted call is usually under way: two
	// hops of 1 to 4 ms and the time that processes need. Permits younger than this
	// may not yet be part of a load report.
	transit = 8 * time.Millisecond
	// reportWeight is the weight of a load report in the average of the load beyond
	// permits. One report is off by one or two calls, because some are under way.
	reportWeight = 0.5
	// excessConstant is the time constant with which the load beyond permits decays
	// without reports.
	excessConstant = time.Second
	// maxLoad bounds the reported numbers of calls.
	maxLoad = 1 << 20
	// maxReportAge is the age from which a load report is of no use.
	maxReportAge = time.Second

	// queuePerSlot is the short queue at an endpoint, in calls per slot. It bridges the
	// time between the end of a call and the arrival of the next one, which is about a third
	// of a call: a quarter left a sixth of the slots idle at the peak.
	queuePerSlot = 0.75
	// crossZone is how much shorter the expected time in another zone has to be.
	crossZone = 2 * time.Millisecond

	// paceConstant is the time constant with which a momentary pace decays to the
	// lasting one: machines are slow for about 0.6 s at a time.
	paceConstant = 500 * time.Millisecond
	// lastingConstant averages the lasting pace.
	lastingConstant = 10 * time.Second
	minPace         = 0.25
	maxPace         = 10
)

// endpoint is the state of one endpoint at the owner.
type endpoint struct {
	Endpoint
	held    []*permit // in the order of the grants
	reading int       // held permits of long prompts

	// excess is the reported load beyond the held permits at excessAt. It is negative
	// if held permits are no longer in use, because a Done was lost.
	excess   float64
	excessAt time.Time
	pace     pace
	took     time.Duration // mean duration of its calls; 0 is unknown
}

// report takes a load report that was received at.
func (e *endpoint) report(now, at time.Time, load Load) {
	if load.Slots > 0 {
		e.Slots = load.Slots
	}
	e.pace.report(at, load.Pace)
	least, most := 0, 0 // of the held permits, how many the report may include
	for _, p := range e.held {
		least += flag(at.Sub(p.granted) >= transit)
		most += flag(!at.Before(p.granted))
	}
	reported := min(load.Running, maxLoad) + min(load.Waiting, maxLoad)
	seen := float64(max(reported-most, 0) + min(reported-least, 0))
	if e.excessAt.IsZero() {
		e.excess = seen
	} else {
		old := e.excess * decay(at.Sub(e.excessAt), excessConstant)
		e.excess = old + reportWeight*(seen-old)
	}
	e.excessAt = at
}

// load returns the expected number of calls that run or wait at the endpoint. Held
// permits are left out only if the endpoint reports fewer calls and they are overdue.
func (e *endpoint) load(now time.Time, overdueAfter time.Duration) float64 {
	n := float64(len(e.held))
	excess := e.excess * decay(now.Sub(e.excessAt), excessConstant)
	if excess >= 0 {
		return n + excess
	}
	overdue := 0
	for _, p := range e.held {
		if now.Sub(p.granted) < overdueAfter {
			break
		}
		overdue++
	}
	return n + max(excess, -float64(overdue))
}

// limit returns the load up to which permits are granted. The queue is shorter at a
// slow endpoint, where calls end less often.
func (e *endpoint) limit(pace float64) float64 {
	return float64(e.Slots) * (1 + queuePerSlot/max(pace, 1))
}

// expected returns how long one more call would take at the endpoint, given its load
// and pace, the mean work of calls at pace 1 and the work of this one.
func (e *endpoint) expected(load, pace float64, mean, work time.Duration) time.Duration {
	wait := 0.0
	if slots := float64(max(e.Slots, 1)); load >= slots {
		wait = (load - slots + 1) / slots * float64(mean)
	}
	return time.Duration(pace * (wait + float64(work)))
}

// end removes a permit.
func (e *endpoint) end(p *permit) {
	for i, h := range e.held {
		if h == p {
			e.held = append(e.held[:i], e.held[i+1:]...)
			if p.long {
				e.reading--
			}
			return
		}
	}
}

// pace is how long work takes at an endpoint, as reported; 1 is as usual.
type pace struct {
	momentary, lasting float64 // 0 is unknown
	at                 time.Time
}

func (p *pace) report(at time.Time, reported float64) {
	if !(reported > 0) || at.Before(p.at) {
		return
	}
	reported = min(max(reported, minPace), maxPace)
	if p.lasting == 0 {
		p.lasting = 1
	} else {
		p.lasting = reported + (p.lasting-reported)*decay(at.Sub(p.at), lastingConstant)
	}
	p.momentary, p.at = reported, at
}

// now returns the pace expected at now, or 0 if unknown.
func (p *pace) now(now time.Time) float64 {
	return p.lasting + (p.momentary-p.lasting)*decay(now.Sub(p.at), paceConstant)
}
