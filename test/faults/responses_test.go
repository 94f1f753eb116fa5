package faults

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/lab/fleet"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/standin/engine"
	"github.com/stoatmount/stoatmount/standin/fault"
)

// Faults of an endpoint that a retry must hide from the caller of an idempotent request.
var hiddenByRetry = []fault.Name{
	fault.Refuse, fault.LostReply, fault.Silence, fault.Truncate, fault.Cut, fault.Crossed, fault.CrashBefore, fault.Crash,
}

func TestChatIsCompleteWhenItsEndpointFails(t *testing.T) {
	for _, stream := range []bool{false, true} {
		for _, name := range hiddenByRetry {
			t.Run(string(name)+map[bool]string{true: "/stream"}[stream], func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				f := start(c, smallConfig(3, 1), 1)
				router := f.CallerAddresses()[0]
				warm := chat(c, router, "warm up", 8, stream)
				c.Assert(warm.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", warm))
				// One of three endpoints fails once; requests are sent until it does.
				faults := f.Site.Endpoint("e1").Faults()
				c.Assert(faults.On(fault.Fault{Name: name, Count: 1}), qt.IsNil)
				for i := 0; faults.Triggered(name) == 0; i++ {
					c.Assert(i < 100, qt.IsTrue, qt.Commentf("the fault did not trigger"))
					text := fmt.Sprintf("adapt scene %d", i)
					r := chat(c, router, text, 40, stream)
					c.Assert(r.bodyErr, qt.IsNil)
					c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", r))
					c.Check(r.text, qt.Contains, engine.ExpectedResponse(messages(text), 40))
				}
				checkGuarantees(c, f)
			})
		}
	}
}

// Guards against streams that a silence of their endpoint ends, as the others refuse.
func TestSilentStreamIsWholeThoughTheOtherEndpointsRefuse(t *testing.T) {
	c := qt.New(t)
	f := start(c, smallConfig(3, 1), 1)
	router := f.CallerAddresses()[0]
	faults := f.Site.Endpoint("e1").Faults()
	for i := 0; faults.Triggered(fault.Silence) == 0; i++ {
		c.Assert(i < 100, qt.IsTrue, qt.Commentf("the fault did not trigger"))
		text := fmt.Sprintf("adapt scene %d", i)
		if i == 1 { // the model is known to run by then
			c.Assert(faults.On(fault.Fault{Name: fault.Silence, Count: 1}), qt.IsNil)
			for _, name := range []string{"e0", "e2"} {
				c.Assert(f.Site.Endpoint(name).Faults().On(fault.Fault{Name: fault.Refuse}), qt.IsNil)
			}
		}
		r := chat(c, router, text, 40, true)
		c.Assert(r.bodyErr, qt.IsNil)
		c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", r))
		c.Check(r.text, qt.Contains, engine.ExpectedResponse(messages(text), 40))
	}
	checkGuarantees(c, f)
}

func TestBookingRunsAtMostOnceWhenItsEndpointFails(t *testing.T) {
	for _, name := range append([]fault.Name{fault.NoAnswer}, hiddenByRetry...) {
		t.Run(string(name), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := start(c, smallConfig(1, 2), 2)
			c.Assert(book(c, f.CallerAddresses()[0], newKey(c)).status, qt.Equals, http.StatusOK)
			injectFault(c, f, "s", name, 1)
			key := newKey(c)
			checkBooking(c, f, key, book(c, f.CallerAddresses()[0], key))
			checkBooking(c, f, key, book(c, f.CallerAddresses()[1], key))
			checkGuarantees(c, f)
		})
	}
}

// checkBooking compares a response with the executions at its arrival.
func checkBooking(c *qt.C, f *fleet.Fleet, key string, r response) {
	executed := f.Site.Executions("", key)
	c.Check(executed <= 1, qt.IsTrue)
	if r.bodyErr == nil && r.status == http.StatusOK {
		c.Check(executed, qt.Equals, 1)
	}
	if r.status >= http.StatusBadRequest && r.refused.Run == outcome.RunNot {
		c.Check(executed, qt.Equals, 0, qt.Commentf("%+v", r))
	}
}

func TestRetryGetsTheFirstResponse(t *testing.T) {
	c := qt.New(t)
	f := start(c, smallConfig(1, 2), 3)
	key := newKey(c)
	first := book(c, f.CallerAddresses()[0], key)
	c.Assert(first.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", first))
	await(c, "the stored response", func() bool {
		return book(c, f.CallerAddresses()[1], key).header.Get("Stoatmount-Repeated") == "true"
	})
	again := book(c, f.CallerAddresses()[2], key)
	c.Check(again.status, qt.Equals, http.StatusOK)
	c.Check(again.text, qt.Equals, first.text)
	c.Check(f.Site.Executions("", key), qt.Equals, 1)
	checkGuarantees(c, f)
}

func TestCrashingBodyCrashesAtMostThreeEndpoints(t *testing.T) {
	c := qt.New(t)
	f := start(c, smallConfig(6, 1), 3)
	c.Assert(chat(c, f.CallerAddresses()[0], "harmless", 4, false).status, qt.Equals, http.StatusOK)
	blocked := false
	for i := range 24 {
		r := chat(c, f.CallerAddresses()[i%3], "a scene "+engine.CrashMarker, 8, false)
		c.Assert(r.status >= http.StatusBadRequest, qt.IsTrue, qt.Commentf("%+v", r))
		blocked = blocked || r.refused.Code == outcome.RequestConvicted
	}
	c.Check(blocked, qt.IsTrue)
	c.Check(f.Site.Stats().Crashes <= 3, qt.IsTrue, qt.Commentf("%d endpoints crashed", f.Site.Stats().Crashes))
	await(c, "an endpoint for a harmless request", func() bool {
		return chat(c, f.CallerAddresses()[1], "harmless again", 4, false).status == http.StatusOK
	})
	checkGuarantees(c, f)
}

func TestLateChatIsHedgedAfterItsBodyHasSucceeded(t *testing.T) {
	c := qt.New(t)
	f := start(c, smallConfig(3, 1), 1)
	router := f.CallerAddresses()[0]
	for range 6 {
		c.Assert(chat(c, router, "the same scene", 4, false).status, qt.Equals, http.StatusOK)
	}
	faults := f.Site.Endpoint("e1").Faults()
	c.Assert(faults.On(fault.Fault{Name: fault.Late, Count: 1, Delay: 1900 * time.Millisecond}), qt.IsNil) // below FirstByte of 2 s
	for i := 0; faults.Triggered(fault.Late) == 0; i++ {
		c.Assert(i < 100, qt.IsTrue, qt.Commentf("the fault did not trigger"))
		before := f.Site.Stats().Executions
		r := chat(c, router, "the same scene", 4, false)
		c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", r))
		if faults.Triggered(fault.Late) > 0 {
			c.Check(f.Site.Stats().Executions-before, qt.Equals, 2)
		}
	}
	checkGuarantees(c, f)
}
