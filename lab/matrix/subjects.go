package matrix

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/lab/fleet"
	"github.com/stoatmount/stoatmount/version/config"
)

// subject is something that the system does, in steps.
type subject struct {
	name  string
	steps []string
	run   func(c *cell)
}

// subjects are the things of the brief that faults are brought to.
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

// Times between steps.
const (
	claimBy    = 20 * time.Millisecond  // after sending, a claim is under way
	runsBy     = 130 * time.Millisecond // after sending, a booking runs
	firstBy    = 3 * time.Millisecond   // after sending, no token has come
	submitBy   = 3 * time.Millisecond   // after submitting, the change is under way
	noticeTime = 300 * time.Millisecond // until most routers have noticed
	viewTime   = 2500 * time.Millisecond
)

// victim is the router that ends in handovers and shutdowns, and that faults
// strike. Callers of the matrix use the others, except where they must not.
func (b *bench) victim() *fleet.Router {
	return b.fleet.Routers[routers-1]
}

// client is the entry of the caller in most cells.
func (b *bench) client() string {
	b.turn++
	return b.entry(b.turn % (routers - 1))
}

// runChat sends two turns of a chat.
func runChat(c *cell) {
	entry := c.bench.client()
	c.at(0)
	later := c.after(firstBy, 1)
	first, history := c.bench.probe.chat(c.ctx, entry, "chat-"+c.bench.probe.name(), nil, func() { c.at(2) })
	later.Wait()
	c.got("first turn", first)
	c.at(3)
	if !first.Answered {
		history = nil
	}
	second, _ := c.bench.probe.chat(c.ctx, entry, "chat", history, nil)
	c.got("second turn", second)
}

// runBooking sends a booking, and sends it again to another entry.
func runBooking(c *cell) {
	once, err := c.bench.probe.newBooking()
	if err != nil {
		c.fail("%v", err)
		return
	}
	c.at(0)
	var steps conc.WaitGroup
	steps.Go(func() {
		sleep(c.ctx, claimBy)
		c.at(1)
		sleep(c.ctx, runsBy-claimBy)
		c.at(2)
	})
	first := c.bench.probe.book(c.ctx, c.bench.client(), once)
	steps.Wait()
	c.got("booking", first)
	c.at(3)
	c.got("repeat", c.bench.probe.book(c.ctx, c.bench.client(), once))
}

// runChange takes a zone out and checks that its endpoints get no work.
func runChange(c *cell) {
	c.at(0)
	later := c.after(submitBy, 1)
	target := config.Target{Scope: config.ScopeZone, Name: "zone-b"}
	ctx, cancel := context.WithTimeout(c.ctx, markTimeout)
	defer cancel()
	_, err := c.bench.operator.Mark(ctx, api.Mark{Target: target, Out: true, Reason: "matrix"})
	accepted := err == nil
	later.Wait()
	c.told("change", err)
	c.at(2)
	c.work()
	if accepted {
		c.accepted = true
	}
}

// runHandover ends the victim, which owns some endpoints, without grace.
func runHandover(c *cell) {
	c.at(0)
	var end conc.WaitGroup
	end.Go(func() { _ = c.bench.fleet.Restart(c.bench.victim()) })
	c.at(1)
	c.work()
	end.Wait()
	sleep(c.ctx, viewTime)
	c.at(2)
	c.work()
}

// runLeaving lets an engine leave while it has work.
func runLeaving(c *cell) {
	c.at(0)
	var inWork conc.WaitGroup
	inWork.Go(c.work)
	sleep(c.ctx, claimBy)
	leaving := c.bench.fleet.Site.Endpoints[0]
	leaving.Engine.StartDrain()
	c.at(1)
	inWork.Wait()
	sleep(c.ctx, noticeTime)
	c.at(2)
	c.work()
}

// runShutdown replaces the victim with grace while a caller uses it.
func runShutdown(c *cell) {
	c.at(0)
	once, err := c.bench.probe.newBooking()
	if err != nil {
		c.fail("%v", err)
		return
	}
	entry := c.bench.entry(routers - 1)
	var inWork conc.WaitGroup
	inWork.Go(func() {
		got, _ := c.bench.probe.chat(c.ctx, entry, "", nil, nil)
		c.got("chat", got)
	})
	inWork.Go(func() { c.got("booking", newProbe("").book(c.ctx, entry, once)) })
	sleep(c.ctx, claimBy)
	inWork.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, callerPatience)
		defer cancel()
		_ = c.bench.fleet.Replace(ctx, c.bench.victim())
	})
	c.at(1)
	inWork.Wait()
	c.at(2)
	c.work()
}
