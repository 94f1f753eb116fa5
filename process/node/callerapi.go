package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/caller"
	"github.com/stoatmount/stoatmount/process/burn"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/request/candidates"
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
	// redirectRetryAfter is how long callers wait before they try another entry host.
	redirectRetryAfter = time.Millisecond
)

// Snapshot implements caller.Router.
func (n *Node) Snapshot() *config.Snapshot {
	return n.follower.Snapshot()
}

// Serve implements caller.Router.
func (n *Node) Serve(ctx context.Context, job *serve.Job, sink serve.Sink) *outcome.Refusal {
	if n.drain.mayCut(job.Deadline) {
		if elsewhere := n.drainingRefusal(n.clock.Now()); elsewhere.Address != "" {
			return elsewhere
		}
	}
	n.inProgress.Add(1)
	n.counters.begin(job.Kind.Name)
	defer func() {
		n.inProgress.Add(-1)
		n.counters.end(job.Kind.Name)
	}()
	ctx, release := n.endWithProcess(ctx)
	defer release()
	refusal := n.server.Serve(ctx, job, sink)
	if refusal == nil || !errors.Is(context.Cause(ctx), errProcessEnds) {
		return refusal
	}
	ended := n.drainingRefusal(n.clock.Now())
	ended.Run, ended.Detail = refusal.Run, "the process ended before the request did"
	return ended
}

// TakeRetry implements serve.Dependencies.
func (n *Node) TakeRetry(endpoint string) bool {
	return n.retryBudget.Take(endpoint) == outcome.OK
}

// NewWorkRefusal implements caller.Router.
func (n *Node) NewWorkRefusal() *outcome.Refusal {
	now := n.clock.Now()
	if n.drain.refusing() || n.outOfServiceFor(now) > outOfServiceGrace {
		return n.drainingRefusal(now)
	}
	if n.selector.Load() == nil {
		// The tables get the first configuration slightly after the follower.
		return outcome.NotRun(outcome.NoConfig, "no configuration is in force yet")
	}
	if !n.follower.Fresh(now) {
		refusal := outcome.NotRun(outcome.StaleConfig, "neither the log nor a majority of the routers was heard lately")
		refusal.RetryAfter = time.Second
		return refusal
	}
	return nil
}

// drainingRefusal names another entry host, if there is one.
func (n *Node) drainingRefusal(now time.Time) *outcome.Refusal {
	refusal := outcome.NotRun(outcome.Draining, "")
	refusal.Address = n.otherAddress(now)
	refusal.RetryAfter = redirectRetryAfter
	return refusal
}

// Ready implements caller.Router.
func (n *Node) Ready() bool {
	now := n.clock.Now()
	return !n.drain.draining() && n.outOfServiceFor(now) == 0 && n.members.View() != nil && n.NewWorkRefusal() == nil
}

// outOfServiceFor returns how long this host or its zone has been out of service: at
// least 1 ns, or 0 if it is not.
func (n *Node) outOfServiceFor(now time.Time) time.Duration {
	snapshot := n.follower.Snapshot()
	if snapshot == nil || !snapshot.HostOutOfService(n.self.Name, n.self.Zone) {
		n.duties.update(now, "out", false)
		return 0
	}
	return max(now.Sub(n.duties.update(now, "out", true)), 1)
}

// Addresses implements caller.Router. The admission owner of the endpoint that the
// chat would use comes first, since that host needs no other router for the permit.
func (n *Node) Addresses(workspace, chat string, kind *config.Kind) caller.Addresses {
	now := n.clock.Now()
	snapshot := n.follower.Snapshot()
	hosts := n.addressableHosts(now, snapshot)
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
	in := &candidates.Input{Chat: id, Kind: kind, Deadline: kind.Deadline.Std()}
	if entry, ok := n.directory.Get(id); ok {
		in.CacheLocations = []candidates.CacheLocation{{Endpoint: entry.Endpoint, Incarnation: entry.Incarnation, Tokens: entry.Tokens, Confidence: entry.Confidence, Reason: candidates.ReasonDirectory}}
	}
	plan := selector.Select(now, in)
	ranked := plan.Candidates()
	if len(ranked) == 0 {
		return member.Member{}, false
	}
	return n.members.OwnerFor(now, member.DutyAdmission, ranked[0].Endpoint.Name)
}

// addressableHosts returns the live routers of the region that callers may be told of.
func (n *Node) addressableHosts(now time.Time, snapshot *config.Snapshot) []member.Member {
	var hosts []member.Member
	for _, m := range n.members.Live(now) {
		self := m.Name == n.self.Name
		if m.Draining || snapshot.HostOutOfService(m.Name, m.Zone) || self && n.drain.draining() {
			continue
		}
		hosts = append(hosts, m)
	}
	return hosts
}

// otherAddress returns the address of another entry host, spread by a counter, or "".
func (n *Node) otherAddress(now time.Time) string {
	snapshot := n.follower.Snapshot()
	if snapshot == nil {
		return ""
	}
	others := slices.DeleteFunc(n.addressableHosts(now, snapshot), func(m member.Member) bool { return m.Name == n.self.Name })
	if len(others) == 0 {
		return ""
	}
	turn := n.nextID.Add(1) % uint64(len(others))
	return others[turn].Caller.String()
}

// Observe implements caller.Router.
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

// Joined reports whether the process has read the configuration log and is in a
// view, so that it can answer operators.
func (n *Node) Joined() bool {
	return n.follower.Ready() && n.members.View() != nil
}
