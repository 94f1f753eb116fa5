package peers

import (
	"time"

	"github.com/stoatmount/stoatmount/process/permits"
)

// Permit is a message about a permit, between a router and the permit owner of a service.
// One of its fields is set.
type Permit struct {
	Ask   *permits.Ask   `json:"permit_ask,omitempty"`
	Reply *permits.Reply `json:"permit_reply,omitempty"`
	Done  *permits.Done  `json:"permit_done,omitempty"`
}

// SendPermit sends a message about a permit to the router at addr.
func (e *Exchange) SendPermit(p Permit, addr string) {
	e.sendTo(message{Permit: p}, []string{addr})
}

// PermitRouter is a router that may own the permits of a service.
type PermitRouter struct {
	Name string
	Addr string  // for datagrams
	CPU  float64 // processor share of its host; 0 if it has not told it
}

// PermitRouters returns the other routers that take requests and are heard of, by name.
func (t *Table) PermitRouters(now time.Time) []PermitRouter {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := t.lostAfter()
	list := make([]PermitRouter, 0, len(t.names))
	for _, name := range t.names {
		if p := t.peers[name]; p.heartbeat.Ready && now.Sub(p.lastHeartbeatAt) < lost {
			list = append(list, PermitRouter{Name: name, Addr: p.addr, CPU: p.heartbeat.CPU})
		}
	}
	return list
}
