package origins

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minRetention is the minimum of Table.retention.
	minRetention = 30 * time.Second
	// maxStreams bounds the streams that are tracked.
	maxStreams = 1 << 15
	// maxUnsaved bounds the streams that Unsaved returns at once.
	maxUnsaved = 4096
	// maxRestoreAge is the age of a saved History, by the hosts' clocks, up to which no
	// version is expected to have come and gone since.
	maxRestoreAge = 15 * time.Second
	// maxClockOffset bounds the difference of two hosts' clocks.
	maxClockOffset = 5 * time.Second
)

// Key identifies a stream by the id of the caller's attempt that began it.
type Key uint64

// KeyOf returns the key of a request id.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// Origin is the software that began a stream.
type Origin struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// compare orders origins by service and version.
func (o Origin) compare(other Origin) int {
	return cmp.Or(cmp.Compare(o.Service, other.Service), cmp.Compare(o.Version, other.Version))
}

// Begun lists streams that one Origin began.
type Begun struct {
	Origin
	Streams []Key `json:"streams"`
}

// Answer is what a router knows of a stream.
type Answer struct {
	Router string  `json:"router"`
	Origin *Origin `json:"origin,omitempty"` // nil if the stream is not known
	// Seen holds the versions of the services that were seen while a stream can last.
	Seen []Origin `json:"seen,omitempty"`
	// Complete means that Seen covers all that time.
	Complete bool `json:"complete,omitempty"`
	// Before is the only version that served before all routers were lost, by what they saved
	// last: that of each stream of then that was not saved. nil if it is not known or not single.
	Before *Origin `json:"before,omitempty"`
}

// History is the saved part of a Table, for processes that start when no other router runs.
type History struct {
	SavedAtMS  int64 `json:"saved_at_ms"` // Unix time
	CompleteMS int64 `json:"complete_ms"` // time before SavedAtMS since when Seen is complete, together with the saved streams
	Seen       []Age `json:"seen"`
}

// Age is an Origin with the time since it was last seen.
type Age struct {
	Origin
	AgoMS int64 `json:"ago_ms"`
}

// stream is a tracked stream, in the order of recording.
type stream struct {
	key   Key
	at    time.Time
	own   bool // this router began it
	saved bool // it was read from the log
}

// Table holds the origins of recent streams. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// retention is how long a stream can be taken up after it began, and how long a
	// version counts as having served after it was last seen.
	retention time.Duration
	origins   map[Key]Origin
	order     []stream
	dropped   int64   // streams dropped from the front of order; positions count them
	unsaved   int64   // position of the first stream that this router has not saved
	untold    int64   // position of the first stream that TakeOwn has not returned
	pending   []Begun // own, to send with the next heartbeat
	sent      []Begun // own, sent with the last heartbeat; sent twice, since heartbeats get lost
	seen      map[Origin]time.Time
	complete  time.Time // seen is complete since then
	// restored replaces complete once the saved streams were read: a version that came after the
	// History was saved shows in them only. Zero without a restored History.
	restored time.Time
	before   beforeLoss
}

// beforeLoss is what a restored History and the saved streams say about the time before it. Streams are
// saved while their service has several versions, so that one that is not saved began at the only one.
type beforeLoss struct {
	versions  map[string]string // the only version of each service
	at        time.Time         // when the History was restored
	confirmed bool              // the saved streams were read, and none is of another version
}

// New returns an empty Table.
func New(now time.Time) *Table {
	return &Table{retention: minRetention, origins: make(map[Key]Origin), seen: make(map[Origin]time.Time), complete: now}
}

// SetFirst declares that no router ran before this process, so that no version served
// unseen.
func (t *Table) SetFirst(now time.Time) {
	const longest = 24 * time.Hour // no stream lasts as long
	t.mu.Lock()
	defer t.mu.Unlock()
	t.complete = now.Add(-longest)
}

// SetStreamTime sets how long a stream can last over all attempts of its caller.
func (t *Table) SetStreamTime(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retention = max(minRetention, d)
}

// Begin records a stream that this router began.
func (t *Table) Begin(now time.Time, k Key, o Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(now, k, o, true, false)
	t.pending = appendBegun(t.pending, k, o)
}

// appendBegun adds a stream to a list by origin.
func appendBegun(list []Begun, k Key, o Origin) []Begun {
	for i := range list {
		if list[i].Origin == o {
			list[i].Streams = append(list[i].Streams, k)
			return list
		}
	}
	return append(list, Begun{Origin: o, Streams: []Key{k}})
}

func (t *Table) record(now time.Time, k Key, o Origin, own, saved bool) {
	if _, known := t.origins[k]; known {
		return // the first event decides
	}
	drop := 0
	for drop < len(t.order) && (now.Sub(t.order[drop].at) > t.retention || len(t.order)-drop >= maxStreams) {
		delete(t.origins, t.order[drop].key)
		drop++
	}
	t.dropped += int64(drop)
	t.order = append(t.order[drop:], stream{key: k, at: now, own: own, saved: saved})
	t.origins[k] = o
	if now.After(t.seen[o]) {
		t.seen[o] = now
	}
}

// TakeBegun returns the streams for the next heartbeat: each is returned twice.
func (t *Table) TakeBegun() []Begun {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := append(slices.Clone(t.sent), t.pending...)
	t.sent, t.pending = t.pending, nil
	return list
}

// Unsaved returns the streams to save, of all routers, for the one that saves them: those of
// services with several versions that can still be taken up. Once they are saved, the
// caller passes end to Saved. With rest there are more.
func (t *Table) Unsaved(now time.Time) (list []Begun, end int64, rest bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	several := t.servicesWithSeveralVersions()
	if len(several) == 0 {
		return nil, t.unsaved, false // those of before count as soon as another version comes
	}
	n := 0
	end = max(t.unsaved, t.dropped)
	for _, s := range t.order[end-t.dropped:] {
		if n >= maxUnsaved {
			return list, end, true
		}
		end++
		if o := t.origins[s.key]; !s.saved && several[o.Service] && now.Sub(s.at) <= t.retention {
			list = appendBegun(list, s.key, o)
			n++
		}
	}
	return list, end, false
}

// Saved records that the streams that Unsaved returned with end were saved.
func (t *Table) Saved(end int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unsaved = max(t.unsaved, end)
}

// SaveAgain makes Unsaved return all streams again, as the log lost some.
func (t *Table) SaveAgain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unsaved = 0
	for i := range t.order {
		t.order[i].saved = false
	}
}

// TakeOwn returns the streams of services with several versions that this router began
// since the last call, for the router that saves them.
func (t *Table) TakeOwn() []Begun {
	t.mu.Lock()
	defer t.mu.Unlock()
	several := t.servicesWithSeveralVersions()
	from := max(t.untold, t.dropped) - t.dropped
	t.untold = t.dropped + int64(len(t.order))
	if len(several) == 0 {
		return nil
	}
	var list []Begun
	for _, s := range t.order[from:] {
		if o := t.origins[s.key]; s.own && several[o.Service] {
			list = appendBegun(list, s.key, o)
		}
	}
	return list
}

// SeveralVersions reports whether a service has had several versions while a stream can last.
func (t *Table) SeveralVersions(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.servicesWithSeveralVersions()[service]
}

// servicesWithSeveralVersions returns nil if there are none. The caller holds t.mu.
func (t *Table) servicesWithSeveralVersions() map[string]bool {
	var several map[string]bool
	for o := range t.seen {
		for other := range t.seen {
			if o.Service != other.Service || o.Version <= other.Version {
				continue
			}
			if several == nil {
				several = make(map[string]bool)
			}
			several[o.Service] = true
		}
	}
	return several
}

// Merge records streams that another router began.
func (t *Table) Merge(now time.Time, list []Begun) { t.merge(now, list, false) }

// MergeSaved records streams that were read from the log.
func (t *Table) MergeSaved(now time.Time, list []Begun) { t.merge(now, list, true) }

func (t *Table) merge(now time.Time, list []Begun, saved bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range list {
		for _, k := range b.Streams {
			t.record(now, k, b.Origin, false, saved)
		}
	}
}

// Observe records the versions that are in the registry now.
func (t *Table) Observe(now time.Time, present []Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range present {
		t.seen[o] = now
	}
	for o, at := range t.seen {
		if now.Sub(at) > t.retention {
			delete(t.seen, o)
		}
	}
}

// Answer returns what this router knows of a stream that one of services began.
func (t *Table) Answer(now time.Time, k Key, services []string) Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := Answer{Complete: now.Sub(t.complete) >= t.retention}
	if o, ok := t.origins[k]; ok {
		a.Origin = &o
		return a
	}
	for o, at := range t.seen {
		if slices.Contains(services, o.Service) && now.Sub(at) <= t.retention {
			a.Seen = append(a.Seen, o)
		}
	}
	slices.SortFunc(a.Seen, Origin.compare)
	if now.Sub(t.before.at) <= t.retention {
		a.Before = t.before.only(services)
	}
	return a
}

// only returns the only version that a service had before the loss, or nil.
func (b *beforeLoss) only(services []string) *Origin {
	if !b.confirmed || len(services) != 1 {
		return nil // of several services, any may have begun the stream
	}
	version, single := b.versions[services[0]]
	if !single {
		return nil
	}
	return &Origin{Service: services[0], Version: version}
}

// Combine returns the origin of a stream by the answers of several routers. Without a
// router that knows the stream, it is certain only if all have seen the same single
// version and one of them has seen all of the time in which the stream can have begun.
func Combine(answers []Answer) (Origin, bool) {
	var seen []Origin
	complete := false
	for _, a := range answers {
		if a.Origin != nil {
			return *a.Origin, true
		}
		seen = append(seen, a.Seen...)
		complete = complete || a.Complete
	}
	slices.SortFunc(seen, Origin.compare)
	if seen = slices.Compact(seen); len(seen) != 1 || !complete {
		return Origin{}, false
	}
	return seen[0], true
}

// CombineBefore returns the origin of a stream that neither a router nor the saved streams know,
// by what routers restored: it began before they were lost, at the only version of then.
func CombineBefore(answers []Answer) (Origin, bool) {
	var only []Origin
	for _, a := range answers {
		if a.Before != nil {
			only = append(only, *a.Before)
		}
	}
	if slices.SortFunc(only, Origin.compare); len(slices.Compact(only)) != 1 {
		return Origin{}, false
	}
	return only[0], true
}

// History returns what to save.
func (t *Table) History(now time.Time) History {
	t.mu.Lock()
	defer t.mu.Unlock()
	complete := t.complete
	if !t.restored.IsZero() && t.restored.Before(complete) {
		complete = t.restored
	}
	h := History{SavedAtMS: now.UnixMilli(), CompleteMS: now.Sub(complete).Milliseconds()}
	for o, at := range t.seen {
		h.Seen = append(h.Seen, Age{Origin: o, AgoMS: now.Sub(at).Milliseconds()})
	}
	slices.SortFunc(h.Seen, func(a, b Age) int { return a.Origin.compare(b.Origin) })
	return h
}

// Restore adds a saved History, which makes this one complete once ConfirmRestored is called. One
// that is too old does not.
func (t *Table) Restore(now time.Time, h History) {
	age := now.Sub(time.UnixMilli(h.SavedAtMS))
	if age < -maxClockOffset || age > maxRestoreAge {
		return
	}
	age = max(0, age)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range h.Seen {
		at := now.Add(-age - time.Duration(s.AgoMS)*time.Millisecond)
		if at.After(t.seen[s.Origin]) {
			t.seen[s.Origin] = at
		}
	}
	t.restored = now.Add(-age - time.Duration(h.CompleteMS)*time.Millisecond)
	t.before = beforeLoss{at: now}
	if time.Duration(h.CompleteMS)*time.Millisecond >= t.retention {
		t.before.versions = h.single()
	}
}

// single returns the version of each service that had only one.
func (h *History) single() map[string]string {
	versions, several := make(map[string]string), make(map[string]bool)
	for _, s := range h.Seen {
		if other, known := versions[s.Service]; known && other != s.Version {
			several[s.Service] = true
		}
		versions[s.Service] = s.Version
	}
	maps.DeleteFunc(versions, func(service, _ string) bool { return several[service] })
	return versions
}

// ConfirmRestored records that all saved streams were read since Restore. Together they show each
// version that served while no process of now ran.
func (t *Table) ConfirmRestored() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.restored.IsZero() && t.restored.Before(t.complete) {
		t.complete = t.restored
	}
	t.restored = time.Time{}
	for _, s := range t.order {
		if o := t.origins[s.key]; s.saved && !t.before.confirmed && t.before.versions[o.Service] != o.Version {
			delete(t.before.versions, o.Service)
		}
	}
	t.before.confirmed = true
}
