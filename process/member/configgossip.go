package member

import (
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
)

// ConfigGossip is the gossiped state of the configuration stream.
type ConfigGossip struct {
	Version   uint64    // newest known accepted version
	End       uint64    // newest known end of the configuration stream
	LogReadAt time.Time // when any router last read the end of the log; zero: never
}

// relayedConfig is the ConfigGossip that this router relays.
type relayedConfig struct {
	ConfigGossip
}

func (c *relayedConfig) merge(other ConfigGossip) {
	c.Version = max(c.Version, other.Version)
	c.End = max(c.End, other.End)
	if other.LogReadAt.After(c.LogReadAt) {
		c.LogReadAt = other.LogReadAt
	}
}

// infiniteAgeMs is the encoded age of an event that never happened.
const infiniteAgeMs = 1<<31 - 1

func (c *relayedConfig) write(now time.Time, m *peerpb.Gossip) {
	m.ConfigVersion = c.Version
	m.ConfigEnd = c.End
	m.LogAgeMs = infiniteAgeMs
	if !c.LogReadAt.IsZero() {
		m.LogAgeMs = ceilMilliseconds(now.Sub(c.LogReadAt))
	}
}

func (c *relayedConfig) read(at time.Time, m *peerpb.Gossip) {
	other := ConfigGossip{Version: m.ConfigVersion, End: m.ConfigEnd}
	if m.LogAgeMs < infiniteAgeMs {
		other.LogReadAt = at.Add(-time.Duration(m.LogAgeMs) * time.Millisecond)
	}
	c.merge(other)
}

// MergeConfigGossip adds what this router itself knows of the configuration
// stream.
func (t *Table) MergeConfigGossip(own ConfigGossip) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.configGossip.merge(own)
}

// ConfigGossip returns the latest state known to this router and its peers.
func (t *Table) ConfigGossip() ConfigGossip {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.configGossip.ConfigGossip
}
