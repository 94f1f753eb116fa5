package measure

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/request/placetoken"
	"github.com/stoatmount/stoatmount/version/config"
)

// endpoint models one back end: requests run concurrently, prefills one after
// the other, and finished prompts stay in a prefix cache of limited size.
type endpoint struct {
	index        int
	config       *config.Endpoint
	incarnation  uint64
	up           bool
	draining     bool
	running      int
	completed    int // since the start of this incarnation
	prefillUntil time.Time
	cache        *simplelru.LRU[placetoken.Chat, int]
	usedCache    int // tokens
	queue        []*request
	events       []protocol.CacheEvent
	seq          uint64
	admission    *admissionOwner
	lastLoads    []int // running and queued, newest report first
}

func newEndpoint(index int, c *config.Endpoint) *endpoint {
	e := &endpoint{index: index, config: c, incarnation: 1, up: true, completed: c.WarmAfter, lastLoads: make([]int, keptReports)}
	e.clear()
	return e
}

func (e *endpoint) clear() {
	e.cache, _ = simplelru.NewLRU[placetoken.Chat, int](math.MaxInt32, nil)
	e.usedCache = 0
}

// restart starts a new incarnation, cold and with an empty cache.
func (e *endpoint) restart() {
	e.incarnation++
	e.completed = 0
	e.up = true
	e.draining = false
	e.events = nil
	e.clear()
}

// currentCapacity returns how many requests the endpoint can serve at once now.
// It rises with completed requests from ColdCapacity to Capacity.
func (e *endpoint) currentCapacity() int {
	c := e.config
	if e.completed >= c.WarmAfter {
		return c.Capacity
	}
	return c.ColdCapacity + (c.Capacity-c.ColdCapacity)*e.completed/c.WarmAfter
}

func (e *endpoint) cold() bool {
	return e.completed < e.config.WarmAfter
}

// cachedTokens returns the cached tokens of the chat.
func (e *endpoint) cachedTokens(key placetoken.Chat) int {
	tokens, _ := e.cache.Peek(key)
	return tokens
}

// store caches tokens of the chat and evicts the least recently used others.
func (e *endpoint) store(key placetoken.Chat, tokens int) {
	old, _ := e.cache.Peek(key)
	tokens = max(tokens, old)
	e.usedCache += tokens - old
	e.cache.Add(key, tokens)
	e.publish(key, tokens)
	for e.usedCache > e.config.CacheTokens && e.cache.Len() > 1 {
		evicted, size, _ := e.cache.RemoveOldest()
		e.usedCache -= size
		e.publish(evicted, 0)
	}
}

func (e *endpoint) publish(key placetoken.Chat, tokens int) {
	e.seq++
	e.events = append(e.events, protocol.CacheEvent{Seq: e.seq, Session: key.Session(), Tokens: tokens})
}

// start starts r and returns the time until its response is complete.
func (e *endpoint) start(now time.Time, r *request, t *Traffic, reuse int, moveTime time.Duration, prefillRate int) time.Duration {
	e.running++
	if r.kind.Service != "" {
		return t.CallTime
	}
	compute := moveTime + time.Duration(r.prompt-reuse)*time.Second/time.Duration(prefillRate)
	if e.cold() {
		compute *= 3 // a cold endpoint computes three times as long
	}
	begin := now
	if e.prefillUntil.After(begin) {
		begin = e.prefillUntil
	}
	e.prefillUntil = begin.Add(compute)
	return e.prefillUntil.Sub(now) + time.Duration(r.output)*t.TokenTime
}

// finish ends r and caches the chat's whole history.
func (e *endpoint) finish(r *request) {
	e.running--
	e.completed++
	if r.chat != nil {
		e.store(r.chat.key, r.prompt+r.output)
	}
}
