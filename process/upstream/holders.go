package upstream

import "time"

const (
	// maxHolderKeys bounds the prompt keys that are tracked.
	maxHolderKeys = 8192
	// holderTTL is how long an endpoint is expected to keep cache entries without
	// requests for them.
	holderTTL = 2 * time.Minute
	// placementResendInterval is the time after which an unchanged placement is sent
	// again, for routers that started meanwhile.
	placementResendInterval = 5 * time.Second
)

// holders tracks which endpoints had the last requests of each prompt key, from
// placements by this router and the others.
type holders struct {
	byKey     map[uint64]map[string]time.Time // endpoint and time of the last request
	announced map[uint64]announcement
	pending   map[uint64]string // to send with the next heartbeat
	lastSent  map[uint64]string // sent with the last heartbeat; sent twice, since heartbeats get lost
}

// announcement is the last placement of a key that this router or another one sent.
type announcement struct {
	id string
	at time.Time
}

func newHolders() holders {
	return holders{byKey: make(map[uint64]map[string]time.Time), announced: make(map[uint64]announcement), pending: make(map[uint64]string)}
}

// of returns the endpoints that cache a key, with the time of the last request.
func (h *holders) of(now time.Time, key uint64) map[string]time.Time {
	list := h.byKey[key]
	for id, at := range list {
		if now.Sub(at) > holderTTL {
			delete(list, id)
		}
	}
	return list
}

// record records that a request of key went to an endpoint. own means that this
// router sent it.
func (h *holders) record(now time.Time, key uint64, id string, own bool) {
	list := h.byKey[key]
	if list == nil {
		if len(h.byKey) >= maxHolderKeys {
			h.evict(now)
		}
		list = make(map[string]time.Time, 1)
		h.byKey[key] = list
	}
	list[id] = now
	t := h.announced[key]
	if t.id == id && now.Sub(t.at) < placementResendInterval {
		return
	}
	h.announced[key] = announcement{id, now}
	if own {
		h.pending[key] = id
	}
}

// takePlacements returns the placements for the next heartbeat.
func (h *holders) takePlacements() map[uint64]string {
	merged := make(map[uint64]string, len(h.pending)+len(h.lastSent))
	for key, id := range h.lastSent {
		merged[key] = id
	}
	for key, id := range h.pending {
		merged[key] = id
	}
	h.lastSent, h.pending = h.pending, make(map[uint64]string)
	return merged
}

// evict drops expired keys, then arbitrary ones while the limit is reached.
func (h *holders) evict(now time.Time) {
	for key := range h.byKey {
		if len(h.of(now, key)) == 0 {
			h.drop(key)
		}
	}
	for key := range h.byKey {
		if len(h.byKey) < maxHolderKeys {
			return
		}
		h.drop(key)
	}
}

func (h *holders) drop(key uint64) {
	delete(h.byKey, key)
	delete(h.announced, key)
}

// dropEndpoint drops the keys of an endpoint that has restarted.
func (h *holders) dropEndpoint(id string) {
	for _, list := range h.byKey {
		delete(list, id)
	}
}

// TakeNewPlacements returns the prompt keys that this router placed since the last
// call but one, with their endpoints: each is returned twice, as heartbeats get lost.
func (t *Table) TakeNewPlacements() map[uint64]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holders.takePlacements()
}

// RecordPlacement records that another router placed a prompt key.
func (t *Table) RecordPlacement(now time.Time, key uint64, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holders.record(now, key, id, false)
}

// Placements returns the keys that were placed since a time, each with the
// endpoints that cache it.
func (t *Table) Placements(since time.Time) map[uint64][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	merged := make(map[uint64][]string)
	for key, list := range t.holders.byKey {
		for id, at := range list {
			if ep := t.byID[id]; ep != nil && !t.isDraining(ep) && !at.Before(since) {
				merged[key] = append(merged[key], id)
			}
		}
	}
	return merged
}

// RestorePlacements restores placements saved by an earlier process. Keys that are
// already known keep their newer placements.
func (t *Table) RestorePlacements(now time.Time, placements map[uint64][]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, ids := range placements {
		if len(t.holders.byKey[key]) > 0 {
			continue
		}
		for _, id := range ids {
			t.holders.record(now, key, id, false)
		}
		delete(t.holders.announced, key)
	}
}
