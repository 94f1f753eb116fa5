package directory

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/request/placetoken"
)

var testNow = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func newDirectory(c *qt.C, capacity int) *Directory {
	d, err := New(capacity)
	c.Assert(err, qt.IsNil)
	return d
}

func event(seq uint64, chat placetoken.Chat, tokens int) protocol.CacheEvent {
	return protocol.CacheEvent{Seq: seq, Session: chat.Session(), Tokens: tokens}
}

func TestDirectoryIsBoundedAndCountsPerEndpoint(t *testing.T) {
	c := qt.New(t)
	d := newDirectory(c, 100)
	for i := range 1000 {
		d.Put(testNow, placetoken.Chat(i+1), "a", 1, 10)
	}
	c.Check(d.Len(), qt.Equals, 100)
	c.Check(d.endpoints["a"].chats, qt.Equals, 100)
	d.Put(testNow, 1000, "b", 1, 10)
	c.Check(d.endpoints["a"].chats, qt.Equals, 99)
	d.Put(testNow, 1000, "a", 1, 0) // a does not cache the chat
	_, ok := d.Get(1000)
	c.Check(ok, qt.IsTrue)
	d.Put(testNow, 1000, "b", 1, 0)
	_, ok = d.Get(1000)
	c.Check(ok, qt.IsFalse)
	c.Check(d.endpoints["b"].chats, qt.Equals, 0)
}

func TestEventGapLowersConfidence(t *testing.T) {
	c := qt.New(t)
	d := newDirectory(c, 1000)
	page := protocol.CacheEvents{Incarnation: 5, Next: 101}
	for i := range uint64(100) {
		page.Events = append(page.Events, event(i+1, placetoken.Chat(i+1), 50))
	}
	c.Assert(d.ApplyEvents(testNow, "a", page), qt.Equals, 0)
	lost := d.ApplyEvents(testNow, "a", protocol.CacheEvents{Incarnation: 5, Next: 122, Events: []protocol.CacheEvent{event(121, 1, 60)}})
	c.Check(lost, qt.Equals, 20)
	entry, ok := d.Get(2)
	c.Assert(ok, qt.IsTrue)
	c.Check(entry.Confidence > 0.85 && entry.Confidence < 1, qt.IsTrue, qt.Commentf("%v", entry.Confidence)) // 100/(100+20/2)
	d.ApplyEvents(testNow, "a", protocol.CacheEvents{Incarnation: 5, Next: 10_000})
	_, ok = d.Get(2)
	c.Check(ok, qt.IsFalse)
}

func TestRestartInvalidatesEntries(t *testing.T) {
	c := qt.New(t)
	d := newDirectory(c, 10)
	d.Put(testNow, 1, "a", 5, 50)
	d.ApplyEvents(testNow, "a", protocol.CacheEvents{Incarnation: 5, Next: 9})
	_, ok := d.Get(1)
	c.Check(ok, qt.IsTrue)
	lost := d.ApplyEvents(testNow, "a", protocol.CacheEvents{Incarnation: 6, Next: 3, Events: []protocol.CacheEvent{event(2, 2, 10)}})
	c.Check(lost, qt.Equals, 0)
	_, ok = d.Get(1)
	c.Check(ok, qt.IsFalse)
	_, ok = d.Get(2)
	c.Check(ok, qt.IsTrue)
}

func TestLateEventDoesNotReplaceLongerPrefix(t *testing.T) {
	c := qt.New(t)
	d := newDirectory(c, 10)
	d.Put(testNow, 1, "b", 1, 500)
	d.ApplyEvents(testNow, "a", protocol.CacheEvents{Incarnation: 5, Next: 2, Events: []protocol.CacheEvent{event(1, 1, 400)}})
	entry, _ := d.Get(1)
	c.Check(entry.Endpoint, qt.Equals, "b")
	c.Check(d.ChatsCachedBy("b"), qt.HasLen, 1)
}

func BenchmarkGet20000(b *testing.B) {
	d, err := New(20_000)
	if err != nil {
		b.Fatal(err)
	}
	for i := range 20_000 {
		d.Put(testNow, placetoken.Chat(i+1), "endpoint", 1, 1000)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		d.Get(placetoken.Chat(i%20_000 + 1))
	}
}
