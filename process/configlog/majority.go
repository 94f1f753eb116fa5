package configlog

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/iter"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/connection/platformclient"
)

const (
	// askTimeout bounds one round of questions, so that a silent member does
	// not hold up the others.
	askTimeout = 300 * time.Millisecond
	// askAtOnce is the number of members asked at the same time.
	askAtOnce = 64
)

// majorityHolds asks the members that are not in held and adds those that hold
// all records before end.
func (f *Follower) majorityHolds(ctx context.Context, end platformclient.Offset, held map[string]bool) bool {
	others, ok := f.members()
	if !ok {
		return false
	}
	members := append([]Member{f.opt.Self}, others...)
	var missing []Member
	for _, m := range members {
		if !held[m.Name] {
			missing = append(missing, m)
		}
	}
	pages := f.askAll(ctx, missing, end)
	for i, page := range pages {
		if platformclient.Offset(page.GetEnd()) >= end {
			held[missing[i].Name] = true
		}
	}
	return Majority(members, held)
}

// Majority reports whether of every region more than half of the members are
// in held.
func Majority(members []Member, held map[string]bool) bool {
	balance := make(map[string]int)
	for _, m := range members {
		if held[m.Name] {
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

// askAll asks members at once for the records from offset on. The page of a
// member that does not answer is nil.
func (f *Follower) askAll(ctx context.Context, members []Member, from platformclient.Offset) []*peerpb.ConfigPage {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	mapper := iter.Mapper[Member, *peerpb.ConfigPage]{MaxGoroutines: askAtOnce}
	return mapper.Map(members, func(m *Member) *peerpb.ConfigPage {
		page, err := f.opt.Peers.Pull(ctx, m.Name, from)
		if err != nil {
			return nil
		}
		return page
	})
}

// Ready reports whether this router has known every accepted record at some
// time since it started. Until then it must not gossip: others would count it
// among those that would know of a newer configuration. An earlier process of
// the same name may have acknowledged a change that this one does not know yet.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readyLocked()
}

func (f *Follower) readyLocked() bool {
	return f.fold != nil && !f.fresh.Confirmed().Before(f.started)
}

// BootstrapFromPeers asks all routers of the own region for the configuration. It
// serves a router that starts while the log is down: what a majority of the
// routers that are ready knows is everything that was accepted.
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
	asked := f.opt.Clock.Now()
	f.mu.Lock()
	next := f.nextLocked()
	f.mu.Unlock()
	ready, end := 0, platformclient.Offset(0)
	for _, page := range f.askAll(ctx, members, next) {
		if page.GetEnd() == 0 {
			continue
		}
		ready++
		end = max(end, platformclient.Offset(page.GetEnd()))
		if err := f.ApplyPage(page); err != nil {
			f.opt.Logger.V(1).Info("peer gave no config records", "error", err.Error())
		}
	}
	if 2*ready <= len(members)+1 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fresh.AddEvidence(asked, end, f.nextLocked())
}
