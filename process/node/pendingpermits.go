package node

import (
	"sync"

	"github.com/stoatmount/stoatmount/connection/peer"
	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/admission"
)

// pendingPermits holds the permit requests that wait for this router's decision, by
// call ID: those of its own requests and those of other entry hosts.
type pendingPermits struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]func(admission.Decision)
}

func newPendingPermits() *pendingPermits {
	return &pendingPermits{waiting: make(map[uint64]func(admission.Decision))}
}

// add registers a callback for the decision and returns the call ID.
func (c *pendingPermits) add(answer func(admission.Decision)) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	c.waiting[c.next] = answer
	return c.next
}

// drop removes a call. It returns false if the decision was already delivered.
func (c *pendingPermits) drop(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.waiting[id]
	delete(c.waiting, id)
	return ok
}

// deliver passes decisions to their callbacks.
func (c *pendingPermits) deliver(decisions []admission.Decision) {
	for _, d := range decisions {
		c.mu.Lock()
		answer := c.waiting[d.CallID]
		delete(c.waiting, d.CallID)
		c.mu.Unlock()
		if answer != nil {
			answer(d)
		}
	}
}

// permitReply returns a callback that sends a decision to another entry host.
func permitReply(reply peer.Reply) func(admission.Decision) {
	return func(d admission.Decision) {
		reply(&peerpb.Envelope{Body: &peerpb.Envelope_PermitReply{PermitReply: d.Reply()}})
	}
}
