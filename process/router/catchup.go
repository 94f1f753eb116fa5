package router

import (
	"sync/atomic"
	"time"

	"github.com/stoatmount/stoatmount/version/routing"
)

const (
	// greetingTime bounds the wait of a starting process for the first heartbeat of another
	// router, and greetingTimeKnown once it knows whom to expect.
	greetingTime      = 300 * time.Millisecond
	greetingTimeKnown = 100 * time.Millisecond
	// catchUpTime is how long a starting process waits for the configuration that others have.
	// Operators write what the store lost again within rewindGrace.
	catchUpTime = 2 * rewindGrace
)

// catchUp keeps a process that starts while the store is an older copy from serving an
// older configuration than the other routers.
type catchUp struct {
	started    time.Time
	greetUntil atomic.Int64 // Unix time in ns until which a first heartbeat is awaited
	newest     atomic.Int64 // version of the configuration that another router has
	done       atomic.Bool
}

func (c *catchUp) start(now time.Time, alone bool) {
	c.started = now
	if !alone {
		c.greetUntil.Store(now.Add(greetingTime).UnixNano())
	}
}

// foundRouters records that the other routers' registrations were read.
func (c *catchUp) foundRouters(now time.Time, others int) {
	until := now
	if others > 0 {
		until = now.Add(greetingTimeKnown)
	}
	c.greetUntil.Store(min(c.greetUntil.Load(), until.UnixNano()))
}

// heard records the version that another router has in force.
func (c *catchUp) heard(version int64) {
	c.greetUntil.Store(0)
	for known := c.newest.Load(); version > known && !c.newest.CompareAndSwap(known, version); known = c.newest.Load() {
	}
}

// mayServe reports whether a version may be served.
func (c *catchUp) mayServe(now time.Time, version int64) bool {
	if c.done.Load() {
		return true
	}
	waited := now.Sub(c.started) >= catchUpTime
	if !waited && (now.UnixNano() < c.greetUntil.Load() || version < c.newest.Load()) {
		return false
	}
	if waited || now.Sub(c.started) >= greetingTime {
		c.done.Store(true)
	}
	return true
}

// table returns the configuration that is served; nil if none is.
func (r *Router) table() *routing.Table {
	t := r.config.Load()
	if t == nil || !r.catchUp.mayServe(time.Now(), t.Version) {
		return nil
	}
	return t
}
