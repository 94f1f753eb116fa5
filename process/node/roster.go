package node

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/process/member"
)

// rosterRetention is how long a host that is neither listed nor alive keeps its
// entry.
const rosterRetention = 2 * time.Minute

// roster holds the hosts of every region that were listed or alive in rosterRetention.
type roster struct {
	self member.Member

	mu      sync.Mutex
	members map[string]rosterEntry
}

type rosterEntry struct {
	member.Member
	seen time.Time
}

func newRoster(self member.Member) *roster {
	return &roster{self: self, members: make(map[string]rosterEntry)}
}

// update records hosts that are listed or alive at now.
func (r *roster) update(now time.Time, members []member.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range members {
		r.members[m.Name] = rosterEntry{Member: m, seen: now}
	}
	for name, entry := range r.members {
		if now.Sub(entry.seen) > rosterRetention {
			delete(r.members, name)
		}
	}
}

// find returns the host with this name.
func (r *roster) find(name string) (member.Member, bool) {
	if name == r.self.Name {
		return r.self, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, ok := r.members[name]
	return entry.Member, ok
}

// others returns all known hosts except this one, sorted by name.
func (r *roster) others() []member.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	others := make([]member.Member, 0, len(r.members))
	for _, entry := range r.members {
		if entry.Name != r.self.Name {
			others = append(others, entry.Member)
		}
	}
	slices.SortFunc(others, func(a, b member.Member) int { return strings.Compare(a.Name, b.Name) })
	return others
}

// membersFromList converts the platform's host list.
func membersFromList(hosts []platformclient.ListedHost) []member.Member {
	members := make([]member.Member, 0, len(hosts))
	for _, h := range hosts {
		members = append(members, member.Member{
			Name: h.Name, Peer: h.Peer, Caller: h.Caller, Zone: h.Zone, Region: h.Region, Draining: h.Draining,
		})
	}
	return members
}
