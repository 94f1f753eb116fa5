package engine_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/standin/engine"
	"github.com/stoatmount/stoatmount/standin/fault"
)

// response is one streamed response as seen by a client.
type response struct {
	status   int  // 0: no response
	own      bool // has the id of this request
	whole    bool // has the end marker
	cleanEnd bool // the body ended without an error
	notRun   bool
}

func observe(c *qt.C, e *engine.Engine, q chat) response {
	resp, err := q.send(c, e)
	if err != nil {
		return response{}
	}
	defer closeBody(c, resp)
	data, err := io.ReadAll(resp.Body)
	_, whole := readStream(c, bytes.NewReader(data))
	return response{
		status:   resp.StatusCode,
		own:      resp.Header.Get(protocol.HeaderRequestID) == q.id,
		whole:    whole,
		cleanEnd: err == nil,
		notRun:   resp.Header.Get(protocol.HeaderNotRun) == "true",
	}
}

func TestFaultEffects(t *testing.T) {
	ok := http.StatusOK
	tests := []struct {
		fault    fault.Name
		arrivals int
		want     response
	}{
		{fault.Refuse, 0, response{status: http.StatusServiceUnavailable, own: true, cleanEnd: true, notRun: true}},
		{fault.CrashBefore, 0, response{}},
		{fault.LostReply, 1, response{}},
		{fault.Crossed, 1, response{status: ok, whole: true, cleanEnd: true}},
		{fault.Late, 1, response{status: ok, own: true, whole: true, cleanEnd: true}},
		{fault.Slow, 1, response{status: ok, own: true, whole: true, cleanEnd: true}},
		{fault.Truncate, 1, response{status: ok, own: true, cleanEnd: true}},
		{fault.Cut, 1, response{status: ok, own: true}},
		{fault.TurnCold, 1, response{status: ok, own: true, whole: true, cleanEnd: true}},
	}
	for _, test := range tests {
		t.Run(string(test.fault), func(t *testing.T) {
			c := qt.New(t)
			e := start(c, engine.Options{})
			c.Assert(e.Faults().On(fault.Fault{Name: test.fault, Count: 1, Delay: time.Millisecond}), qt.IsNil)
			c.Check(observe(c, e, chat{id: "r", text: "x", stream: true}), qt.Equals, test.want)
			c.Check(e.ArrivalsByRequestID("r"), qt.Equals, test.arrivals)
		})
	}
}

func TestCrashMarkerCrashesTheEngine(t *testing.T) {
	c := qt.New(t)
	e := start(c, engine.Options{ResumeGrace: time.Hour})
	incarnation := e.Incarnation()
	c.Check(observe(c, e, chat{id: "bad", text: "x " + engine.CrashMarker, stream: true}).whole, qt.IsFalse)
	await(c, "the restart", func() bool { return e.Incarnation() != incarnation })
	crash := e.Crashes()[0]
	c.Check(crash.Reason, qt.Equals, "poison")
	c.Check(crash.Running, qt.DeepEquals, []string{"bad"})
	await(c, "service", func() bool { return observe(c, e, chat{id: "good", text: "x", stream: true}).whole })
}

func TestOverloadCrashesTheEngine(t *testing.T) {
	c := qt.New(t)
	e := start(c, engine.Options{Capacity: 8, ColdCapacity: 1, WarmAfter: 9, CrashOverrun: 2, TokenTime: time.Hour})
	for i := range 3 {
		go func() {
			if resp, err := (chat{text: "x"}).send(c, e); err == nil {
				closeBody(c, resp)
			}
		}()
		await(c, "the request", func() bool { return e.Stats().Arrivals == i+1 })
	}
	await(c, "the crash", func() bool { return e.Stats().Crashes == 1 })
	c.Check(e.Crashes()[0].Reason, qt.Equals, "overload")
	c.Check(e.Stats().WorstColdOverrun, qt.Equals, 2)
}

func TestSilenceKeepsConnectionOpen(t *testing.T) {
	c := qt.New(t)
	e := start(c, engine.Options{ResumeGrace: time.Hour, KeepFinished: time.Hour})
	c.Assert(e.Faults().On(fault.Fault{Name: fault.Silence, Count: 1}), qt.IsNil)
	q := chat{id: "r", text: "x", maxTokens: 4, stream: true}
	resp, err := q.send(c, e)
	c.Assert(err, qt.IsNil)
	defer closeBody(c, resp)
	await(c, "the silence", func() bool { return e.Faults().Triggered(fault.Silence) == 1 })
	other, err := http.Get(e.URL() + protocol.PathRequests + "r/stream?offset=0")
	c.Assert(err, qt.IsNil)
	defer closeBody(c, other)
	text, whole := readStream(c, other.Body)
	c.Check(whole, qt.IsTrue)
	c.Check(text, qt.Equals, engine.ExpectedResponse(q.messages(), 4))
}

func TestLoadReportsAreDelayed(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	e := start(c, engine.Options{Clock: clock, LoadLag: time.Second})
	clock.Advance(5 * time.Second)
	chat{id: "r", text: "x"}.complete(c, e)
	report := e.Load()
	c.Check(report.Completed, qt.Equals, uint64(0))
	c.Check(report.AgeMs, qt.Equals, int64(1000))
	clock.Advance(time.Second)
	c.Check(e.Load().Completed, qt.Equals, uint64(1))
}

func events(c *qt.C, e *engine.Engine) protocol.CacheEvents {
	resp, err := http.Get(e.URL() + protocol.PathCacheEvents + "?from=1")
	c.Assert(err, qt.IsNil)
	defer closeBody(c, resp)
	var page protocol.CacheEvents
	c.Assert(json.NewDecoder(resp.Body).Decode(&page), qt.IsNil)
	return page
}

func TestCacheEventsAreDelayedAndHaveGaps(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	e := start(c, engine.Options{Clock: clock, CacheTokens: 1000, EventLag: time.Second})
	chat{session: "a", text: "x"}.complete(c, e)
	c.Check(events(c, e).Next, qt.Equals, uint64(1))
	c.Assert(e.Faults().On(fault.Fault{Name: fault.EventGap, Count: 1}), qt.IsNil)
	chat{session: "b", text: "x"}.complete(c, e)
	chat{session: "c", text: "x"}.complete(c, e)
	clock.Advance(time.Second)
	page := events(c, e)
	c.Check(page.Next, qt.Equals, uint64(4))
	c.Check(page.Events, qt.HasLen, 2)
	c.Check(page.Events[1].Session, qt.Equals, "c")
}

func TestCachedPrefixMovesBetweenEngines(t *testing.T) {
	c := qt.New(t)
	from := start(c, engine.Options{CacheTokens: 1000})
	to := start(c, engine.Options{CacheTokens: 1000})
	chat{session: "a", text: "hello"}.complete(c, from)
	resp, err := http.Post(from.URL()+protocol.PathCacheExport, "application/json", strings.NewReader(`{"session":"a"}`))
	c.Assert(err, qt.IsNil)
	defer closeBody(c, resp)
	moved, err := http.Post(to.URL()+protocol.PathCacheImport, "application/octet-stream", resp.Body)
	c.Assert(err, qt.IsNil)
	defer closeBody(c, moved)
	c.Check(moved.StatusCode, qt.Equals, http.StatusNoContent)
	c.Check(to.Cached("a"), qt.Equals, from.Cached("a"))
}

func sendOrder(c *qt.C, e *engine.Engine, order protocol.Order) int {
	body, err := json.Marshal(order)
	c.Assert(err, qt.IsNil)
	resp, err := http.Post(e.URL()+protocol.PathOrders, "application/json", bytes.NewReader(body))
	c.Assert(err, qt.IsNil)
	defer closeBody(c, resp)
	return resp.StatusCode
}

func TestOrdersAndFencingTokens(t *testing.T) {
	c := qt.New(t)
	for _, checks := range []bool{true, false} {
		e := start(c, engine.Options{Model: "m", Version: "1", ChecksFence: checks})
		incarnation := e.Incarnation()
		c.Check(sendOrder(c, e, protocol.Order{Fence: 7, Model: "m", Version: "2"}), qt.Equals, http.StatusAccepted)
		await(c, "the load", func() bool { return e.Load().Version == "2" && !e.Load().Loading })
		c.Check(e.Incarnation(), qt.Equals, incarnation+1)
		c.Check(sendOrder(c, e, protocol.Order{Fence: 7, Model: "m", Version: "2"}), qt.Equals, http.StatusOK)
		stale := sendOrder(c, e, protocol.Order{Fence: 6, Model: "m", Version: "1"})
		if checks {
			c.Check(stale, qt.Equals, http.StatusConflict)
			c.Check(e.Stats().StaleOrders, qt.Equals, 0)
			continue
		}
		c.Check(stale, qt.Equals, http.StatusAccepted)
		c.Check(e.Stats().StaleOrders, qt.Equals, 1)
	}
}

func TestUnknownFaultIsRejected(t *testing.T) {
	c := qt.New(t)
	e := start(c, engine.Options{})
	c.Check(e.Faults().On(fault.Fault{Name: "nonsense"}), qt.ErrorMatches, `unknown fault "nonsense"`)
	for _, info := range fault.List() {
		c.Check(e.Faults().On(fault.Fault{Name: info.Name}), qt.IsNil)
	}
}
