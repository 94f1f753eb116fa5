package configlog

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/iter"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/connection/platformclient"
)

const (
	// pullTimeout bounds one round of requests, so that a member that does not
	// reply does not delay the others.
	pullTimeout = 300 * time.Millisecond
	// pullConcurrency is the number of concurrent requests to members.
	pullConcurrency = 64
)

// majorityHas queries the members that are not in confirmed and adds those that
// have all records before end. It reports whether confirmed is a majority.
func (f *Follower) majorityHas(ctx context.Context, end platformclient.Offset, confirmed map[string]bool) bool {
	others, ok := f.members()
	if !ok {
		return false
	}
	members := append([]Member{f.opt.Self}, others...)
	var missing []Member
	for _, m := range members {
		if !confirmed[m.Name] {
			missing = append(missing, m)
		}
	}
	pages := f.pullAll(ctx, missing, end)
	for i, page := range pages {
		if platformclient.Offset(page.GetEnd()) >= end {
			confirmed[missing[i].Name] = true
		}
	}
	return Majority(members, confirmed)
}

// Majority reports whether confirmed contains more than half of the members of
// every region. It is true without members.
func Majority(members []Member, confirmed map[string]bool) bool {
	balance := make(map[string]int) // confirmed members less the others, by region
	for _, m := range members {
		if confirmed[m.Name] {
			balance[m.Region]++
		} else {
			balance[m.Region]--
		}
	}
	for _, b := range balance {
		if b <= 0 {
			return false
		}
	}
	return true
}

func (f *Follower) members() ([]Member, bool) {
	if f.opt.Peers == nil {
		return nil, true
	}
	return f.opt.Peers.Members()
}

// pullAll requests the records from offset from on of all members concurrently.
// The page of a member that does not reply is nil.
func (f *Follower) pullAll(ctx context.Context, members []Member, from platformclient.Offset) []*peerpb.ConfigPage {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	mapper := iter.Mapper[Member, *peerpb.ConfigPage]{MaxGoroutines: pullConcurrency}
	return mapper.Map(members, func(m *Member) *peerpb.ConfigPage {
		page, err := f.opt.Peers.Pull(ctx, m.Name, from)
		if err != nil {
			return nil
		}
		return page
	})
}

// Ready reports whether this router has had every accepted record at some time
// since it started. Until then it must not gossip: an earlier incarnation may
// have acknowledged a change that this one does not have yet, and the others
// would count this router in a majority that has it.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readyLocked()
}

func (f *Follower) readyLocked() bool {
	return f.fold != nil && !f.fresh.Confirmed().Before(f.started)
}

// BootstrapFromPeers requests the configuration from all routers of this
// router's region. It lets a router start while the log is down: a majority of
// ready routers has every accepted record.
func (f *Follower) BootstrapFromPeers(ctx context.Context) {
	known, ok := f.members()
	if !ok {
		return
	}
	var members []Member
	for _, m := range known {
		if m.Region == f.opt.Self.Region {
			members = append(members, m)
		}
	}
	if len(members) == 0 {
		return
	}
	requestedAt := f.opt.Clock.Now()
	f.mu.Lock()
	next := f.nextLocked()
	f.mu.Unlock()
	ready, end := 0, platformclient.Offset(0)
	for _, page := range f.pullAll(ctx, members, next) {
		if page.GetEnd() == 0 {
			continue
		}
		ready++
		end = max(end, platformclient.Offset(page.GetEnd()))
		if err := f.ApplyPage(page); err != nil {
			f.opt.Logger.V(1).Info("pull of config records from a peer failed", "error", err.Error())
		}
	}
	if 2*ready <= len(members)+1 { // this router is a member that is not ready
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fresh.AddEvidence(requestedAt, end, f.nextLocked())
}
