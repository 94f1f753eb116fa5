package retry

import (
	"sync"

	"github.com/stoatmount/stoatmount/request/outcome"
)

const (
	// routerBurst and endpointBurst are the retries that may be saved up, and
	// with which a budget starts.
	routerBurst   = 10
	endpointBurst = 3
)

// Budget bounds the retries and hedges of one router. It is safe for
// concurrent use.
type Budget struct {
	mu        sync.Mutex
	share     float64
	router    float64
	endpoints map[string]float64 // tokens; an absent one has endpointBurst
}

// NewBudget returns a Budget that allows share retries and hedges per request
// served.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, router: routerBurst, endpoints: make(map[string]float64)}
}

// SetShare changes the retries and hedges allowed per request served.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// RecordSuccess tells that endpoint served a request to its end.
func (b *Budget) RecordSuccess(endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router = min(b.router+b.share, routerBurst)
	tokens, ok := b.endpoints[endpoint]
	if !ok {
		return
	}
	if tokens += b.share; tokens >= endpointBurst {
		delete(b.endpoints, endpoint)
		return
	}
	b.endpoints[endpoint] = tokens
}

// Take draws one retry or hedge to endpoint. It returns OK or RetryBudgetSpent.
func (b *Budget) Take(endpoint string) outcome.Code {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, ok := b.endpoints[endpoint]
	if !ok {
		tokens = endpointBurst
	}
	if b.router < 1 || tokens < 1 {
		return outcome.RetryBudgetSpent
	}
	b.router--
	b.endpoints[endpoint] = tokens - 1
	return outcome.OK
}
