package measure

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/request/placetoken"
	"github.com/stoatmount/stoatmount/version/config"
)

// endpoint models one back end: requests run side by side, prefills one after
// the other, and finished prompts stay in a prefix cache of limited size.
type endpoint struct {
	index     int
	config    *config.Endpoint
	boot      uint64
	up        bool
	leaving   bool
	running   int
	served    int // completed since boot
	busy      time.Time
	cache     *simplelru.LRU[placetoken.Chat, int]
	cached    int // tokens
	queue     []*request
	events    []protocol.CacheEvent
	seq       uint64
	gate      *gate
	lastLoads []int // running and queued, by age in lagTicks
}

func newEndpoint(index int, c *config.Endpoint) *endpoint {
	e := &endpoint{index: index, config: c, boot: 1, up: true, served: c.WarmAfter, lastLoads: make([]int, lagTicks)}
	e.clear()
	return e
}

func (e *endpoint) clear() {
	e.cache, _ = simplelru.NewLRU[placetoken.Chat, int](math.MaxInt32, nil)
	e.cached = 0
}

// restart empties the endpoint: it is cold.
func (e *endpoint) restart() {
	e.boot++
	e.served = 0
	e.up = true
	e.leaving = false
	e.events = nil
	e.clear()
}

// bears returns how many requests the endpoint bears in its present state. It
// rises with completed work from ColdBears to Bears.
func (e *endpoint) bears() int {
	c := e.config
	if e.served >= c.WarmAfter {
		return c.Capacity
	}
	return c.ColdCapacity + (c.Capacity-c.ColdCapacity)*e.served/c.WarmAfter
}

func (e *endpoint) cold() bool {
	return e.served < e.config.WarmAfter
}

// holds returns the cached tokens of the chat.
func (e *endpoint) holds(key placetoken.Chat) int {
	tokens, _ := e.cache.Peek(key)
	return tokens
}

// store caches tokens of the chat and evicts the least recently used others.
func (e *endpoint) store(key placetoken.Chat, tokens int) {
	old, _ := e.cache.Peek(key)
	tokens = max(tokens, old)
	e.cached += tokens - old
	e.cache.Add(key, tokens)
	e.publish(key, tokens)
	for e.cached > e.config.CacheTokens && e.cache.Len() > 1 {
		victim, size, _ := e.cache.RemoveOldest()
		e.cached -= size
		e.publish(victim, 0)
	}
}

func (e *endpoint) publish(key placetoken.Chat, tokens int) {
	e.seq++
	e.events = append(e.events, protocol.CacheEvent{Seq: e.seq, Session: key.Session(), Tokens: tokens})
}

// start runs r with its answer done after the returned time.
func (e *endpoint) start(now time.Time, r *request, t *Traffic, reuse int, moveTime time.Duration, prefillRate int) time.Duration {
	e.running++
	if r.kind.Service != "" {
		return t.CallTime
	}
	compute := moveTime + time.Duration(r.prompt-reuse)*time.Second/time.Duration(prefillRate)
	if e.cold() {
		compute *= 3
	}
	begin := now
	if e.busy.After(begin) {
		begin = e.busy
	}
	e.busy = begin.Add(compute)
	return e.busy.Sub(now) + time.Duration(r.output)*t.TokenTime
}

// finish ends r: the chat's whole history is cached now.
func (e *endpoint) finish(r *request) {
	e.running--
	e.served++
	if r.chat != nil {
		e.store(r.chat.key, r.prompt+r.output)
	}
}
