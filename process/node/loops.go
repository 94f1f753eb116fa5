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
	// advanceEvery is the time between two looks at waiting permit requests.
	advanceEvery = 50 * time.Millisecond
	// meanEvery is the time between two looks at loads and means.
	meanEvery = 250 * time.Millisecond
	// renewEvery is the time between two looks at leases.
	renewEvery = 100 * time.Millisecond
	// listEvery is the time between two questions for the list of hosts.
	listEvery = time.Second
	// dutiesEvery is the time between two looks at the duties held.
	dutiesEvery = 500 * time.Millisecond
	// askTime bounds one question to the platform, a peer or an endpoint.
	askTime = time.Second
)

// every calls step at the given interval until ctx ends.
func (n *Node) every(ctx context.Context, interval time.Duration, step func(context.Context, time.Time)) {
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
	n.every(ctx, n.settings.Member.Tick.Std(), n.tick)
	n.every(ctx, advanceEvery, n.advance)
	n.every(ctx, meanEvery, n.exchangeMeans)
	n.every(ctx, renewEvery, n.renewPermits)
	n.every(ctx, listEvery, n.readList)
	n.every(ctx, dutiesEvery, n.takeDuties)
	n.every(ctx, pollEvery, n.pollLoads)
	n.every(ctx, ordersEvery, n.reconcileOrders)
	n.every(ctx, movesEvery, n.moveChats)
	n.every(ctx, eventsEvery, n.pollCacheEvents)
	n.every(ctx, rateEvery, n.measureRates)
	n.wg.Go(func() { n.follower.Run(ctx) })
	n.wg.Go(func() { n.follower.RunPeers(ctx) })
}

// tick gossips and moves what depends on membership.
func (n *Node) tick(_ context.Context, now time.Time) {
	messages := n.members.Tick(now)
	if n.follower.Ready() {
		n.gossip(messages)
	}
	n.roster.learn(now, n.members.Live(now))
	n.exchangeNews(now)
	majority := n.members.MajorityAge(now) < n.settings.Member.DeadAfter.Std()
	n.suspects.SetAuthority(n.members.ViewSince().Add(n.settings.Member.Promise.Std()), majority)
	if view := n.members.View(); view != nil {
		for _, send := range n.exchange.Due(now, view) {
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
		ctx, cancel := context.WithTimeout(context.Background(), askTime)
		defer cancel()
		message := &peerpb.Envelope{Body: &peerpb.Envelope_BurnRecord{BurnRecord: burn.ToWire(send.Record)}}
		if _, err := n.links.Call(ctx, send.To.Peer, message); err == nil {
			n.exchange.Acknowledge(send)
		}
	})
}

// advance grants what has become free and refuses what waited too long.
func (n *Node) advance(_ context.Context, now time.Time) {
	n.calls.deliver(n.owner.Advance(now))
}

// exchangeMeans reports loads to the holders of the groups' means, and means
// to the owners of the groups' endpoints.
func (n *Node) exchangeMeans(_ context.Context, now time.Time) {
	for _, load := range n.owner.GroupLoads(now) {
		holder, ok := n.members.OwnerFor(now, member.DutyGroupMean, load.GetGroup())
		switch {
		case !ok:
		case holder.Name == n.self.Name:
			n.means.SetLoad(now, n.self.Name, load)
		default:
			n.links.Send(holder.Peer, &peerpb.Envelope{Body: &peerpb.Envelope_GroupLoad{GroupLoad: load}})
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

// renewPermits extends the leases of the permits that requests hold.
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
		lapsed := n.owner.RenewFrom(now, owner, renewal)
		n.holder.ApplyRenewal(now, owner, renewal.GetEndpoint(), renewal.GetPermits(), lapsed)
		return
	}
	m, ok := n.roster.find(owner)
	if !ok {
		return
	}
	n.Background(func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTime)
		defer cancel()
		reply, err := n.links.Call(ctx, m.Peer, &peerpb.Envelope{Body: &peerpb.Envelope_Renew{Renew: renewal}})
		if err == nil {
			n.holder.ApplyRenewal(now, owner, renewal.GetEndpoint(), renewal.GetPermits(), reply.GetRenew().GetPermits())
		}
	})
}

// readList asks the platform for the hosts.
func (n *Node) readList(ctx context.Context, _ time.Time) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	hosts, err := n.hosts.Hosts(ctx)
	if err != nil {
		n.log.V(1).Info("list of hosts is not available", "error", err.Error())
		return
	}
	listed := fromList(hosts)
	now := n.clock.Now()
	n.members.SetHostList(now, listed)
	n.roster.learn(now, listed)
	n.listRead.Store(true)
}

// takeDuties takes and gives up the ledger's shards as the view demands.
func (n *Node) takeDuties(_ context.Context, now time.Time) {
	snapshot := n.follower.Snapshot()
	if snapshot == nil {
		return
	}
	var own []int
	for shard := range snapshot.Config.Limits.LedgerShards {
		owner, ok := n.members.OwnerFor(now, member.DutyLedger, strconv.Itoa(shard))
		if ok && owner.Name == n.self.Name {
			own = append(own, shard)
		}
	}
	n.ledger.SetOwned(own)
}
