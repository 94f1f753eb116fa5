package member

import (
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
)

// ConfigGossip is what routers tell each other about the configuration stream.
type ConfigGossip struct {
	Version   uint64    // newest accepted version known
	End       uint64    // newest end of the config stream known
	LogReadAt time.Time // when some router last read the log's end; zero: never
}

// news is the relayed News.
type news struct {
	ConfigGossip
}

func (n *news) merge(other ConfigGossip) {
	n.Version = max(n.Version, other.Version)
	n.End = max(n.End, other.End)
	if other.LogReadAt.After(n.LogReadAt) {
		n.LogReadAt = other.LogReadAt
	}
}

// neverMs is the age of what never happened.
const neverMs = 1<<31 - 1

func (n *news) write(now time.Time, m *peerpb.Gossip) {
	m.ConfigVersion = n.Version
	m.ConfigEnd = n.End
	m.LogAgeMs = neverMs
	if !n.LogReadAt.IsZero() {
		m.LogAgeMs = milliseconds(now.Sub(n.LogReadAt))
	}
}

func (n *news) read(at time.Time, m *peerpb.Gossip) {
	other := ConfigGossip{Version: m.ConfigVersion, End: m.ConfigEnd}
	if m.LogAgeMs < neverMs {
		other.LogReadAt = at.Add(-time.Duration(m.LogAgeMs) * time.Millisecond)
	}
	n.merge(other)
}

// MergeConfigGossip adds what this router itself has learned about the configuration
// stream, to be passed on.
func (t *Table) MergeConfigGossip(own ConfigGossip) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.news.merge(own)
}

// ConfigGossip returns the newest of what this router and its peers have learned.
func (t *Table) ConfigGossip() ConfigGossip {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.news.ConfigGossip
}
