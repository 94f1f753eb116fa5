package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatmount/stoatmount/connection/caller"
	"github.com/stoatmount/stoatmount/process/burn"
	"github.com/stoatmount/stoatmount/process/member"
	choose "github.com/stoatmount/stoatmount/request/candidates"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/placetoken"
	"github.com/stoatmount/stoatmount/request/serve"
	"github.com/stoatmount/stoatmount/version/config"
)

const (
	// maxAddresses is the maximum number of entry hosts in an address response.
	maxAddresses = 5
	// outOfServiceGrace is how long a host that was taken out of service still
	// serves callers that cached its address.
	outOfServiceGrace = 2 * time.Second
	// redirectRetryAfter is when a caller should try another entry host.
	redirectRetryAfter = time.Millisecond
)

// Snapshot implements caller.Fleet.
func (n *Node) Snapshot() *config.Snapshot {
	return n.follower.Snapshot()
}

// Serve implements caller.Fleet.
func (n *Node) Serve(ctx context.Context, job *serve.Job, sink serve.Sink) *outcome.Refusal {
	n.inProgress.Add(1)
	n.counters.begin(job.Kind.Name)
	defer func() {
		n.inProgress.Add(-1)
		n.counters.end(job.Kind.Name)
	}()
	return n.server.Serve(ctx, job, sink)
}

// TakeRetry implements serve.Fleet.
func (n *Node) TakeRetry(endpoint string) bool {
	return n.budget.Take(endpoint) == outcome.OK
}

// Accepting implements caller.Fleet.
func (n *Node) Accepting() *outcome.Refusal {
	now := n.clock.Now()
	if n.drain.refusing() || n.outOfServiceFor(now) > outOfServiceGrace {
		refusal := outcome.NotRun(outcome.Draining, "")
		refusal.Address = n.otherAddress(now)
		refusal.RetryAfter = redirectRetryAfter
		return refusal
	}
	if n.selector.Load() == nil {
		// The follower gets a configuration slightly before the tables do.
		return outcome.NotRun(outcome.NoConfig, "no configuration is in force yet")
	}
	if !n.follower.Fresh(now) {
		refusal := outcome.NotRun(outcome.StaleConfig, "neither the log nor a majority of the routers was heard lately")
		refusal.RetryAfter = time.Second
		return refusal
	}
	return nil
}

// Ready implements caller.Fleet.
func (n *Node) Ready() bool {
	now := n.clock.Now()
	return !n.drain.draining() && n.outOfServiceFor(now) == 0 && n.members.View() != nil && n.Accepting() == nil
}

// outOfServiceFor returns how long this host or its zone has been out of service.
func (n *Node) outOfServiceFor(now time.Time) time.Duration {
	snapshot := n.follower.Snapshot()
	if snapshot == nil || !snapshot.HostOutOfService(n.self.Name, n.self.Zone) {
		n.duties.update(now, "out", false)
		return 0
	}
	return max(now.Sub(n.duties.update(now, "out", true)), 1)
}

// Addresses implements caller.Fleet. The admission owner of the endpoint that the
// chat would use comes first, as it needs no other router for the permit.
func (n *Node) Addresses(workspace, chat string, kind *config.Kind) caller.Addresses {
	now := n.clock.Now()
	snapshot := n.follower.Snapshot()
	hosts := n.usableHosts(now, snapshot)
	key := xxhash.Sum64String(workspace + "/" + chat)
	slices.SortFunc(hosts, func(a, b member.Member) int {
		return cmp.Compare(hostScore(key, &b), hostScore(key, &a))
	})
	if owner, ok := n.ownerOfChat(now, workspace, chat, kind); ok {
		if i := slices.IndexFunc(hosts, func(m member.Member) bool { return m.Name == owner.Name }); i > 0 {
			first := hosts[i]
			copy(hosts[1:i+1], hosts[:i])
			hosts[0] = first
		}
	}
	addresses := make([]string, 0, maxAddresses)
	for _, m := range hosts[:min(len(hosts), maxAddresses)] {
		addresses = append(addresses, m.Caller.String())
	}
	return caller.Addresses{
		Addresses: addresses,
		TTLMs:     snapshot.Config.Limits.AddressTTL.Std().Milliseconds(),
		Version:   uint64(snapshot.Version),
	}
}

func hostScore(key uint64, m *member.Member) uint64 {
	return xxhash.Sum64String(m.Name) * (key | 1)
}

// ownerOfChat returns the admission owner of the endpoint that would serve a
// request of the chat.
func (n *Node) ownerOfChat(now time.Time, workspace, chat string, kind *config.Kind) (member.Member, bool) {
	selector := n.selector.Load()
	if selector == nil || kind == nil || chat == "" {
		return member.Member{}, false
	}
	id := placetoken.ChatOf(workspace, chat)
	in := &choose.Input{Chat: id, Kind: kind, Deadline: kind.Deadline.Std()}
	if entry, ok := n.directory.Get(id); ok {
		in.CacheLocations = []choose.CacheLocation{{Endpoint: entry.Endpoint, Incarnation: entry.Incarnation, Tokens: entry.Tokens, Confidence: entry.Confidence, Reason: choose.ReasonDirectory}}
	}
	plan := selector.Select(now, in)
	candidates := plan.Candidates()
	if len(candidates) == 0 {
		return member.Member{}, false
	}
	return n.members.OwnerFor(now, member.DutyAdmission, candidates[0].Endpoint.Name)
}

// usableHosts returns the live routers of the region to which callers may be sent.
func (n *Node) usableHosts(now time.Time, snapshot *config.Snapshot) []member.Member {
	var usable []member.Member
	for _, m := range n.members.Live(now) {
		self := m.Name == n.self.Name
		if m.Draining || snapshot.HostOutOfService(m.Name, m.Zone) || self && n.drain.draining() {
			continue
		}
		usable = append(usable, m)
	}
	return usable
}

// otherAddress returns the address of another entry host, in round-robin order, or
// an empty string.
func (n *Node) otherAddress(now time.Time) string {
	snapshot := n.follower.Snapshot()
	if snapshot == nil {
		return ""
	}
	others := slices.DeleteFunc(n.usableHosts(now, snapshot), func(m member.Member) bool { return m.Name == n.self.Name })
	if len(others) == 0 {
		return ""
	}
	turn := n.nextID.Add(1) % uint64(len(others))
	return others[turn].Caller.String()
}

// Observe implements caller.Fleet.
func (n *Node) Observe(done caller.Completion) {
	n.counters.count(done.Code)
	if done.Kind == "" {
		return
	}
	now := n.clock.Now()
	if result, counts := burn.Classify(done.Code, done.Run, done.InTime); counts {
		n.recorder.Count(now, done.Kind, result)
	}
	n.recorder.RecordLatency(done.Kind, done.FirstByte, done.Duration)
}

// Joined reports whether the process has read the configuration stream and is in a
// view, so that it can answer operators.
func (n *Node) Joined() bool {
	return n.follower.Ready() && n.members.View() != nil
}
