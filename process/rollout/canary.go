package rollout

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// canaryLoad is the load of a canary endpoint, relative to that of an old endpoint. It
	// is above 1 so that a version that fails only under load shows it in the canary stage.
	canaryLoad = 1.2
	// minCanaryEndpoints tells a faulty endpoint from a faulty version.
	minCanaryEndpoints = 2
)

// Candidate is a usable endpoint of the ordered version.
type Candidate struct{ ID, Zone string }

// hash returns a hash of the key that is uniform and independent for each seed.
func hash(seed uint64, key string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(seed)
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// unit returns hash as a fraction from 0 to below 1.
func unit(seed uint64, key string) float64 {
	return float64(hash(seed, key)>>11) / (1 << 53)
}

// Selected reports whether the request or chat with the key belongs to the given share of
// the requests. One that is selected stays so when the share grows.
func Selected(seed uint64, key string, share float64) bool {
	return unit(seed, key) < share
}

// CanaryEndpoints returns the ids of the endpoints that take the canary requests: so few
// that at the share each carries about canaryLoad times the load of one of the old
// endpoints, or load times it if that is more, but at least 2 if there are 2. They are spread
// over zones. All routers with the same list, in any order, choose the same.
func CanaryEndpoints(seed uint64, share float64, list []Candidate, old int, load float64) []string {
	n := canaryCount(share, len(list), old, load)
	type ranked struct {
		Candidate
		hash uint64
		turn int // position in its zone
	}
	all := make([]ranked, len(list))
	for i, c := range list {
		all[i] = ranked{Candidate: c, hash: hash(seed, c.ID)}
	}
	byHash := func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), strings.Compare(a.ID, b.ID))
	}
	slices.SortFunc(all, byHash)
	turns := map[string]int{}
	for i := range all {
		all[i].turn = turns[all[i].Zone]
		turns[all[i].Zone]++
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.turn, b.turn), byHash(a, b)) })
	ids := make([]string, n)
	for i := range ids {
		ids[i] = all[i].ID
	}
	return ids
}

// canaryCount returns the number of canary endpoints.
func canaryCount(share float64, ordered, old int, load float64) int {
	n := max(int(math.Round(share*float64(old)/max(canaryLoad, load))), minCanaryEndpoints)
	if old <= 0 || n >= ordered {
		return ordered
	}
	return n
}

// endpointKey returns the key of an endpoint in Counts.Endpoints. It is short because
// heartbeats carry it; endpoints with the same key are judged as one.
func endpointKey(id string) string {
	const digits = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_"
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], xxhash.Sum64String(id))
	return string([]byte{digits[b[0]&63], digits[b[1]&63], digits[b[2]&63]})
}
