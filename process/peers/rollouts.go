package peers

import "time"

// Heard returns the names of the other routers of which a heartbeat arrived recently.
func (t *Table) Heard(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := t.lostAfter()
	var list []string
	for _, name := range t.names {
		if now.Sub(t.peers[name].lastHeartbeatAt) < lost {
			list = append(list, name)
		}
	}
	return list
}

// IsCoordinator reports whether this router, which is ready, comes first among the ready routers that are heard
// from: those that reach the store come before the others, and lower names before higher ones.
func (t *Table) IsCoordinator(now time.Time, reachesStore bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := t.lostAfter()
	for name, p := range t.peers {
		if !p.heartbeat.Ready || p.heartbeat.Draining || now.Sub(p.lastHeartbeatAt) >= lost {
			continue
		}
		if p.heartbeat.StoreReachable && !reachesStore || p.heartbeat.StoreReachable == reachesStore && name < t.self {
			return false
		}
	}
	return true
}
