package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/process/configlog"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/request/candidates"
	"github.com/stoatmount/stoatmount/version/config"
)

// pullTimeout bounds one request for configuration records.
const pullTimeout = 2 * time.Second

// configPeers implements configlog.Peers.
type configPeers struct {
	node *Node
}

// Members implements configlog.Peers.
func (p configPeers) Members() ([]configlog.Member, bool) {
	others := p.node.roster.others()
	members := make([]configlog.Member, 0, len(others))
	for _, m := range others {
		members = append(members, configlog.Member{Name: m.Name, Region: m.Region})
	}
	return members, p.node.hostListRead.Load()
}

// Pull implements configlog.Peers.
func (p configPeers) Pull(ctx context.Context, name string, from platformclient.Offset) (*peerpb.ConfigPage, error) {
	m, ok := p.node.roster.find(name)
	if !ok {
		return nil, errors.Errorf("router %s is not known", name)
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := p.node.links.Call(ctx, m.Peer, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigPull{
		ConfigPull: &peerpb.ConfigPull{From: uint64(from)},
	}})
	if err != nil {
		return nil, err
	}
	if reply.GetConfigPage() == nil {
		return nil, errors.Errorf("router %s replied without a configuration page", name)
	}
	return reply.GetConfigPage(), nil
}

// applySnapshot applies a configuration to all tables.
func (n *Node) applySnapshot(snapshot *config.Snapshot) {
	n.appliedAt.Store(n.clock.Now().UnixNano())
	n.owner.SetSnapshot(snapshot)
	n.means.SetSnapshot(snapshot)
	n.selector.Store(candidates.New(snapshot, n.hints))
	n.retryBudget.SetShare(snapshot.Config.Limits.RetryShare)
	n.suspects.SetLimit(snapshot.Config.Limits.CrashLimit)
	n.log.Info("configuration in force", "version", uint64(snapshot.Version),
		"endpoints", len(snapshot.Config.Endpoints), "out", len(snapshot.OutOfService))
}

// publishConfigGossip passes the state of the configuration log on to be gossiped.
func (n *Node) publishConfigGossip(status configlog.Status) {
	n.members.MergeConfigGossip(member.ConfigGossip{Version: uint64(status.Version), End: uint64(status.KnownEnd), LogReadAt: status.LogReadAt})
}

// applyConfigGossip passes the follower the gossiped state of the configuration log,
// and when a majority was last heard.
func (n *Node) applyConfigGossip(now time.Time) {
	gossip := n.members.ConfigGossip()
	update := configlog.GossipUpdate{End: platformclient.Offset(gossip.End), LogReadAt: gossip.LogReadAt}
	if age := n.members.MajorityAge(now); age < n.settings.Member.Fresh.Std() {
		update.MajorityHeardAt = now.Add(-age)
	}
	n.follower.ObserveGossip(update)
}
