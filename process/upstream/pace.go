package upstream

import (
	"math"
	"time"

	"github.com/stoatmount/stoatmount/request/balance"
)

const (
	minPace = 0.25
	maxPace = 10
	// paceFade is the time constant with which the last reported pace fades to the lasting one.
	paceFade = 500 * time.Millisecond
	// lastingPaceWindow is the time over which the lasting pace is averaged. Without a report for that
	// long it fades to 1, so that an endpoint that was left out is tried again.
	lastingPaceWindow = 10 * time.Second
	// paceTTL is the time without a report after which an endpoint's pace is unknown again.
	paceTTL = 4 * lastingPaceWindow
	// lastingPacePrior is the time for which an endpoint counts as observed at pace 1 before its
	// first report, since a single report may be from a short slow phase.
	lastingPacePrior = 2 * time.Second
)

// pace is how long work takes at an endpoint by its reports, as a multiple of the usual time.
type pace struct {
	at       time.Time // of the last report; zero if there was none
	last     float64
	lasting  float64
	observed time.Duration // that lasting is the average of
	toTell   bool          // the last report is this router's, and the others have not been told
}

// record records a report. It drops a report that is older than the last one, and returns false. A report stands for at most
// paceFade, as what happened between distant reports is not known.
func (p *pace) record(at time.Time, reported float64) bool {
	reported = min(max(reported, minPace), maxPace)
	covers := paceFade
	if p.at.IsZero() {
		p.lasting, p.observed = 1, lastingPacePrior
	} else {
		elapsed := at.Sub(p.at)
		if elapsed < 0 {
			return false
		}
		covers = min(covers, elapsed)
		p.lasting = p.lastingAt(at)
	}
	p.lasting += (reported - p.lasting) * float64(covers) / float64(p.observed+covers)
	p.observed = min(p.observed+covers, lastingPaceWindow)
	p.last, p.at = reported, at
	return true
}

// lastingAt returns the lasting pace.
func (p *pace) lastingAt(now time.Time) float64 {
	if p.at.IsZero() || now.Sub(p.at) >= paceTTL {
		return 1
	}
	silent := max(0, now.Sub(p.at)-lastingPaceWindow)
	return 1 + (p.lasting-1)*math.Exp(-float64(silent)/float64(lastingPaceWindow))
}

// over returns the expected mean pace during work that begins now.
func (p *pace) over(now time.Time, work time.Duration) float64 {
	if p.at.IsZero() {
		return 1
	}
	lasting := p.lastingAt(now)
	left := math.Exp(-float64(max(0, now.Sub(p.at))) / float64(paceFade))
	if x := float64(work) / float64(paceFade); x > 0 {
		left *= -math.Expm1(-x) / x
	}
	return lasting + (p.last-lasting)*left
}

// RecordPace records the pace that an endpoint reported with a response.
func (t *Table) RecordPace(at time.Time, g *balance.Grant, reported float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g.Pace = min(max(reported, minPace), maxPace)
	if ep := t.byID[g.ID]; ep != nil && ep.Started == g.Started {
		t.recordPace(at, ep, reported, true)
	}
}

// RecordStatusPace records the pace that the endpoint at an address reported with a status check.
func (t *Table) RecordStatusPace(at time.Time, addr string, reported float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ep := range t.byID {
		if ep.Addr == addr && !t.isSuperseded(at, ep) {
			t.recordPace(at, ep, reported, true)
		}
	}
}

// recordPace records a pace; own means that the endpoint reported it to this router.
func (t *Table) recordPace(at time.Time, ep *endpoint, reported float64, own bool) {
	news := own && ep.pace.isNews(at, reported)
	if ep.pace.record(at, reported) {
		ep.pace.toTell = news
	}
	t.loadOf(ep.Service).paced = true
}

// setPaces sets the pace of each candidate during the request's work, and the mean lasting pace of
// all, if some endpoint of the service has reported its pace.
func (t *Table) setPaces(now time.Time, req balance.Request, endpoints []*endpoint, list []balance.Candidate) {
	t.meanPace = 1
	load := t.loadOf(req.Service)
	if !load.paced || len(list) == 0 {
		return
	}
	work := load.serviceTimes.ClassMean(req.Class)
	if work == 0 {
		work = load.serviceTimes.Mean()
	}
	sum := 0.0
	for i, ep := range endpoints {
		list[i].Pace = ep.pace.over(now, work)
		sum += ep.pace.lastingAt(now)
	}
	t.meanPace = sum / float64(len(list))
}

// relativePace returns the pace of a candidate relative to the mean of the service, which the measured
// service times include.
func (t *Table) relativePace(c *balance.Candidate) float64 {
	if c.Pace == 0 {
		return 1
	}
	return c.Pace / t.meanPace
}

// usualLatency returns what a latency would have been at pace 1; a pace of 0 is not known.
func usualLatency(latency time.Duration, pace float64) time.Duration {
	if pace == 0 {
		return latency
	}
	return time.Duration(float64(latency) / pace)
}
