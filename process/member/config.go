package member

import (
	"math/bits"
	"time"

	"github.com/stoatmount/stoatmount/process/settings"
)

// Config is the timing of membership. All routers of a region must use the
// same values.
type Config struct {
	Tick      time.Duration // between two gossip messages
	DeadAfter time.Duration // silence after which a member of a small fleet is dead
	// Promise is how long after its last message on a small view a router
	// stays bound to that view's owners.
	Promise time.Duration
	// Steady is how long a new member must be heard without a gap before it
	// enters a view. It doubles with each recent death of the member.
	Steady time.Duration
	// JoinGrace is how long a host must have been listed before it is counted
	// for a view; twice the largest difference between two routers' lists.
	JoinGrace time.Duration
	// ForgetAfter is how long a host that left the list, and is no longer
	// heard, still counts as known. It must be more than twice the largest lag
	// of the list.
	ForgetAfter time.Duration
	Fanout      int // peers gossiped to per tick
	StartFanout int // the same while the view is new
}

// Ratios of Config that are not settings.
const (
	ageUnitsPerTick   = 4  // resolution of gossiped ages
	settleTicks       = 2  // a changed view must be wanted for so long
	pauseTicks        = 4  // a gap between ticks that counts as a pause
	bootstrapTicks    = 4  // exchange before the first view
	bootstrapMaxTicks = 20 // the first view is made by then in any case
	marginTicks       = 2  // allowance for message delay in promises
	deltaTicks        = 30 // how long the origin of a view is gossiped
	probeEvery        = 4  // ticks between messages to a member that seems dead
	maxFlapDoublings  = 5
	smallFleet        = 8 // routers; larger fleets relay for longer
)

// flapMemory is how long one death of a member is remembered.
const flapMemory = 2 * time.Minute

// DefaultConfig returns the timing that fits the default settings.
func DefaultConfig() Config {
	return ConfigFrom(settings.Default().Member)
}

// ConfigFrom returns the timing that follows from s.
func ConfigFrom(s settings.Member) Config {
	return Config{
		Tick:        s.Tick.Std(),
		DeadAfter:   s.DeadAfter.Std(),
		Promise:     s.Promise.Std(),
		Steady:      s.DeadAfter.Std() / 2,
		JoinGrace:   3 * time.Second,
		ForgetAfter: 10 * time.Second,
		Fanout:      1,
		StartFanout: 2,
	}
}

// relayTime is what news needs, beyond the base times in Config, to reach all
// of n routers by gossip: one tick for each doubling above smallFleet.
func (c *Config) relayTime(n int) time.Duration {
	doublings := bits.Len(uint(n)) - bits.Len(smallFleet)
	return time.Duration(max(0, doublings)) * c.Tick
}

// promise is how long a promise to v lasts. It depends on nothing but v, so
// that those who give it and those who count it agree.
func (c *Config) promise(v *View) time.Duration {
	return c.Promise + c.relayTime(len(v.Members))
}

// hold is how long after leaving v a router is still bound to it: the promise
// and an allowance for delay.
func (c *Config) hold(v *View) time.Duration {
	return c.promise(v) + marginTicks*c.Tick
}

// deadAfter is the silence after which a member of a fleet of n is dead.
func (c *Config) deadAfter(n int) time.Duration {
	return c.DeadAfter + c.relayTime(n)
}

func (c *Config) ageUnit() time.Duration {
	return c.Tick / ageUnitsPerTick
}
