package admission

import (
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// Request asks for one permit.
type Request struct {
	From        string // entry host
	CallID      uint64 // number by which the entry knows the request
	Endpoint    string
	Workspace   string
	Kind        string
	Sent        time.Time     // when the caller sent it
	Deadline    time.Time     // when its answer is worth nothing
	Wait        time.Duration // longest wait in the queue
	ServiceTime time.Duration // least time from dispatch to a complete answer
	Alone       bool          // it must be the only one at the endpoint
}

// RequestFrom converts a message that the entry host from sent.
func RequestFrom(now time.Time, from string, call uint64, m *peerpb.PermitRequest) Request {
	return Request{
		From: from, CallID: call, Endpoint: m.Endpoint, Workspace: m.Workspace, Kind: m.Kind, Alone: m.Alone,
		Sent:     now.Add(-milliseconds(m.AgeMs)),
		Deadline: now.Add(milliseconds(m.DeadlineMs)),
		Wait:     milliseconds(m.WaitMs),
	}
}

// Decision answers a Request.
type Decision struct {
	From        string
	CallID      uint64
	Endpoint    string
	Granted     bool
	Permit      uint64
	Dispatch    time.Duration // the request must leave within this time
	Lease       time.Duration
	Waited      time.Duration // in the queue
	Code        outcome.Code  // why it was not granted
	RetryAfter  time.Duration
	Load        int // permits held
	Cap         int // permits allowed
	Queue       int // requests waiting, without those that can wait
	Cold        bool
	Incarnation uint64 // of the endpoint
}

// Reply returns d as a message.
func (d *Decision) Reply() *peerpb.PermitReply {
	return &peerpb.PermitReply{
		Granted: d.Granted, Permit: d.Permit, Code: uint32(d.Code), Cold: d.Cold, Boot: d.Incarnation,
		DispatchMs:   uint32(d.Dispatch.Milliseconds()),
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
		Dispatch: milliseconds(m.DispatchMs), Lease: milliseconds(m.LeaseMs), Waited: milliseconds(m.WaitedMs),
		RetryAfter: milliseconds(m.RetryAfterMs),
		Load:       int(m.Load), Cap: int(m.Cap), Queue: int(m.Queue), Cold: m.Cold, Incarnation: m.Boot,
	}
}

// Result is how a request with a permit went.
type Result struct {
	Dispatched  bool // bytes may have left for the endpoint
	Completed   bool // the whole answer came
	Failed      bool // the connection broke while the endpoint had the request
	FirstToken  time.Duration
	Tokens      int
	Incarnation uint64 // of the endpoint, in its answer; 0 if there was none
	// DispatchedAfter is the time from the grant to the dispatch, at most.
	// Holder fills it in.
	DispatchedAfter time.Duration
}

// Release gives a permit back.
type Release struct {
	Endpoint string
	Permit   uint64
	Result
}

// ReleaseFrom converts a message.
func ReleaseFrom(m *peerpb.Release) Release {
	return Release{Endpoint: m.Endpoint, Permit: m.Permit, Result: Result{
		Dispatched: m.Dispatched, Completed: m.Completed, Failed: m.Failed,
		FirstToken: milliseconds(m.FirstTokenMs), Tokens: int(m.Tokens), Incarnation: m.Boot,
		DispatchedAfter: milliseconds(m.DispatchMs),
	}}
}

// Message returns r as a message.
func (r *Release) Message() *peerpb.Release {
	return &peerpb.Release{
		Endpoint: r.Endpoint, Permit: r.Permit, Completed: r.Completed, Dispatched: r.Dispatched,
		Failed: r.Failed, FirstTokenMs: uint32(r.FirstToken.Milliseconds()), Tokens: uint32(r.Tokens), Boot: r.Incarnation,
		DispatchMs: uint32((r.DispatchedAfter + time.Millisecond - 1).Milliseconds()),
	}
}

// RenewFrom applies a message from the entry host from to o: it renews or, if
// ages are given, adopts. It returns the permits that have lapsed.
func (o *Owner) RenewFrom(now time.Time, from string, m *peerpb.Renew) []uint64 {
	if len(m.AdoptAgeMs) == 0 {
		return o.Renew(now, from, m.Endpoint, m.Permits)
	}
	ages := make([]time.Duration, len(m.AdoptAgeMs))
	for i, ms := range m.AdoptAgeMs {
		ages[i] = milliseconds(ms)
	}
	o.Adopt(now, from, m.Endpoint, m.Permits, ages)
	return nil
}

func milliseconds(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
