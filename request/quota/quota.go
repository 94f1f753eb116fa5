package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatmount/stoatmount/request/balance"
)

// Quota is the number of requests that an endpoint takes in any Window from all routers
// together.
type Quota struct {
	Total  int
	Window time.Duration
}

const (
	// longestWindow is the longest one over which a rate of a request a second or so is
	// counted. Shorter ones divide it, so that windows in a row keep the rate over it too.
	longestWindow = 4 * time.Second
	// maxWindow bounds the window of lower rates, so that some request finds out when the
	// endpoint takes more.
	maxWindow = 8 * time.Second
	// maxRate is the largest rate, in requests a second, that is told from no limit.
	maxRate = 1e6
)

// OfRate returns the quota of an endpoint that takes a number of requests a second. The
// window is the shortest one in which each router can have a request.
func OfRate(perSecond float64, routers int) Quota {
	perSecond = max(0, min(perSecond, maxRate))
	window := time.Second
	for window < longestWindow && perSecond*window.Seconds() < float64(routers) {
		window *= 2
	}
	total := int(perSecond*window.Seconds() + 1e-9)
	if total < 1 {
		return Quota{Total: 1, Window: time.Duration(min(maxWindow.Seconds(), 1/max(perSecond, 1e-9)) * float64(time.Second))}
	}
	return Quota{Total: total, Window: window}
}

// Divided returns the number of requests that is divided among the routers while they
// hear of one another. It exceeds Total, which bounds what they tell to have sent, so that
// others use what one does not, and stays within the half more that endpoints bear.
func (q Quota) Divided() int {
	const mostExtra = 3 // for routers that all send before they hear of one another
	return q.Total + q.Total/2 + min(mostExtra, int(q.Window/time.Second))
}

// Member is a router among which quotas are divided.
type Member struct {
	Name   string
	Heard  bool // its demand is known
	Demand int  // tenths of a request a second
}

// The part of the heard routers is divided by demand, but for a fraction of basePart
// in wholePart that is divided equally, so that a router whose demand begins is not
// without quota until the others have heard of it.
const (
	basePart  = 2
	wholePart = 10
)

// Share returns how much of total the router self may use. seed decides to whom the
// remainder of the division goes.
func Share(seed uint64, total int, self Member, others []Member) int {
	demand, heard := 0, 0
	for i := -1; i < len(others); i++ {
		if m := memberAt(i, self, others); m.Heard {
			demand += m.Demand
			heard++
		}
	}
	sum, floors := 0, 0
	for i := -1; i < len(others); i++ {
		sum += weight(memberAt(i, self, others), demand, heard)
	}
	for i := -1; i < len(others); i++ {
		floors += total * weight(memberAt(i, self, others), demand, heard) / sum
	}
	own := total * weight(&self, demand, heard)
	before := 0
	for i := range others {
		if precedes(seed, total*weight(&others[i], demand, heard)%sum, others[i].Name, own%sum, self.Name) {
			before++
		}
	}
	share := own / sum
	if before < total-floors {
		share++
	}
	return share
}

func memberAt(i int, self Member, others []Member) *Member {
	if i < 0 {
		return &self
	}
	return &others[i]
}

// weight returns a router's part of the total, relative to the other routers' parts.
func weight(m *Member, demand, heard int) int {
	switch {
	case demand == 0:
		return 1
	case !m.Heard:
		return wholePart * demand
	default:
		return basePart*demand + (wholePart-basePart)*m.Demand*heard
	}
}

// precedes reports whether router a gets a part of the remainder before router b.
func precedes(seed uint64, remainderA int, a string, remainderB int, b string) bool {
	if remainderA != remainderB {
		return remainderA > remainderB
	}
	return balance.RendezvousWeight(seed, a) > balance.RendezvousWeight(seed, b)
}

// SeedOf returns the seed of an endpoint.
func SeedOf(id string) uint64 { return xxhash.Sum64String(id) }

// demandWindow is the time constant of the smoothed demand.
const demandWindow = 4 * time.Second

// Demand is the smoothed rate of the requests for a service. Its zero value is ready for
// use; it is not safe for concurrent use.
type Demand struct {
	at    time.Time
	count float64
}

// Add counts a request.
func (d *Demand) Add(now time.Time) {
	d.decay(now)
	d.count++
}

// Tenths returns the rate in tenths of a request a second.
func (d *Demand) Tenths(now time.Time) int {
	d.decay(now)
	return int(math.Round(10 * d.count / demandWindow.Seconds()))
}

func (d *Demand) decay(now time.Time) {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		d.count *= math.Exp(-float64(elapsed) / float64(demandWindow))
		d.at = now
	}
}
