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

// renewalsPerLease is how often a permit is renewed within the time of one lease.
const renewalsPerLease = 3

// PermitRef identifies a permit of an entry host. The zero value refers to none.
type PermitRef struct {
	Owner    string // host that granted it; another host may have adopted it
	Endpoint string
	Permit   uint64
}

// Holder keeps the permits of one entry host. It is safe for concurrent use; one
// mutex guards all fields. While it is held, only ownerOf of Renewals takes a lock.
type Holder struct {
	mu      lock.Mutex[lock.AdmissionHolder]
	permits map[PermitRef]*heldPermit

	lastRenewalsAt time.Time // last call of Renewals
}

// pauseThreshold is the time between two calls of Renewals above which the process
// counts as paused.
const pauseThreshold = time.Second

// heldPermit is the state of a permit.
type heldPermit struct {
	incarnation     uint64    // of the endpoint
	owner           string    // with which the lease is renewed
	granted         time.Time // by this host's clock, not later than the grant at the owner
	dispatchBy      time.Time // the permit must not be used after this time
	leaseEnd        time.Time // by this host's clock, not later than at the owner
	lease           time.Duration
	renewAt         time.Time
	dispatched      bool
	dispatchedAfter time.Duration // time from the grant to the dispatch
	expired         bool          // the owner no longer counts it
}

// NewHolder returns an empty Holder.
func NewHolder() *Holder {
	return &Holder{permits: make(map[PermitRef]*heldPermit)}
}

// AddGrant stores a permit granted by owner for a request sent to it at sentAt.
// All times are computed from the earliest moment at which the owner can have
// decided, so a late reply shortens them and never extends them.
func (h *Holder) AddGrant(sentAt time.Time, owner string, d *Decision) PermitRef {
	decided := sentAt.Add(d.Waited)
	ref := PermitRef{Owner: owner, Endpoint: d.Endpoint, Permit: d.Permit}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.permits[ref] = &heldPermit{
		incarnation: d.Incarnation,
		owner:       owner,
		granted:     decided,
		dispatchBy:  decided.Add(d.DispatchWindow),
		leaseEnd:    decided.Add(d.Lease),
		lease:       d.Lease,
		renewAt:     decided.Add(d.Lease / renewalsPerLease),
	}
	return ref
}

// MayDispatch is the final check before the first byte of a request is written to
// the endpoint. It marks the permit as used and returns OK, or returns why the
// request must not be sent.
func (h *Holder) MayDispatch(now time.Time, ref PermitRef, snap *config.Snapshot) outcome.Code {
	if snap == nil {
		return outcome.NoConfig
	}
	if snap.EndpointOutOfService(ref.Endpoint) {
		return outcome.EndpointOut
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.permits[ref]
	if p == nil || p.expired || !now.Before(p.leaseEnd) || !now.Before(p.dispatchBy) {
		return outcome.EndpointAtCap // the permit is no longer valid
	}
	p.dispatched = true
	p.dispatchedAfter = now.Sub(p.granted)
	return outcome.OK
}

// OwnerRelease is a Release addressed to one owner.
type OwnerRelease struct {
	Owner   string
	Release Release
}

// Release removes a permit and returns the releases to send: to the owner that
// granted it and to the one that adopted it, if any. It returns nothing if the
// permit is not held, for example because it was released before.
func (h *Holder) Release(ref PermitRef, result Result) []OwnerRelease {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.permits[ref]
	if p == nil {
		return nil
	}
	delete(h.permits, ref)
	result.Dispatched = result.Dispatched || p.dispatched
	result.DispatchedAfter = p.dispatchedAfter
	release := Release{Endpoint: ref.Endpoint, Permit: ref.Permit, Result: result}
	out := []OwnerRelease{{Owner: p.owner, Release: release}}
	if p.owner != ref.Owner {
		out = append(out, OwnerRelease{Owner: ref.Owner, Release: release})
	}
	return out
}

// OwnerRenewals are the renewals addressed to one owner.
type OwnerRenewals struct {
	Owner    string
	Renewals []*peerpb.Renew // one per endpoint
}

// Renewals returns the renewals that are due, batched per owner: once one permit
// of an owner is due, all of them are renewed. ownerOf returns the current owner
// of an endpoint. Permits of dispatched requests at an endpoint whose owner changed go
// to the new owner, which adopts them. Renewals must be called every 50 to 100 ms.
func (h *Holder) Renewals(now time.Time, ownerOf func(endpoint string) (string, bool)) []OwnerRenewals {
	h.mu.Lock()
	defer h.mu.Unlock()
	paused := !h.lastRenewalsAt.IsZero() && now.Sub(h.lastRenewalsAt) > pauseThreshold
	h.lastRenewalsAt = now
	if paused {
		return nil // process replies that arrived during the pause first
	}
	h.reassign(now, ownerOf)
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
	for ref, p := range h.permits {
		if due[p.owner] && !p.expired {
			batch = append(batch, renewal{owner: p.owner, ref: ref, age: now.Sub(p.granted)})
			p.renewAt = now.Add(p.lease / renewalsPerLease)
		}
	}
	slices.SortFunc(batch, renewal.compare)
	return renewals(batch)
}

// reassign assigns permits of dispatched requests to the new owner of their endpoint.
func (h *Holder) reassign(now time.Time, ownerOf func(endpoint string) (string, bool)) {
	owners := make(map[string]string)
	for ref, p := range h.permits {
		owner, known := owners[ref.Endpoint]
		if !known {
			owner, _ = ownerOf(ref.Endpoint)
			owners[ref.Endpoint] = owner
		}
		if owner != "" && owner != p.owner && p.dispatched {
			p.owner = owner
			p.renewAt = now
			p.expired = false
		}
	}
}

// renewal is one permit to renew.
type renewal struct {
	owner string
	ref   PermitRef
	age   time.Duration
}

// compare orders by owner and endpoint, with permits to be adopted last.
func (r renewal) compare(s renewal) int {
	return cmp.Or(
		cmp.Compare(r.owner, s.owner),
		cmp.Compare(r.ref.Endpoint, s.ref.Endpoint),
		cmp.Compare(r.adoptionFlag(), s.adoptionFlag()),
		cmp.Compare(r.ref.Permit, s.ref.Permit),
	)
}

// adoptionFlag returns 1 if the owner adopts the permit, and 0 if it granted it.
func (r renewal) adoptionFlag() int {
	if r.owner == r.ref.Owner {
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
		if newOwner || batch[i-1].ref.Endpoint != r.ref.Endpoint || batch[i-1].adoptionFlag() != r.adoptionFlag() {
			last.Renewals = append(last.Renewals, &peerpb.Renew{Endpoint: r.ref.Endpoint})
		}
		renew := last.Renewals[len(last.Renewals)-1]
		renew.Permits = append(renew.Permits, r.ref.Permit)
		if r.adoptionFlag() == 1 {
			renew.AdoptAgeMs = append(renew.AdoptAgeMs, uint32(r.age.Milliseconds()))
		}
	}
	return out
}

// ApplyRenewal records the reply of owner to renewals sent at sentAt. sent lists the
// permits of endpoint in them, expired those that the owner no longer counts.
func (h *Holder) ApplyRenewal(sentAt time.Time, owner, endpoint string, sent, expired []uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, permit := range sent {
		p := h.permits[PermitRef{Owner: owner, Endpoint: endpoint, Permit: permit}]
		if p != nil && p.owner == owner { // nil for adopted permits: their key names another owner, and they were dispatched
			p.leaseEnd = sentAt.Add(p.lease)
		}
	}
	for _, permit := range expired {
		p := h.permits[PermitRef{Owner: owner, Endpoint: endpoint, Permit: permit}]
		if p != nil && p.owner == owner {
			p.expired = true
		}
	}
}

// Len returns the number of permits held.
func (h *Holder) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.permits)
}
