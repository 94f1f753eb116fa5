package member

import (
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
)

// News is what routers tell each other about the configuration stream.
type News struct {
	Version   uint64    // newest accepted version known
	End       uint64    // newest end of the config stream known
	LogReadAt time.Time // when some router last read the log's end; zero: never
}

// news is the relayed News.
type news struct {
	News
}

func (n *news) merge(other News) {
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
	other := News{Version: m.ConfigVersion, End: m.ConfigEnd}
	if m.LogAgeMs < neverMs {
		other.LogReadAt = at.Add(-time.Duration(m.LogAgeMs) * time.Millisecond)
	}
	n.merge(other)
}

// Tell adds what this router itself has learned about the configuration
// stream, to be passed on.
func (t *Table) Tell(own News) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.news.merge(own)
}

// News returns the newest of what this router and its peers have learned.
func (t *Table) News() News {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.news.News
}
