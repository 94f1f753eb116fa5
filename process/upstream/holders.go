package upstream

import "time"

const (
	// holderEntries bounds the prompt keys that are remembered.
	holderEntries = 4096
	// holderMemory is how long an engine is expected to keep cache entries that
	// nobody asks for.
	holderMemory = 30 * time.Second
)

// holders remembers which endpoint got the last request of a prompt key.
type holders struct {
	byKey map[uint64]holder
}

type holder struct {
	id string
	at time.Time
}

func newHolders() holders { return holders{byKey: make(map[uint64]holder)} }

// swap notes that id gets key now and returns the endpoint that had it before,
// or "".
func (h *holders) swap(now time.Time, key uint64, id string) string {
	old, ok := h.byKey[key]
	if len(h.byKey) >= holderEntries && !ok {
		h.forget(now)
	}
	h.byKey[key] = holder{id: id, at: now}
	if !ok || now.Sub(old.at) > holderMemory {
		return ""
	}
	return old.id
}

// forget drops old keys, and any keys if none is old.
func (h *holders) forget(now time.Time) {
	for key, e := range h.byKey {
		if now.Sub(e.at) > holderMemory {
			delete(h.byKey, key)
		}
	}
	for key := range h.byKey {
		if len(h.byKey) < holderEntries {
			return
		}
		delete(h.byKey, key)
	}
}
