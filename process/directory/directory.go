package directory

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/process/lock"
	"github.com/stoatmount/stoatmount/request/placetoken"
)

// Entry is where a chat's prefix is cached.
type Entry struct {
	Endpoint    string
	Incarnation uint64 // 0 if not known
	Tokens      int
	At          time.Time // when the location was last recorded
	// Confidence is the estimated probability that the prefix is still cached.
	Confidence float64
}

// minConfidence is the confidence below which an entry is removed.
const minConfidence = 0.1

// record is a stored Entry: the endpoint as a pointer shared by all its chats, and
// the state of the endpoint's events when the entry was recorded.
type record struct {
	endpoint    *endpointState
	incarnation uint64
	lost        uint64 // endpointState.lost when recorded
	atMs        int64  // Unix time
	tokens      int32
}

// endpointState is the state of one endpoint's cache events.
type endpointState struct {
	name        string
	incarnation uint64
	next        uint64 // sequence number expected next
	lost        uint64 // total number of events lost in gaps
	chats       int    // entries in the table
}

// Directory is a bounded table of chats. It is safe for concurrent use.
type Directory struct {
	mu        lock.Mutex[lock.Leaf]
	chats     *simplelru.LRU[placetoken.Chat, record]
	endpoints map[string]*endpointState
}

// New returns an empty Directory for at most capacity chats.
func New(capacity int) (*Directory, error) {
	d := &Directory{endpoints: make(map[string]*endpointState)}
	onEvict := func(_ placetoken.Chat, r record) { r.endpoint.chats-- }
	chats, err := simplelru.NewLRU(capacity, onEvict)
	if err != nil {
		return nil, errors.Wrap(err, "directory")
	}
	d.chats = chats
	return d, nil
}

// Len returns the number of chats in the table.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.chats.Len()
}

// Put records that chat's prefix of tokens tokens is cached at endpoint. With 0
// tokens, it removes the entry if that names endpoint.
func (d *Directory) Put(now time.Time, chat placetoken.Chat, endpoint string, incarnation uint64, tokens int) {
	if chat == 0 || endpoint == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.put(now, chat, d.state(endpoint), incarnation, tokens)
}

func (d *Directory) put(now time.Time, chat placetoken.Chat, e *endpointState, incarnation uint64, tokens int) {
	old, found := d.chats.Peek(chat)
	if tokens <= 0 {
		if found && old.endpoint == e {
			d.chats.Remove(chat)
		}
		return
	}
	if found {
		old.endpoint.chats--
	}
	e.chats++
	d.chats.Add(chat, record{
		endpoint:    e,
		incarnation: incarnation,
		lost:        e.lost,
		atMs:        now.UnixMilli(),
		tokens:      int32(min(tokens, 1<<30)),
	})
}

// Get returns where chat's prefix is cached.
func (d *Directory) Get(chat placetoken.Chat) (Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, found := d.chats.Get(chat)
	if !found {
		return Entry{}, false
	}
	confidence := r.confidence()
	if confidence < minConfidence {
		d.chats.Remove(chat)
		return Entry{}, false
	}
	return Entry{
		Endpoint:    r.endpoint.name,
		Incarnation: r.incarnation,
		Tokens:      int(r.tokens),
		At:          time.UnixMilli(r.atMs),
		Confidence:  confidence,
	}, true
}

// Forget removes chat.
func (d *Directory) Forget(chat placetoken.Chat) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.chats.Remove(chat)
}

// SetIncarnation sets the incarnation of endpoint. Prefixes cached by another
// incarnation are lost.
func (d *Directory) SetIncarnation(endpoint string, incarnation uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state(endpoint).setIncarnation(incarnation)
}

// state returns the state of the endpoint called name, creating it if needed.
func (d *Directory) state(name string) *endpointState {
	e, ok := d.endpoints[name]
	if !ok {
		e = &endpointState{name: name}
		d.endpoints[name] = e
	}
	return e
}

func (e *endpointState) setIncarnation(incarnation uint64) {
	if incarnation == 0 || incarnation == e.incarnation {
		return
	}
	e.incarnation = incarnation
	e.next = 0
}

// confidence returns the probability that the prefix is still cached. A changed
// incarnation empties the cache. Half of the events in a gap count as evictions, and
// each evicts one of the chats that the endpoint is known to cache.
func (r *record) confidence() float64 {
	e := r.endpoint
	if e.incarnation != 0 && r.incarnation != 0 && e.incarnation != r.incarnation {
		return 0
	}
	lost := float64(e.lost - r.lost)
	if lost == 0 {
		return 1
	}
	held := float64(max(e.chats, 1))
	return held / (held + lost/2)
}
