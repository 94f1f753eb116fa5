package peers

import "maps"

// addReading adds the prompt tokens that wait for a router's requests to the sums, or subtracts them with sign -1.
func (t *Table) addReading(p *peer, sign int64) {
	for id, n := range p.heartbeat.Reading {
		if n <= 0 {
			continue // not from a router of this build
		}
		if sum := t.reading[id] + sign*min(n, maxReading); sum == 0 {
			delete(t.reading, id)
		} else {
			t.reading[id] = sum
		}
	}
}

// maxReading bounds what one router may tell, so that sums do not overflow.
const maxReading = 1 << 32

// Reading returns the sum of the prompt tokens that wait for the other routers' requests, by endpoint, in the unit
// of the heartbeats. Routers without a recent heartbeat do not count from the next call of Running on.
func (t *Table) Reading() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.reading)
}
