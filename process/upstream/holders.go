package upstream

import "time"

const (
	// holderKeys bounds the prompt keys that are remembered.
	holderKeys = 8192
	// holderMemory is how long an engine is expected to keep cache entries that
	// nobody asks for.
	holderMemory = 2 * time.Minute
	// tellAgain is the time after which the other routers are told again of a key
	// that stayed where it was, for those that started meanwhile.
	tellAgain = 5 * time.Second
)

// holders remembers which endpoints had the last requests of each prompt key,
// as far as this router or others placed them.
type holders struct {
	byKey map[uint64]map[string]time.Time // endpoint and time of the last request
	told  map[uint64]told
	fresh map[uint64]string // to tell with the next beat
	last  map[uint64]string // told with the last beat; told twice, as beats get lost
}

// told is what the other routers heard last of a key.
type told struct {
	id string
	at time.Time
}

func newHolders() holders {
	return holders{byKey: make(map[uint64]map[string]time.Time), told: make(map[uint64]told), fresh: make(map[uint64]string)}
}

// of returns the endpoints that hold a key.
func (h *holders) of(now time.Time, key uint64) map[string]time.Time {
	list := h.byKey[key]
	for id, at := range list {
		if now.Sub(at) > holderMemory {
			delete(list, id)
		}
	}
	return list
}

// note remembers that a request of key went to an endpoint. own says that this
// router sent it.
func (h *holders) note(now time.Time, key uint64, id string, own bool) {
	list := h.byKey[key]
	if list == nil {
		if len(h.byKey) >= holderKeys {
			h.forget(now)
		}
		list = make(map[string]time.Time, 1)
		h.byKey[key] = list
	}
	list[id] = now
	t := h.told[key]
	if t.id == id && now.Sub(t.at) < tellAgain {
		return
	}
	h.told[key] = told{id, now}
	if own {
		h.fresh[key] = id
	}
}

// take returns what is to be told with the next beat.
func (h *holders) take() map[uint64]string {
	all := make(map[uint64]string, len(h.fresh)+len(h.last))
	for key, id := range h.last {
		all[key] = id
	}
	for key, id := range h.fresh {
		all[key] = id
	}
	h.last, h.fresh = h.fresh, make(map[uint64]string)
	return all
}

// forget drops old keys, and any keys if none is old.
func (h *holders) forget(now time.Time) {
	for key := range h.byKey {
		if len(h.of(now, key)) == 0 {
			h.drop(key)
		}
	}
	for key := range h.byKey {
		if len(h.byKey) < holderKeys {
			return
		}
		h.drop(key)
	}
}

func (h *holders) drop(key uint64) {
	delete(h.byKey, key)
	delete(h.told, key)
}

// forgetEndpoint drops what an endpoint held that has started again.
func (h *holders) forgetEndpoint(id string) {
	for _, list := range h.byKey {
		delete(list, id)
	}
}

// TakeNewPlacements returns the prompt keys that this router placed since the last
// call, with their endpoints.
func (t *Table) TakeNewPlacements() map[uint64]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holders.take()
}

// RecordPlacement remembers that another router placed a prompt key.
func (t *Table) RecordPlacement(now time.Time, key uint64, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holders.note(now, key, id, false)
}

// Placements returns the keys that were placed since a time, each with the
// endpoints that hold it.
func (t *Table) Placements(since time.Time) map[uint64][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[uint64][]string)
	for key, list := range t.holders.byKey {
		for id, at := range list {
			if ep := t.byID[id]; ep != nil && !ep.Draining && !at.Before(since) {
				all[key] = append(all[key], id)
			}
		}
	}
	return all
}

// RestorePlacements remembers placements of an earlier process. What is known of a key
// already goes before them.
func (t *Table) RestorePlacements(now time.Time, placements map[uint64][]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, ids := range placements {
		if len(t.holders.byKey[key]) > 0 {
			continue
		}
		for _, id := range ids {
			t.holders.note(now, key, id, false)
		}
		delete(t.holders.told, key)
	}
}
