package retry

import (
	"sync"

	"github.com/stoatmount/stoatmount/request/outcome"
)

const (
	// routerBurst and endpointBurst are the most retries that a router and an endpoint
	// accumulate, and what they start with.
	routerBurst   = 10
	endpointBurst = 3
)

// Budget bounds the retries and hedges of one router. It is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	share     float64            // retries allowed per request served
	router    float64            // retries left
	endpoints map[string]float64 // retries left; endpointBurst if absent
}

// NewBudget returns a Budget that allows share retries and hedges per request served.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, router: routerBurst, endpoints: make(map[string]float64)}
}

// SetShare sets the retries and hedges allowed per request served.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// RecordSuccess records that endpoint served a request completely.
func (b *Budget) RecordSuccess(endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router = min(b.router+b.share, routerBurst)
	left, ok := b.endpoints[endpoint]
	if !ok {
		return
	}
	if left += b.share; left >= endpointBurst {
		delete(b.endpoints, endpoint)
		return
	}
	b.endpoints[endpoint] = left
}

// Take withdraws one retry or hedge to endpoint. It returns OK or RetryBudgetSpent.
func (b *Budget) Take(endpoint string) outcome.Code {
	b.mu.Lock()
	defer b.mu.Unlock()
	left, ok := b.endpoints[endpoint]
	if !ok {
		left = endpointBurst
	}
	if b.router < 1 || left < 1 {
		return outcome.RetryBudgetSpent
	}
	b.router--
	b.endpoints[endpoint] = left - 1
	return outcome.OK
}
