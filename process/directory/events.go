package directory

import (
	"time"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/request/placetoken"
)

// NextEvent returns the sequence number of the next event expected from endpoint.
func (d *Directory) NextEvent(endpoint string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state(endpoint).next
}

// ApplyEvents applies a page of endpoint's cache events and returns the number of
// lost events. A gap lowers the confidence in the entries recorded up to the end of
// the page, as their eviction may be in it, and removes none immediately.
func (d *Directory) ApplyEvents(now time.Time, endpoint string, page protocol.CacheEvents) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.state(endpoint)
	noBaseline := e.incarnation == 0 || (page.Incarnation != 0 && page.Incarnation != e.incarnation)
	e.setIncarnation(page.Incarnation)
	lost := uint64(0)
	for _, event := range page.Events {
		if event.Seq < e.next {
			continue // duplicate
		}
		if !noBaseline {
			lost += event.Seq - e.next
		}
		noBaseline = false
		e.next = event.Seq + 1
		d.apply(now, e, event)
	}
	if page.Next > e.next {
		if !noBaseline {
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
		// Events are delayed: one for a shorter prefix is about an older copy.
		if int(r.tokens) > event.Tokens && r.confidence() >= minConfidence {
			return
		}
	}
	d.put(now, chat, e, e.incarnation, event.Tokens)
}

// CachedChat is a chat whose prefix an endpoint caches.
type CachedChat struct {
	Chat   placetoken.Chat
	Tokens int
	At     time.Time // when the location was last recorded
}

// ChatsCachedBy returns the chats that endpoint caches, least recently used first.
func (d *Directory) ChatsCachedBy(endpoint string) []CachedChat {
	d.mu.Lock()
	defer d.mu.Unlock()
	var cached []CachedChat
	for _, chat := range d.chats.Keys() {
		r, _ := d.chats.Peek(chat)
		if r.endpoint.name != endpoint || r.confidence() < minConfidence {
			continue
		}
		cached = append(cached, CachedChat{Chat: chat, Tokens: int(r.tokens), At: time.UnixMilli(r.atMs)})
	}
	return cached
}
