package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/lock"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
)

// renewShare is the part of a lease after which it is renewed.
const renewShare = 3

// PermitRef names a permit at the entry that holds it. The zero Held is none.
type PermitRef struct {
	Owner    string // host that granted it; another may have adopted it
	Endpoint string
	Permit   uint64
}

// Holder keeps the permits of one entry. It is safe for concurrent use; one
// mutex guards all fields, and no other lock is taken while it is held.
type Holder struct {
	mu      lock.Mutex[lock.AdmissionHolder]
	permits map[PermitRef]*holding

	lastRenewals time.Time
}

// renewalsGap is the time between two calls of Renewals that counts as a pause
// of the process. It is to be called every 50 to 100 ms.
const renewalsGap = time.Second

// holding is the state of a held permit.
type holding struct {
	boot       uint64    // of the endpoint
	owner      string    // that the lease is renewed with
	granted    time.Time // not later than by the owner's clock
	dispatchBy time.Time // not to be used after
	leaseEnd   time.Time // by this entry's clock, not later than by the owner's
	lease      time.Duration
	renewAt    time.Time
	dispatched bool
	sentAfter  time.Duration // from granted to the dispatch
	lapsed     bool          // the owner has taken it back
}

// NewHolder returns an empty table.
func NewHolder() *Holder {
	return &Holder{permits: make(map[PermitRef]*holding)}
}

// AddGrant takes in a grant by owner for a request that was sent to it at
// sentAt. All times are reckoned from the earliest moment at which the owner
// can have decided, so that a late reply makes them shorter and never longer.
func (h *Holder) AddGrant(sentAt time.Time, owner string, d *Decision) PermitRef {
	decided := sentAt.Add(d.Waited)
	held := PermitRef{Owner: owner, Endpoint: d.Endpoint, Permit: d.Permit}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.permits[held] = &holding{
		boot:       d.Incarnation,
		owner:      owner,
		granted:    decided,
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
func (h *Holder) MayDispatch(now time.Time, held PermitRef, snap *config.Snapshot) outcome.Code {
	if snap == nil {
		return outcome.NoConfig
	}
	if snap.EndpointOutOfService(held.Endpoint) {
		return outcome.EndpointOut
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.permits[held]
	if p == nil || p.lapsed || !now.Before(p.leaseEnd) || !now.Before(p.dispatchBy) {
		return outcome.EndpointAtCap // the place is no longer held
	}
	p.dispatched = true
	p.sentAfter = now.Sub(p.granted)
	return outcome.OK
}

// OwnerRelease is a Release for one owner.
type OwnerRelease struct {
	Owner   string
	Release Release
}

// Release forgets a permit and returns whom to tell: the owner that granted it
// and the one that adopted it, if any. It returns nothing if the permit is
// not held, for example when it was released before.
func (h *Holder) Release(held PermitRef, result Result) []OwnerRelease {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.permits[held]
	if p == nil {
		return nil
	}
	delete(h.permits, held)
	result.Dispatched = result.Dispatched || p.dispatched
	result.DispatchedAfter = p.sentAfter
	release := Release{Endpoint: held.Endpoint, Permit: held.Permit, Result: result}
	out := []OwnerRelease{{Owner: p.owner, Release: release}}
	if p.owner != held.Owner {
		out = append(out, OwnerRelease{Owner: held.Owner, Release: release})
	}
	return out
}

// OwnerRenewals are the renewals for one owner.
type OwnerRenewals struct {
	Owner    string
	Renewals []*peerpb.Renew // one per endpoint
}

// Renewals returns the renewals that are due, batched per owner: once one
// permit of an owner is due, all of them are renewed. ownerOf returns the host
// that owns an endpoint now. Permits of an endpoint that has moved are offered
// to the new owner, which adopts them.
func (h *Holder) Renewals(now time.Time, ownerOf func(endpoint string) (string, bool)) []OwnerRenewals {
	h.mu.Lock()
	defer h.mu.Unlock()
	paused := !h.lastRenewals.IsZero() && now.Sub(h.lastRenewals) > renewalsGap
	h.lastRenewals = now
	if paused {
		return nil // answers that came meanwhile are read first
	}
	h.move(now, ownerOf)
	due := make(map[string]bool)
	for _, p := range h.permits {
		if !now.Before(p.renewAt) {
			due[p.owner] = true
		}
	}
	if len(due) == 0 {
		return nil
	}
	batch := make([]renewal, 0, len(h.permits))
	for held, p := range h.permits {
		if due[p.owner] && !p.lapsed {
			batch = append(batch, renewal{owner: p.owner, held: held, age: now.Sub(p.granted)})
			p.renewAt = now.Add(p.lease / renewShare)
		}
	}
	slices.SortFunc(batch, renewal.compare)
	return renewals(batch)
}

// move passes the permits of endpoints with a new owner on to it.
func (h *Holder) move(now time.Time, ownerOf func(endpoint string) (string, bool)) {
	owners := make(map[string]string)
	for held, p := range h.permits {
		owner, known := owners[held.Endpoint]
		if !known {
			owner, _ = ownerOf(held.Endpoint)
			owners[held.Endpoint] = owner
		}
		if owner != "" && owner != p.owner && p.dispatched {
			p.owner = owner
			p.renewAt = now
			p.lapsed = false
		}
	}
}

// renewal is one permit to be renewed.
type renewal struct {
	owner string
	held  PermitRef
	age   time.Duration
}

// compare sorts by owner and endpoint, and permits to be adopted last.
func (r renewal) compare(s renewal) int {
	return cmp.Or(
		cmp.Compare(r.owner, s.owner),
		cmp.Compare(r.held.Endpoint, s.held.Endpoint),
		cmp.Compare(r.adopted(), s.adopted()),
		cmp.Compare(r.held.Permit, s.held.Permit),
	)
}

// adopted is 1 if the owner did not grant the permit itself, and else 0.
func (r renewal) adopted() int {
	if r.owner == r.held.Owner {
		return 0
	}
	return 1
}

// renewals groups sorted permits by owner and endpoint.
func renewals(batch []renewal) []OwnerRenewals {
	var out []OwnerRenewals
	for i, r := range batch {
		newOwner := i == 0 || batch[i-1].owner != r.owner
		if newOwner {
			out = append(out, OwnerRenewals{Owner: r.owner})
		}
		last := &out[len(out)-1]
		if newOwner || batch[i-1].held.Endpoint != r.held.Endpoint || batch[i-1].adopted() != r.adopted() {
			last.Renewals = append(last.Renewals, &peerpb.Renew{Endpoint: r.held.Endpoint})
		}
		renew := last.Renewals[len(last.Renewals)-1]
		renew.Permits = append(renew.Permits, r.held.Permit)
		if r.adopted() == 1 {
			renew.AdoptAgeMs = append(renew.AdoptAgeMs, uint32(r.age.Milliseconds()))
		}
	}
	return out
}

// ApplyRenewal notes that owner got renewals that were sent at sentAt, and which of
// the permits of endpoint it no longer knows.
func (h *Holder) ApplyRenewal(sentAt time.Time, owner, endpoint string, renewed, lapsed []uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, permit := range renewed {
		p := h.permits[PermitRef{Owner: owner, Endpoint: endpoint, Permit: permit}]
		if p != nil && p.owner == owner {
			p.leaseEnd = sentAt.Add(p.lease)
		}
	}
	for _, permit := range lapsed {
		p := h.permits[PermitRef{Owner: owner, Endpoint: endpoint, Permit: permit}]
		if p != nil && p.owner == owner {
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
