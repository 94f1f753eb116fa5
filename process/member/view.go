package member

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Member is one router process. A restarted process has a new Incarnation.
type Member struct {
	Name        string         // host name in the platform's list
	Incarnation uint64         // unique per process start; "boot" on the wire
	Peer        netip.AddrPort // address for other routers
	Caller      netip.AddrPort // address for callers
	Zone        string         // availability zone
	Region      string
	Draining    bool // serves requests in progress, takes no new duties
}

// ViewID identifies the set of members in a view.
type ViewID uint64

// View is an immutable set of live routers of one region, created by NewView. Views
// with the same ID have the same members and so the same owner for every key.
type View struct {
	ID      ViewID
	Members []Member // sorted by name

	hashes []uint64 // of the members' names
}

// NewView returns the view of members. Draining members are left out, as a view
// determines who has duties.
func NewView(members []Member) *View {
	kept := make([]Member, 0, len(members))
	for _, m := range members {
		if !m.Draining {
			kept = append(kept, m)
		}
	}
	slices.SortFunc(kept, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	hashes := make([]uint64, len(kept))
	for i := range kept {
		hashes[i] = xxhash.Sum64String(kept[i].Name)
	}
	return &View{ID: viewID(kept), Members: kept, hashes: hashes}
}

func viewID(members []Member) ViewID {
	digest := xxhash.New()
	var incarnation [8]byte
	for _, m := range members {
		_, _ = digest.WriteString(m.Name)
		binary.LittleEndian.PutUint64(incarnation[:], m.Incarnation)
		_, _ = digest.Write(incarnation[:])
	}
	return ViewID(digest.Sum64())
}

// Index returns the position of the member called name, or -1.
func (v *View) Index(name string) int {
	i, found := slices.BinarySearchFunc(v.Members, name, func(m Member, n string) int {
		return strings.Compare(m.Name, n)
	})
	if !found {
		return -1
	}
	return i
}

// Duty is a type of work that one member is responsible for at a time.
type Duty string

// The duties that are distributed over the members of a view.
const (
	DutyAdmission Duty = "admission" // key: endpoint name
	DutyGroupMean Duty = "mean"      // key: model or service name
	DutyChatHome  Duty = "chat"      // key: workspace and chat
	DutyLedger    Duty = "ledger"    // key: shard
	DutySuspect   Duty = "suspect"   // key: request fingerprint
	DutyOrders    Duty = "orders"    // key: model name
)

// Owner returns the member that has duty for key, by rendezvous hashing. It
// returns false if the view has no members.
func (v *View) Owner(duty Duty, key string) (Member, bool) {
	if len(v.Members) == 0 {
		return Member{}, false
	}
	keyHash := xxhash.Sum64String(string(duty) + "/" + key)
	best, bestScore := 0, uint64(0)
	for i := range v.Members {
		score := mix(keyHash ^ v.hashes[i])
		if i == 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return v.Members[best], true
}

// mix spreads the bits of x; it is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
