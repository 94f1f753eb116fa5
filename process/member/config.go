package member

import (
	"math/bits"
	"time"

	"github.com/stoatmount/stoatmount/process/settings"
)

// Config holds the timing of membership. All routers of a region must use the
// same values.
type Config struct {
	Tick      time.Duration // between two gossip messages
	DeadAfter time.Duration // time without a message after which a member of a small fleet is dead
	// BindingLease is the lease of a binding: how long after its last message on a
	// view of a small fleet a router stays bound to the owners of that view.
	BindingLease time.Duration
	// StableTime is how long a new member must be alive without a gap before it
	// enters a view. It doubles with each recent death after the first.
	StableTime time.Duration
	// JoinGrace is how long a host must have been listed before it is counted
	// for a view: twice the largest time difference between two routers' lists.
	JoinGrace time.Duration
	// ForgetAfter is how long a host that left the list, and is no longer
	// alive, still counts as known. It must be more than twice the largest lag
	// of the list.
	ForgetAfter time.Duration
	Fanout      int // live peers that get gossip per tick; every probeEvery ticks as many unreachable ones do
	StartFanout int // the same without a view or while it is new, see targets
}

// Constants of the protocol that are not settings.
const (
	ageUnitsPerTick   = 4  // units of a gossiped age in one tick
	settleTicks       = 2  // how long a changed view must be the candidate
	pauseTicks        = 4  // a larger gap between ticks counts as a pause
	bootstrapTicks    = 4  // time to exchange gossip before the first view
	bootstrapMaxTicks = 20 // the first view is formed by then in any case
	marginTicks       = 2  // allowance for message delay that bindingDuration adds to a lease
	deltaTicks        = 30 // how long the delta that leads to a view is gossiped
	probeEvery        = 4  // ticks between messages to members that seem dead
	maxDeathDoublings = 5  // of StableTime
	smallFleet        = 8  // routers; gossip takes longer to reach all of a larger fleet
)

// deathMemory is how long after a member's last death it takes to forget one death.
const deathMemory = 2 * time.Minute

// DefaultConfig returns the timing for the default settings.
func DefaultConfig() Config {
	return ConfigFrom(settings.Default().Member)
}

// ConfigFrom returns the timing for s.
func ConfigFrom(s settings.Membership) Config {
	return Config{
		Tick:         s.Tick.Std(),
		DeadAfter:    s.DeadAfter.Std(),
		BindingLease: s.Promise.Std(),
		StableTime:   s.DeadAfter.Std() / 2,
		JoinGrace:    3 * time.Second,
		ForgetAfter:  10 * time.Second,
		Fanout:       1,
		StartFanout:  2,
	}
}

// relayTime is the time that gossip needs, beyond the base times in Config, to
// reach all of n routers: one tick for each doubling above smallFleet.
func (c *Config) relayTime(n int) time.Duration {
	doublings := bits.Len(uint(n)) - bits.Len(smallFleet)
	return time.Duration(max(0, doublings)) * c.Tick
}

// bindingLease is how long a binding to v lasts. It depends only on v, so that
// the router that is bound and the one that counts the binding agree.
func (c *Config) bindingLease(v *View) time.Duration {
	return c.BindingLease + c.relayTime(len(v.Members))
}

// bindingDuration is how long after leaving v a router is still bound to it: the
// lease plus an allowance for message delay.
func (c *Config) bindingDuration(v *View) time.Duration {
	return c.bindingLease(v) + marginTicks*c.Tick
}

// deadAfter is the age of the last message above which one of n members is dead.
func (c *Config) deadAfter(n int) time.Duration {
	return c.DeadAfter + c.relayTime(n)
}

func (c *Config) ageUnit() time.Duration {
	return c.Tick / ageUnitsPerTick
}
