package node

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/process/configlog"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/request/candidates"
	"github.com/stoatmount/stoatmount/version/config"
)

// pullTime bounds one question for configuration records.
const pullTime = 2 * time.Second

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
	return members, p.node.listRead.Load()
}

// Pull implements configlog.Peers.
func (p configPeers) Pull(ctx context.Context, name string, from platformclient.Offset) (*peerpb.ConfigPage, error) {
	m, ok := p.node.roster.find(name)
	if !ok {
		return nil, errors.Errorf("router %s is not known", name)
	}
	ctx, cancel := context.WithTimeout(ctx, pullTime)
	defer cancel()
	reply, err := p.node.links.Call(ctx, m.Peer, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigPull{
		ConfigPull: &peerpb.ConfigPull{From: uint64(from)},
	}})
	if err != nil {
		return nil, err
	}
	if reply.GetConfigPage() == nil {
		return nil, errors.Errorf("router %s sent no page", name)
	}
	return reply.GetConfigPage(), nil
}

// applySnapshot puts a configuration in force in all tables.
func (n *Node) applySnapshot(snapshot *config.Snapshot) {
	n.appliedAt.Store(n.clock.Now().UnixNano())
	n.owner.SetSnapshot(snapshot)
	n.means.SetSnapshot(snapshot)
	n.chooser.Store(candidates.New(snapshot, n.hints))
	n.budget.SetShare(snapshot.Config.Limits.RetryShare)
	n.suspects.SetLimit(snapshot.Config.Limits.CrashLimit)
	n.log.Info("configuration in force", "version", uint64(snapshot.Version),
		"endpoints", len(snapshot.Config.Endpoints), "out", len(snapshot.OutOfService))
}

// tellNews passes what the follower knows of the config stream to gossip.
func (n *Node) tellNews(status configlog.Status) {
	n.members.MergeConfigGossip(member.ConfigGossip{Version: uint64(status.Version), End: uint64(status.KnownEnd), LogReadAt: status.LogReadAt})
}

// onlyAppender reports whether every known router has asked this one alone for
// the claims of a shard since a time.
func (n *Node) onlyAppender(shard int, since time.Time) bool {
	return n.members.SoleOwner(n.clock.Now(), member.DutyLedger, strconv.Itoa(shard), since)
}

// exchangeNews passes what gossip tells of the config stream to the follower.
func (n *Node) exchangeNews(now time.Time) {
	news := n.members.ConfigGossip()
	heard := configlog.GossipUpdate{End: platformclient.Offset(news.End), LogReadAt: news.LogReadAt}
	if age := n.members.MajorityAge(now); age < n.settings.Member.Fresh.Std() {
		heard.MajorityHeardAt = now.Add(-age)
	}
	n.follower.ObserveGossip(heard)
}
