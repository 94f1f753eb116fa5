package matrix

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/lab/fleet"
	"github.com/stoatmount/stoatmount/version/config"
)

// subject is an operation of the system under test, with its steps.
type subject struct {
	name  string
	steps []string
	run   func(c *cell)
}

// subjects returns the operations into which faults are injected.
func subjects() []subject {
	return []subject{
		{"chat", []string{"before it is sent", "before the first token", "between tokens", "before it returns"}, runChat},
		{"booking", []string{"before it is sent", "while it is claimed", "while it runs", "before it is repeated"}, runBooking},
		{"configuration change", []string{"before it is submitted", "while it is submitted", "after it is accepted"}, runChange},
		{"handover", []string{"before the owner ends", "right after its end", "under the new view"}, runHandover},
		{"leaving endpoint", []string{"before it leaves", "while its requests end", "after it has left"}, runLeaving},
		{"shutdown", []string{"before it begins", "with requests in progress", "after its end"}, runShutdown},
	}
}

// Delays between steps.
const (
	claimDelay      = 20 * time.Millisecond   // after sending, a claim is in progress
	executionDelay  = 130 * time.Millisecond  // after sending, a booking is executing
	firstTokenDelay = 3 * time.Millisecond    // after sending, before the first token
	submissionDelay = 3 * time.Millisecond    // after submission, the change is in progress
	noticeDelay     = 300 * time.Millisecond  // until most routers know of the draining endpoint
	viewChangeDelay = 2500 * time.Millisecond // after a restart, until the new view is in force
)

// targetRouter is the router that faults affect and that ends in handovers and
// shutdowns. Callers of the subjects use the other routers, except in runShutdown.
func (b *bench) targetRouter() *fleet.Router {
	return b.fleet.Routers[routers-1]
}

// nextEntry returns the next entry address, in turn, without that of the target router.
func (b *bench) nextEntry() string {
	b.entryIndex++
	return b.entry(b.entryIndex % (routers - 1))
}

// runChat sends two turns, the second with the history of the first but under another chat ID.
func runChat(c *cell) {
	entry := c.bench.nextEntry()
	c.injectAt(0)
	later := c.injectAfter(firstTokenDelay, 1)
	first, history := c.bench.probe.chat(c.ctx, entry, "chat-"+c.bench.probe.name(), nil, func() { c.injectAt(2) })
	later.Wait()
	c.recordResult("first turn", first)
	c.injectAt(3)
	if !first.Correct {
		history = nil
	}
	second, _ := c.bench.probe.chat(c.ctx, entry, "chat", history, nil)
	c.recordResult("second turn", second)
}

// runBooking sends a booking, and a second attempt to another entry.
func runBooking(c *cell) {
	booking, err := c.bench.probe.newBooking()
	if err != nil {
		c.addViolation("%v", err)
		return
	}
	c.injectAt(0)
	var steps conc.WaitGroup
	steps.Go(func() {
		sleep(c.ctx, claimDelay)
		c.injectAt(1)
		sleep(c.ctx, executionDelay-claimDelay)
		c.injectAt(2)
	})
	first := c.bench.probe.sendBooking(c.ctx, c.bench.nextEntry(), booking)
	steps.Wait()
	c.recordResult("booking", first)
	c.injectAt(3)
	c.recordResult("repeat", c.bench.probe.sendBooking(c.ctx, c.bench.nextEntry(), booking))
}

// runChange takes a zone out of service and then sends requests.
func runChange(c *cell) {
	c.injectAt(0)
	later := c.injectAfter(submissionDelay, 1)
	target := config.Target{Scope: config.ScopeZone, Name: "zone-b"}
	ctx, cancel := context.WithTimeout(c.ctx, markTimeout)
	defer cancel()
	_, err := c.bench.operator.Mark(ctx, api.Mark{Target: target, Out: true, Reason: "matrix"})
	accepted := err == nil
	later.Wait()
	c.recordChange("change", err)
	c.injectAt(2)
	c.sendChatAndBooking()
	if accepted {
		c.accepted = true
	}
}

// runHandover kills and restarts the target router, which owns some endpoints.
func runHandover(c *cell) {
	c.injectAt(0)
	var end conc.WaitGroup
	end.Go(func() { _ = c.bench.fleet.Restart(c.bench.targetRouter()) })
	c.injectAt(1)
	c.sendChatAndBooking()
	end.Wait()
	sleep(c.ctx, viewChangeDelay)
	c.injectAt(2)
	c.sendChatAndBooking()
}

// runLeaving drains an engine with requests in progress.
func runLeaving(c *cell) {
	c.injectAt(0)
	var inProgress conc.WaitGroup
	inProgress.Go(c.sendChatAndBooking)
	sleep(c.ctx, claimDelay)
	draining := c.bench.fleet.Site.Endpoints[0]
	draining.Engine.StartDrain()
	c.injectAt(1)
	inProgress.Wait()
	sleep(c.ctx, noticeDelay)
	c.injectAt(2)
	c.sendChatAndBooking()
}

// runShutdown replaces the target router gracefully while a caller uses it.
func runShutdown(c *cell) {
	c.injectAt(0)
	booking, err := c.bench.probe.newBooking()
	if err != nil {
		c.addViolation("%v", err)
		return
	}
	entry := c.bench.entry(routers - 1)
	var inProgress conc.WaitGroup
	inProgress.Go(func() {
		got, _ := c.bench.probe.chat(c.ctx, entry, "", nil, nil)
		c.recordResult("chat", got)
	})
	inProgress.Go(func() { c.recordResult("booking", newProbe("").sendBooking(c.ctx, entry, booking)) })
	sleep(c.ctx, claimDelay)
	inProgress.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, callerTimeout)
		defer cancel()
		_ = c.bench.fleet.Replace(ctx, c.bench.targetRouter())
	})
	c.injectAt(1)
	inProgress.Wait()
	c.injectAt(2)
	c.sendChatAndBooking()
}
