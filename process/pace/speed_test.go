package pace

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	eventTime   = 20 * time.Millisecond // of the runs that have ended
	eventsOfRun = 50
)

// run is a run in progress whose events come one by one.
type run struct {
	*Running
	at     time.Time
	events int
}

// begin begins a run of a route at t0.
func begin(table *Table, route, service string) *run {
	return &run{table.Begin(t0, route, service, Size{}), t0, 0}
}

// receive receives n events, all of them in one read after each pause.
func (r *run) receive(n int, pauses ...time.Duration) {
	for _, p := range pauses {
		r.at, r.events = r.at.Add(p), r.events+n
		r.Progress(r.at, r.events)
	}
}

// repeat returns n pauses.
func repeat(n int, pause time.Duration) []time.Duration {
	pauses := make([]time.Duration, n)
	for i := range pauses {
		pauses[i] = pause
	}
	return pauses
}

// ended returns a table with runs of eventTime, and the bound that they give.
func ended(c *qt.C) (*Table, time.Duration) {
	const runs = 100
	table := &Table{}
	for range runs {
		r := begin(table, route, service)
		r.receive(1, repeat(eventsOfRun, eventTime)...)
		table.End(t0, r.Running)
		table.Record(t0, route, Run{Took: eventsOfRun * eventTime, First: eventTime, Complete: true})
	}
	bound, known := table.Bound(t0.Add(2*recentTime), route, service, Size{})
	c.Assert(known, qt.IsTrue)
	return table, bound
}

// Guards against the speed of earlier runs for a request whose endpoints are slower now.
func TestBoundGrowsWithTheTimeOfEventsNow(t *testing.T) {
	const slow = 3
	now := t0.Add(2 * recentTime)
	for name, test := range map[string]struct {
		running func(table *Table)
		slower  float64 // factor of the time of events
	}{
		"none in progress": {func(*Table) {}, 1},
		"as before":        {func(t *Table) { begin(t, route, service).receive(1, repeat(20, eventTime)...) }, 1},
		"slow": {func(t *Table) {
			r := begin(t, route, service)
			r.receive(1, repeat(20, eventTime)...)
			r.receive(1, repeat(6, slow*eventTime)...)
		}, slow},
		"slow, on a route that was not seen": {func(t *Table) {
			begin(t, "another", service).receive(1, repeat(6, slow*eventTime)...)
		}, slow},
		"slow, and ended a moment ago": {func(t *Table) {
			r := begin(t, route, service)
			r.receive(1, repeat(6, slow*eventTime)...)
			t.End(now.Add(-recentTime/2), r.Running)
		}, slow},
		"slow, and ended before that": {func(t *Table) {
			r := begin(t, route, service)
			r.receive(1, repeat(6, slow*eventTime)...)
			t.End(now.Add(-2*recentTime), r.Running)
		}, 1},
		"slow, of another service": {func(t *Table) { begin(t, route, "another").receive(1, repeat(6, slow*eventTime)...) }, 1},
		"slow, one of five": {func(t *Table) {
			begin(t, route, service).receive(1, repeat(6, slow*eventTime)...)
			for range 4 {
				begin(t, route, service).receive(1, repeat(6, eventTime)...)
			}
		}, 1},
		"two events in each read": {func(t *Table) { begin(t, route, service).receive(2, repeat(8, 2*eventTime)...) }, 1},
		"too few events":          {func(t *Table) { begin(t, route, service).receive(1, repeat(3, slow*eventTime)...) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			table, before := ended(c)
			test.running(table)
			bound, known := table.Bound(now, route, service, Size{})
			c.Assert(known, qt.IsTrue)
			const share = (eventsOfRun - 1.0) / eventsOfRun // of the time that the bound is of, after the first event
			want := time.Duration((1 + share*(test.slower-1)) * float64(before))
			c.Check(bound-want < want/100 && want-bound < want/100, qt.IsTrue, qt.Commentf("%v, want %v", bound, want))
		})
	}
}

// Guards against a bound on the rest of a stream that counts the time before its first event once more.
func TestRestOfARunDoesNotHangOnItsWait(t *testing.T) {
	c := qt.New(t)
	table, bound := ended(c)
	now := t0.Add(10 * time.Second)
	r := begin(table, route, service)
	_, known := table.Bound(now, route, service, Size{})
	c.Check(known, qt.IsFalse) // it has taken longer than the bound
	rest, known := table.Rest(now, r.Running)
	c.Check(known, qt.IsTrue)
	c.Check(rest >= eventsOfRun*eventTime && rest < bound, qt.IsTrue, qt.Commentf("%v", rest))
}
