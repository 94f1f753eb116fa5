package hostlist

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/standin/fault"
)

// ErrOutage is returned while the list is out of service.
var ErrOutage = errors.New("host list is out of service")

// Options describe a list.
type Options struct {
	Clock clockwork.Clock // nil: real time
	Seed  uint64          // of the faults and the jitter
	// Lag is the minimum time until a change is visible.
	Lag time.Duration
	// Jitter is the maximum random addition to the lag of each call, so that
	// two readers can see different lists at the same time.
	Jitter time.Duration
}

// Memory is a list in the process. It implements platformclient.HostList. It is
// safe for concurrent use.
type Memory struct {
	options Options
	clock   clockwork.Clock
	faults  *fault.Set

	mu       sync.Mutex
	rng      *rand.Rand
	versions []version // oldest first
	calls    int
}

type version struct {
	since time.Time
	hosts []platformclient.ListedHost
}

// NewMemory returns a list with hosts.
func NewMemory(options Options, hosts ...platformclient.ListedHost) *Memory {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	return &Memory{
		options:  options,
		clock:    options.Clock,
		faults:   fault.NewSet(options.Clock, options.Seed),
		rng:      rand.New(rand.NewPCG(options.Seed, 0x686f737473)), // ASCII "hosts"
		versions: []version{{hosts: slices.Clone(hosts)}},
	}
}

// Faults returns the list's faults: Outage, Hang and Slow.
func (m *Memory) Faults() *fault.Set {
	return m.faults
}

// Set replaces the true list. Readers see it after the lag.
func (m *Memory) Set(hosts ...platformclient.ListedHost) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setLocked(slices.Clone(hosts))
}

func (m *Memory) setLocked(hosts []platformclient.ListedHost) {
	now := m.clock.Now()
	m.versions = append(m.versions, version{since: now, hosts: hosts})
	oldest := now.Add(-m.options.Lag - m.options.Jitter)
	for len(m.versions) > 1 && m.versions[1].since.Before(oldest) {
		m.versions = m.versions[1:]
	}
}

// Put adds host to the true list or replaces the entry of its name.
func (m *Memory) Put(host platformclient.ListedHost) {
	m.change(host.Name, func(hosts []platformclient.ListedHost) []platformclient.ListedHost {
		return append(hosts, host)
	})
}

// Remove removes a host from the true list.
func (m *Memory) Remove(name string) {
	m.change(name, func(hosts []platformclient.ListedHost) []platformclient.ListedHost { return hosts })
}

func (m *Memory) change(name string, edit func([]platformclient.ListedHost) []platformclient.ListedHost) {
	m.mu.Lock()
	defer m.mu.Unlock()
	others := slices.Clone(m.versions[len(m.versions)-1].hosts)
	others = slices.DeleteFunc(others, func(h platformclient.ListedHost) bool { return h.Name == name })
	m.setLocked(edit(others))
}

// Calls returns how often the list was read.
func (m *Memory) Calls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Hosts implements platformclient.HostList.
func (m *Memory) Hosts(ctx context.Context) ([]platformclient.ListedHost, error) {
	m.countCall()
	if _, down := m.faults.Trigger(fault.Outage); down {
		return nil, ErrOutage
	}
	if _, hangs := m.faults.Trigger(fault.Hang); hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if slow, isSlow := m.faults.Trigger(fault.Slow); isSlow {
		select {
		case <-m.clock.After(slow.Delay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return m.visible(), nil
}

func (m *Memory) countCall() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
}

// visible returns the newest list that is older than the lag.
func (m *Memory) visible() []platformclient.ListedHost {
	m.mu.Lock()
	defer m.mu.Unlock()
	lag := m.options.Lag
	if m.options.Jitter > 0 {
		lag += time.Duration(m.rng.Int64N(int64(m.options.Jitter)))
	}
	until := m.clock.Now().Add(-lag)
	for i := len(m.versions) - 1; i > 0; i-- {
		if !m.versions[i].since.After(until) {
			return slices.Clone(m.versions[i].hosts)
		}
	}
	return slices.Clone(m.versions[0].hosts)
}
