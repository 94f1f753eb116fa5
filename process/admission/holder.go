package admission

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
)

// renewShare is the part of a lease after which it is renewed.
const renewShare = 3

// Held names a permit at the entry that holds it. The zero Held is none.
type Held struct {
	Owner    string // host that granted it
	Endpoint string
	Permit   uint64
}

// Holder keeps the permits of one entry. It is safe for concurrent use; one
// mutex guards all fields, and no other lock is taken while it is held.
type Holder struct {
	mu      sync.Mutex
	permits map[Held]*holding
}

// holding is the state of a held permit.
type holding struct {
	boot       uint64    // of the endpoint
	dispatchBy time.Time // not to be used after
	leaseEnd   time.Time // by this entry's clock, not later than by the owner's
	lease      time.Duration
	renewAt    time.Time
	dispatched bool
	lapsed     bool // the owner has taken it back
}

// NewHolder returns an empty table.
func NewHolder() *Holder {
	return &Holder{permits: make(map[Held]*holding)}
}

// Granted takes in a grant by owner for a request that was sent to it at
// sentAt. All times are reckoned from the earliest moment at which the owner
// can have decided, so that a late reply makes them shorter and never longer.
func (h *Holder) Granted(sentAt time.Time, owner string, d *Decision) Held {
	decided := sentAt.Add(d.Waited)
	held := Held{Owner: owner, Endpoint: d.Endpoint, Permit: d.Permit}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.permits[held] = &holding{
		boot:       d.Boot,
		dispatchBy: decided.Add(d.Dispatch),
		leaseEnd:   decided.Add(d.Lease),
		lease:      d.Lease,
		renewAt:    decided.Add(d.Lease / renewShare),
	}
	return held
}

// MayDispatch is the last check before a request's first byte is written to
// the endpoint. It returns OK and marks the permit as used, or says why the
// request must not be sent.
func (h *Holder) MayDispatch(now time.Time, held Held, snap *config.Snapshot) outcome.Code {
	if snap == nil {
		return outcome.NoConfig
	}
	if snap.EndpointOut(held.Endpoint) {
		return outcome.EndpointOut
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.permits[held]
	if p == nil || p.lapsed || !now.Before(p.leaseEnd) || !now.Before(p.dispatchBy) {
		return outcome.EndpointAtCap // the place is no longer held
	}
	p.dispatched = true
	return outcome.OK
}

// Release forgets a permit and returns what to tell its owner. It returns false
// if the permit is not held, for example when it was released before.
func (h *Holder) Release(held Held, result Result) (Release, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.permits[held]
	if p == nil {
		return Release{}, false
	}
	delete(h.permits, held)
	result.Dispatched = result.Dispatched || p.dispatched
	return Release{Endpoint: held.Endpoint, Permit: held.Permit, Result: result}, true
}

// OwnerRenewals are the renewals for one owner.
type OwnerRenewals struct {
	Owner    string
	Renewals []*peerpb.Renew // one per endpoint
}

// Renewals returns the renewals that are due, batched per owner: once one
// permit of an owner is due, all of them are renewed.
func (h *Holder) Renewals(now time.Time) []OwnerRenewals {
	h.mu.Lock()
	defer h.mu.Unlock()
	due := make(map[string]bool)
	for held, p := range h.permits {
		if !now.Before(p.renewAt) {
			due[held.Owner] = true
		}
	}
	if len(due) == 0 {
		return nil
	}
	batch := make([]Held, 0, len(h.permits))
	for held, p := range h.permits {
		if due[held.Owner] && !p.lapsed {
			batch = append(batch, held)
		}
	}
	slices.SortFunc(batch, compareHeld)
	for _, held := range batch {
		h.permits[held].renewAt = now.Add(h.permits[held].lease / renewShare)
	}
	return renewals(batch)
}

func compareHeld(a, b Held) int {
	return cmp.Or(
		cmp.Compare(a.Owner, b.Owner),
		cmp.Compare(a.Endpoint, b.Endpoint),
		cmp.Compare(a.Permit, b.Permit),
	)
}

// renewals groups sorted permits by owner and endpoint.
func renewals(batch []Held) []OwnerRenewals {
	var out []OwnerRenewals
	for _, held := range batch {
		if len(out) == 0 || out[len(out)-1].Owner != held.Owner {
			out = append(out, OwnerRenewals{Owner: held.Owner})
		}
		last := &out[len(out)-1]
		n := len(last.Renewals)
		if n == 0 || last.Renewals[n-1].Endpoint != held.Endpoint {
			last.Renewals = append(last.Renewals, &peerpb.Renew{Endpoint: held.Endpoint})
			n++
		}
		last.Renewals[n-1].Permits = append(last.Renewals[n-1].Permits, held.Permit)
	}
	return out
}

// Renewed notes that owner got renewals that were sent at sentAt, and which of
// the permits of endpoint it no longer knows.
func (h *Holder) Renewed(sentAt time.Time, owner, endpoint string, renewed, lapsed []uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, permit := range renewed {
		p := h.permits[Held{Owner: owner, Endpoint: endpoint, Permit: permit}]
		if p != nil {
			p.leaseEnd = sentAt.Add(p.lease)
		}
	}
	for _, permit := range lapsed {
		p := h.permits[Held{Owner: owner, Endpoint: endpoint, Permit: permit}]
		if p != nil {
			p.lapsed = true
		}
	}
}

// Len returns the number of permits held.
func (h *Holder) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.permits)
}
