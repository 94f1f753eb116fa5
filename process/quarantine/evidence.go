package quarantine

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// confirmTime is how long a part is suspected until one run with it is tried, which
	// tells whether it is quarantined. Within it, the other routers tell of the runs that
	// completed. confirmRetry is the time until the next one if it tells nothing.
	confirmTime  = time.Second
	confirmRetry = 2 * time.Second
	// survivalTime is how long a run must have been writing its response for its parts not to
	// be at fault: a part crashes endpoints as they begin a response on it.
	survivalTime = time.Second
	// lossWindow is how long losses count.
	lossWindow = 2 * time.Minute
	// maxLosses bounds the losses that are kept, and maxReportedLosses those in one heartbeat.
	maxLosses         = 512
	maxReportedLosses = 32
	// maxCompletedParts bounds the parts whose last completed run is remembered.
	maxCompletedParts = 8192
	// maxReportedParts bounds the completed parts in one heartbeat.
	maxReportedParts = 64
	// maxPartsOfLoss bounds the parts of one prompt that are looked at, and maxLossParts those
	// of all losses in one heartbeat.
	maxPartsOfLoss = 32
	maxLossParts   = 256
)

// Loss is a run that was lost when its endpoint crashed, for other routers.
type Loss struct {
	Number   int64    `json:"n"` // of this router's losses, from 1
	Endpoint string   `json:"e"`
	SentMS   int64    `json:"sent"` // since the request was sent
	LostMS   int64    `json:"lost"` // since the crash was found
	Parts    []uint64 `json:"parts"`
}

// CompletedPart is the last completed run with a part, for other routers.
type CompletedPart struct {
	Part  uint64 `json:"part"`
	AgeMS int64  `json:"age"`
}

// Evidence is what other routers should know about parts of prompts.
type Evidence struct {
	Losses    []Loss          `json:"losses,omitempty"`
	Completed []CompletedPart `json:"completed,omitempty"`
}

// Source is the process of a router.
type Source struct {
	Router      string
	Incarnation int64
}

// Run is a run of a prompt at an endpoint.
type Run struct {
	Endpoint string
	SentAt   time.Time
	BegunAt  time.Time // first part of the response; zero if none came
	Parts    []uint64  // that the prompt shares with others
}

// loss is a run that was lost with its endpoint.
type loss struct {
	source   Source // zero for this router
	number   int64
	endpoint string
	sentAt   time.Time
	lostAt   time.Time
	parts    []uint64
}

// lossKey identifies a loss that another router reported.
type lossKey struct {
	source Source
	number int64
}

// crashEvent is the crash of an endpoint with the runs that were lost in it.
type crashEvent struct {
	at        time.Time
	losses    []*loss
	explained bool
}

// suspicion is a part that explains several crashes.
type suspicion struct {
	part    uint64
	with    []uint64 // other parts that all lost runs with it had; a request without them is not refused
	crashes int
	since   time.Time
	// nextTrial is when a run may be tried; confirmed is set once one was lost.
	nextTrial time.Time
	confirmed bool
}

// completion is when runs with a part completed last. Only those of this router are
// reported: a time that is passed on again grows with each delay on the way.
type completion struct{ last, own time.Time }

// evidence finds the parts of prompts that crash endpoints, from the runs that were lost
// and those that completed. It is guarded by Table.mu.
type evidence struct {
	losses     []*loss          // in the order in which they became known
	known      map[lossKey]bool // those of losses that other routers reported
	lastNumber int64
	completed  *simplelru.LRU[uint64, completion] // by part
	suspected  []suspicion
}

func newEvidence() evidence {
	completed, err := simplelru.NewLRU[uint64, completion](maxCompletedParts, nil)
	if err != nil {
		panic(err) // only a size below 1 is an error
	}
	return evidence{completed: completed, known: make(map[lossKey]bool)}
}

// lost records a run of this router that was lost with its endpoint.
func (e *evidence) lost(now time.Time, r Run) {
	if !r.BegunAt.IsZero() && now.Sub(r.BegunAt) >= survivalTime {
		e.complete(r.BegunAt.Add(survivalTime), r.Parts)
	} else {
		e.lastNumber++
		e.add(&loss{number: e.lastNumber, endpoint: r.Endpoint, sentAt: r.SentAt, lostAt: now, parts: r.Parts[:min(len(r.Parts), maxPartsOfLoss)]})
	}
	e.suspect(now)
}

func (e *evidence) add(l *loss) {
	if len(e.losses) >= maxLosses {
		oldest := e.losses[0]
		e.remove(func(l *loss) bool { return l == oldest })
	}
	e.losses = append(e.losses, l)
	if l.source != (Source{}) {
		e.known[lossKey{l.source, l.number}] = true
	}
}

// remove removes losses.
func (e *evidence) remove(which func(l *loss) bool) {
	e.losses = slices.DeleteFunc(e.losses, func(l *loss) bool {
		if which(l) {
			delete(e.known, lossKey{l.source, l.number})
			return true
		}
		return false
	})
}

// complete records a completed run of this router.
func (e *evidence) complete(at time.Time, parts []uint64) {
	for _, p := range parts {
		c, _ := e.completed.Get(p)
		e.completed.Add(p, completion{last: later(c.last, at), own: later(c.own, at)})
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// completedElsewhere records a completed run of another router.
func (e *evidence) completedElsewhere(at time.Time, part uint64) {
	c, _ := e.completed.Get(part)
	c.last = later(c.last, at)
	e.completed.Add(part, c)
}

// proven reports whether a run with a part is known to have completed.
func (e *evidence) proven(part uint64) bool { return e.completed.Contains(part) }

// report returns the recent losses of this router and the last completed runs with parts
// of recent losses.
func (e *evidence) report(now time.Time) Evidence {
	var r Evidence
	lossParts := 0
	told := make(map[uint64]bool)
	for _, l := range slices.Backward(e.losses) {
		if now.Sub(l.lostAt) >= lossWindow {
			continue
		}
		if l.source == (Source{}) && now.Sub(l.lostAt) < reportFor && len(r.Losses) < maxReportedLosses && lossParts+len(l.parts) <= maxLossParts {
			lossParts += len(l.parts)
			r.Losses = append(r.Losses, Loss{Number: l.number, Endpoint: l.endpoint, SentMS: now.Sub(l.sentAt).Milliseconds(),
				LostMS: now.Sub(l.lostAt).Milliseconds(), Parts: l.parts})
		}
		for _, p := range l.parts {
			c, _ := e.completed.Peek(p)
			if c.own.IsZero() || told[p] || now.Sub(l.lostAt) >= completionReportFor || len(r.Completed) >= maxReportedParts {
				continue
			}
			told[p] = true
			r.Completed = append(r.Completed, CompletedPart{Part: p, AgeMS: now.Sub(c.own).Milliseconds()})
		}
	}
	return r
}

// completionReportFor is how long after a loss the completed runs with its parts are reported.
const completionReportFor = 10 * time.Second

// merge applies the evidence of another router.
func (e *evidence) merge(now time.Time, from Source, r Evidence) {
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(max(ms, 0)) * time.Millisecond) }
	for _, c := range r.Completed {
		e.completedElsewhere(ago(c.AgeMS), c.Part)
	}
	added := false
	for _, l := range r.Losses {
		if !e.known[lossKey{from, l.Number}] && len(l.Parts) <= maxPartsOfLoss {
			e.add(&loss{source: from, number: l.Number, endpoint: l.Endpoint, sentAt: ago(l.SentMS), lostAt: ago(l.LostMS), parts: l.Parts})
			added = true
		}
	}
	if added || len(e.suspected) > 0 {
		e.suspect(now)
	}
}

// events groups the losses by crash: a run that was sent before an endpoint's crash was
// found was lost in it.
func (e *evidence) events(now time.Time) []*crashEvent {
	e.remove(func(l *loss) bool { return now.Sub(l.lostAt) >= lossWindow })
	ordered := slices.Clone(e.losses)
	slices.SortStableFunc(ordered, func(a, b *loss) int { return a.lostAt.Compare(b.lostAt) })
	var list []*crashEvent
	last := make(map[string]*crashEvent)
	for _, l := range ordered {
		ev := last[l.endpoint]
		if ev == nil || l.sentAt.After(ev.at) {
			ev = &crashEvent{at: l.lostAt}
			last[l.endpoint] = ev
			list = append(list, ev)
		}
		ev.losses = append(ev.losses, l)
	}
	return list
}

// suspect finds the parts that explain the crashes: again and again the one with the best
// case, whose crashes then count for no other part.
func (e *evidence) suspect(now time.Time) {
	before := e.suspected
	e.suspected = nil
	events := e.events(now)
	for {
		c := e.bestCandidate(now, events)
		if c == nil {
			return
		}
		s := suspicion{part: c.part, with: c.with, crashes: c.crashes, since: now, nextTrial: now.Add(confirmTime)}
		if i := slices.IndexFunc(before, func(b suspicion) bool { return b.part == s.part }); i >= 0 {
			s.since, s.nextTrial, s.confirmed = before[i].since, before[i].nextTrial, before[i].confirmed
		}
		for _, ev := range events {
			for _, l := range ev.losses {
				if holds(l.parts, s.part, s.with) {
					ev.explained = true
					s.confirmed = s.confirmed || l.sentAt.Sub(s.since) >= confirmTime/2 // other routers suspect it at other times
				}
			}
		}
		e.suspected = append(e.suspected, s)
	}
}

// suspectedIn returns the suspicion that a request with parts falls under, or nil.
func (e *evidence) suspectedIn(parts []uint64) *suspicion {
	for i := range e.suspected {
		if s := &e.suspected[i]; holds(parts, s.part, s.with) {
			return s
		}
	}
	return nil
}

// holds reports whether parts include a part and all others in with.
func holds(parts []uint64, part uint64, with []uint64) bool {
	if !slices.Contains(parts, part) {
		return false
	}
	for _, q := range with {
		if !slices.Contains(parts, q) {
			return false
		}
	}
	return true
}
