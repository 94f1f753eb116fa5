package admission

import (
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// Request is a request for one permit.
type Request struct {
	From      string // entry host
	CallID    uint64 // identifies the request at the entry host
	Endpoint  string
	Workspace string
	Kind      string
	Sent      time.Time     // when the caller sent it
	Deadline  time.Time     // time after which a response has no worth
	Wait      time.Duration // maximum time in the queue
	ServeTime time.Duration // minimum time from dispatch to a complete response
	Alone     bool          // it must be the only request at the endpoint
}

// RequestFrom converts a message sent by the entry host sender.
func RequestFrom(now time.Time, sender string, call uint64, m *peerpb.PermitRequest) Request {
	return Request{
		From: sender, CallID: call, Endpoint: m.Endpoint, Workspace: m.Workspace, Kind: m.Kind, Alone: m.Alone,
		Sent:     now.Add(-durationFromMs(m.AgeMs)),
		Deadline: now.Add(durationFromMs(m.DeadlineMs)),
		Wait:     durationFromMs(m.WaitMs),
	}
}

// Decision is the reply to a Request.
type Decision struct {
	From           string
	CallID         uint64
	Endpoint       string
	Granted        bool
	Permit         uint64
	DispatchWindow time.Duration // the request must be sent within this time of the grant
	Lease          time.Duration
	Waited         time.Duration // in the queue
	Code           outcome.Code  // reason for a refusal
	RetryAfter     time.Duration
	Load           int // permits granted
	Cap            int // permits allowed
	Queue          int // waiting requests that are not deferrable
	Cold           bool
	Incarnation    uint64 // of the endpoint
}

// Reply converts d to a message, in which the incarnation is called boot.
func (d *Decision) Reply() *peerpb.PermitReply {
	return &peerpb.PermitReply{
		Granted: d.Granted, Permit: d.Permit, Code: uint32(d.Code), Cold: d.Cold, Boot: d.Incarnation,
		DispatchMs:   uint32(d.DispatchWindow.Milliseconds()),
		LeaseMs:      uint32(d.Lease.Milliseconds()),
		WaitedMs:     uint32(d.Waited.Milliseconds()),
		RetryAfterMs: uint32(d.RetryAfter.Milliseconds()),
		Load:         uint32(d.Load), Cap: uint32(d.Cap), Queue: uint32(d.Queue),
	}
}

// DecisionFrom converts a message about endpoint.
func DecisionFrom(endpoint string, m *peerpb.PermitReply) Decision {
	return Decision{
		Endpoint: endpoint, Granted: m.Granted, Permit: m.Permit, Code: outcome.Code(m.Code),
		DispatchWindow: durationFromMs(m.DispatchMs), Lease: durationFromMs(m.LeaseMs), Waited: durationFromMs(m.WaitedMs),
		RetryAfter: durationFromMs(m.RetryAfterMs),
		Load:       int(m.Load), Cap: int(m.Cap), Queue: int(m.Queue), Cold: m.Cold, Incarnation: m.Boot,
	}
}

// Result is how a request with a permit ended.
type Result struct {
	Dispatched  bool // bytes may have been sent to the endpoint
	Completed   bool // the whole response arrived
	Failed      bool // the endpoint failed while it had the request
	FirstToken  time.Duration
	Tokens      int
	Incarnation uint64 // of the endpoint, from its response; 0 if there was none
	// DispatchedAfter is an upper bound of the time from the grant to the
	// dispatch. Holder sets it.
	DispatchedAfter time.Duration
}

// Release returns a permit to its owner.
type Release struct {
	Endpoint string
	Permit   uint64
	Result
}

// ReleaseFrom converts a message.
func ReleaseFrom(m *peerpb.Release) Release {
	return Release{Endpoint: m.Endpoint, Permit: m.Permit, Result: Result{
		Dispatched: m.Dispatched, Completed: m.Completed, Failed: m.Failed,
		FirstToken: durationFromMs(m.FirstTokenMs), Tokens: int(m.Tokens), Incarnation: m.Boot,
		DispatchedAfter: durationFromMs(m.DispatchMs),
	}}
}

// Message converts r to a message.
func (r *Release) Message() *peerpb.Release {
	return &peerpb.Release{
		Endpoint: r.Endpoint, Permit: r.Permit, Completed: r.Completed, Dispatched: r.Dispatched,
		Failed: r.Failed, FirstTokenMs: uint32(r.FirstToken.Milliseconds()), Tokens: uint32(r.Tokens), Boot: r.Incarnation,
		DispatchMs: uint32((r.DispatchedAfter + time.Millisecond - 1).Milliseconds()), // rounded up, as it is an upper bound
	}
}

// RenewFrom applies a message sent by the entry host sender: it renews permits or,
// if ages are given, adopts them. It returns the permits that have expired.
func (o *Owner) RenewFrom(now time.Time, sender string, m *peerpb.Renew) []uint64 {
	if len(m.AdoptAgeMs) == 0 {
		return o.Renew(now, sender, m.Endpoint, m.Permits)
	}
	ages := make([]time.Duration, len(m.AdoptAgeMs))
	for i, ms := range m.AdoptAgeMs {
		ages[i] = durationFromMs(ms)
	}
	o.Adopt(now, sender, m.Endpoint, m.Permits, ages)
	return nil
}

func durationFromMs(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
