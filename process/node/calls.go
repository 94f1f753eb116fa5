package node

import (
	"sync"

	"github.com/stoatmount/stoatmount/connection/peer"
	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/admission"
)

// calls are the permit requests that wait for this router's decision, by
// number: those of its own requests and those of other entries.
type calls struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]func(admission.Decision)
}

func newCalls() *calls {
	return &calls{waiting: make(map[uint64]func(admission.Decision))}
}

// add registers what to do with the decision and returns the call's number.
func (c *calls) add(answer func(admission.Decision)) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	c.waiting[c.next] = answer
	return c.next
}

// drop forgets a call. It reports false if the decision has been taken.
func (c *calls) drop(number uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.waiting[number]
	delete(c.waiting, number)
	return ok
}

// deliver hands decisions to those who wait for them.
func (c *calls) deliver(decisions []admission.Decision) {
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

// permitReply returns what sends a decision to another entry.
func permitReply(reply peer.Reply) func(admission.Decision) {
	return func(d admission.Decision) {
		reply(&peerpb.Envelope{Body: &peerpb.Envelope_PermitReply{PermitReply: d.Reply()}})
	}
}
