package directory

import (
	"time"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/request/placetoken"
)

// NextEvent returns the sequence number from which endpoint's events are wanted.
func (d *Directory) NextEvent(endpoint string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state(endpoint).next
}

// ApplyEvents applies a page of endpoint's cache events. A gap lowers the
// confidence in the entries that it may have evicted; it forgets none at once.
// Events returns the number of events that were lost.
func (d *Directory) ApplyEvents(now time.Time, endpoint string, page protocol.CacheEvents) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.state(endpoint)
	first := e.boot == 0 || (page.Incarnation != 0 && page.Incarnation != e.boot)
	e.restart(page.Incarnation)
	lost := uint64(0)
	for _, event := range page.Events {
		if event.Seq < e.next {
			continue // repeated
		}
		if !first {
			lost += event.Seq - e.next
		}
		first = false
		e.next = event.Seq + 1
		d.apply(now, e, event)
	}
	if page.Next > e.next {
		if !first {
			lost += page.Next - e.next
		}
		e.next = page.Next
	}
	e.lost += lost
	return int(lost)
}

func (d *Directory) apply(now time.Time, e *endpointState, event protocol.CacheEvent) {
	chat, ok := placetoken.ParseSession(event.Session)
	if !ok {
		return
	}
	if r, found := d.chats.Peek(chat); found && r.endpoint != e && event.Tokens > 0 {
		// Events are late. A shorter prefix elsewhere is an older copy.
		if int(r.tokens) > event.Tokens && r.confidence() >= minConfidence {
			return
		}
	}
	d.put(now, chat, e, e.boot, event.Tokens)
}

// CachedChat is a chat whose prefix an endpoint holds.
type CachedChat struct {
	Chat   placetoken.Chat
	Tokens int
	At     time.Time // when the chat was last seen
}

// HeldBy returns the chats that endpoint holds, least recently used first.
func (d *Directory) HeldBy(endpoint string) []CachedChat {
	d.mu.Lock()
	defer d.mu.Unlock()
	var held []CachedChat
	for _, chat := range d.chats.Keys() {
		r, _ := d.chats.Peek(chat)
		if r.endpoint.name != endpoint || r.confidence() < minConfidence {
			continue
		}
		held = append(held, CachedChat{Chat: chat, Tokens: int(r.tokens), At: time.UnixMilli(r.atMs)})
	}
	return held
}
