package node

import (
	"context"
	"strconv"
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/admission"
	"github.com/stoatmount/stoatmount/process/burn"
	"github.com/stoatmount/stoatmount/process/member"
)

const (
	// advanceInterval is the time between two calls of Owner.Advance.
	advanceInterval = 50 * time.Millisecond
	// meanInterval is the time between two exchanges of loads and means.
	meanInterval = 250 * time.Millisecond
	// renewInterval is the time between two checks for leases to renew.
	renewInterval = 100 * time.Millisecond
	// hostListInterval is the time between two requests for the host list.
	hostListInterval = time.Second
	// shardInterval is the time between two checks of the owned ledger shards.
	shardInterval = 500 * time.Millisecond
	// requestTimeout bounds one request to the platform, a peer or an endpoint.
	requestTimeout = time.Second
)

// runEvery calls step at the given interval until ctx ends.
func (n *Node) runEvery(ctx context.Context, interval time.Duration, step func(context.Context, time.Time)) {
	n.wg.Go(func() {
		ticker := n.clock.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.Chan():
				step(ctx, n.clock.Now())
			}
		}
	})
}

func (n *Node) startLoops(ctx context.Context) {
	n.runEvery(ctx, n.settings.Member.Tick.Std(), n.tick)
	n.runEvery(ctx, advanceInterval, n.advance)
	n.runEvery(ctx, meanInterval, n.exchangeMeans)
	n.runEvery(ctx, renewInterval, n.renewPermits)
	n.runEvery(ctx, hostListInterval, n.readHostList)
	n.runEvery(ctx, shardInterval, n.updateLedgerShards)
	n.runEvery(ctx, loadPollInterval, n.pollLoads)
	n.runEvery(ctx, reconcileInterval, n.reconcileOrders)
	n.runEvery(ctx, moveInterval, n.moveChats)
	n.runEvery(ctx, eventPollInterval, n.pollCacheEvents)
	n.runEvery(ctx, rateInterval, n.measureRates)
	n.wg.Go(func() { n.follower.Run(ctx) })
	n.wg.Go(func() { n.follower.RunPeers(ctx) })
}

// tick sends gossip and burn counters and updates the tables that depend on membership.
func (n *Node) tick(_ context.Context, now time.Time) {
	messages := n.members.Tick(now)
	if n.follower.Ready() {
		n.gossip(messages)
	}
	live := n.members.Live(now)
	n.roster.update(now, live)
	n.informStarted(now, live)
	n.applyConfigGossip(now)
	majority := n.members.MajorityAge(now) < n.settings.Member.DeadAfter.Std()
	n.suspects.SetAuthority(n.members.ViewSince().Add(n.settings.Member.Promise.Std()), majority)
	if view := n.members.View(); view != nil {
		for _, send := range n.replicator.Due(now, view) {
			n.sendBurn(send)
		}
	}
}

func (n *Node) gossip(messages []member.Outgoing) {
	for _, out := range messages {
		n.links.Send(out.To.Peer, &peerpb.Envelope{Body: &peerpb.Envelope_Gossip{Gossip: out.Message}})
	}
}

func (n *Node) sendBurn(send burn.Transfer) {
	n.Background(func() {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		defer cancel()
		message := &peerpb.Envelope{Body: &peerpb.Envelope_BurnRecord{BurnRecord: burn.ToWire(send.Record)}}
		if _, err := n.links.Call(ctx, send.To.Peer, message); err == nil {
			n.replicator.Acknowledge(send)
		}
	})
}

// advance grants free permits and refuses requests whose wait has ended.
func (n *Node) advance(_ context.Context, now time.Time) {
	n.pendingPermits.deliver(n.owner.Advance(now))
}

// exchangeMeans sends loads to the owners of the group means, and means to the
// owners of the groups' endpoints.
func (n *Node) exchangeMeans(_ context.Context, now time.Time) {
	for _, load := range n.owner.GroupLoads(now) {
		owner, ok := n.members.OwnerFor(now, member.DutyGroupMean, load.GetGroup())
		switch {
		case !ok:
		case owner.Name == n.self.Name:
			n.means.SetLoad(now, n.self.Name, load)
		default:
			n.links.Send(owner.Peer, &peerpb.Envelope{Body: &peerpb.Envelope_GroupLoad{GroupLoad: load}})
		}
	}
	for _, out := range n.means.Advance(now) {
		n.sendMean(now, out)
	}
}

func (n *Node) sendMean(now time.Time, out admission.GroupMeanUpdate) {
	for _, name := range out.To {
		if name == n.self.Name {
			n.owner.SetGroupMean(now, out.Mean.GetGroup(), float64(out.Mean.GetMean()))
			continue
		}
		if m, ok := n.roster.find(name); ok {
			n.links.Send(m.Peer, &peerpb.Envelope{Body: &peerpb.Envelope_GroupMean{GroupMean: out.Mean}})
		}
	}
}

// renewPermits renews the leases of the permits held by requests.
func (n *Node) renewPermits(_ context.Context, now time.Time) {
	ownerOf := func(endpoint string) (string, bool) {
		owner, ok := n.members.OwnerFor(now, member.DutyAdmission, endpoint)
		return owner.Name, ok
	}
	for _, batch := range n.holder.Renewals(now, ownerOf) {
		for _, renewal := range batch.Renewals {
			n.renew(now, batch.Owner, renewal)
		}
	}
}

func (n *Node) renew(now time.Time, owner string, renewal *peerpb.Renew) {
	if owner == n.self.Name {
		expired := n.owner.RenewFrom(now, owner, renewal)
		n.holder.ApplyRenewal(now, owner, renewal.GetEndpoint(), renewal.GetPermits(), expired)
		return
	}
	m, ok := n.roster.find(owner)
	if !ok {
		return
	}
	n.Background(func() {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		defer cancel()
		reply, err := n.links.Call(ctx, m.Peer, &peerpb.Envelope{Body: &peerpb.Envelope_Renew{Renew: renewal}})
		if err == nil { // the reply holds the expired permits
			n.holder.ApplyRenewal(now, owner, renewal.GetEndpoint(), renewal.GetPermits(), reply.GetRenew().GetPermits())
		}
	})
}

// readHostList reads the host list of the platform.
func (n *Node) readHostList(ctx context.Context, _ time.Time) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	hosts, err := n.hostListClient.Hosts(ctx)
	if err != nil {
		n.log.V(1).Info("cannot read the host list", "error", err.Error())
		return
	}
	listed := membersFromList(hosts)
	now := n.clock.Now()
	n.members.SetHostList(now, listed)
	n.roster.update(now, listed)
	n.hostListRead.Store(true)
}

// updateLedgerShards sets the ledger shards that this router owns in its view.
func (n *Node) updateLedgerShards(_ context.Context, now time.Time) {
	snapshot := n.follower.Snapshot()
	if snapshot == nil {
		return
	}
	var owned []int
	for shard := range snapshot.Config.Limits.LedgerShards {
		owner, ok := n.members.OwnerFor(now, member.DutyLedger, strconv.Itoa(shard))
		if ok && owner.Name == n.self.Name {
			owned = append(owned, shard)
		}
	}
	n.ledger.SetOwned(owned)
}
