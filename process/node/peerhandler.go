package node

import (
	"context"
	"time"

	"github.com/stoatmount/stoatmount/connection/peer"
	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/process/admission"
	"github.com/stoatmount/stoatmount/process/burn"
	"github.com/stoatmount/stoatmount/process/suspect"
	"github.com/stoatmount/stoatmount/request/placetoken"
)

// peerWorkTimeout bounds the work caused by a message of another router.
const peerWorkTimeout = 10 * time.Second

// Handle implements peer.Handler.
func (n *Node) Handle(from string, message *peerpb.Envelope, reply peer.Reply) {
	now := n.clock.Now()
	switch body := message.GetBody().(type) {
	case *peerpb.Envelope_Gossip:
		if replies := n.members.HandleGossip(now, from, body.Gossip); n.follower.Ready() {
			n.gossip(replies)
		}
	case *peerpb.Envelope_PermitRequest:
		n.handlePermit(now, from, body.PermitRequest, reply)
	case *peerpb.Envelope_Release:
		n.pendingPermits.deliver(n.owner.Release(now, from, admission.ReleaseFrom(body.Release)))
	case *peerpb.Envelope_Renew:
		n.handleRenew(now, from, body.Renew, reply)
	case *peerpb.Envelope_GroupLoad:
		n.means.SetLoad(now, from, body.GroupLoad)
	case *peerpb.Envelope_GroupMean:
		n.owner.SetGroupMean(now, body.GroupMean.GetGroup(), float64(body.GroupMean.GetMean()))
	case *peerpb.Envelope_PlaceUpdate:
		u := body.PlaceUpdate
		n.directory.Put(now, placetoken.Chat(u.GetChat()), u.GetEndpoint(), u.GetBoot(), int(u.GetTokens()))
	case *peerpb.Envelope_PlaceQuery:
		n.handlePlaceQuery(now, body.PlaceQuery, reply)
	case *peerpb.Envelope_Suspect:
		n.handleSuspect(now, body.Suspect, reply)
	default:
		n.handleOtherMessage(message, reply)
	}
}

// handleOtherMessage handles messages on configuration, ledger, burn and status.
func (n *Node) handleOtherMessage(message *peerpb.Envelope, reply peer.Reply) {
	switch body := message.GetBody().(type) {
	case *peerpb.Envelope_Claim:
		n.backgroundWithTimeout(func(ctx context.Context) {
			answer(reply, &peerpb.Envelope{Body: &peerpb.Envelope_ClaimReply{ClaimReply: n.ledger.HandleClaim(ctx, body.Claim)}})
		})
	case *peerpb.Envelope_Finish:
		n.ledger.HandleOutcome(body.Finish)
		answer(reply, ack())
	case *peerpb.Envelope_ConfigPull:
		page := n.follower.ServePage(platformclient.Offset(body.ConfigPull.GetFrom()))
		answer(reply, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigPage{ConfigPage: page}})
	case *peerpb.Envelope_BurnRecord:
		n.burnReplicas.Merge(n.clock.Now(), burn.FromWire(body.BurnRecord))
		answer(reply, ack())
	case *peerpb.Envelope_StatusQuery:
		n.backgroundWithTimeout(func(context.Context) {
			answer(reply, n.statusReply(body.StatusQuery))
		})
	}
}

func ack() *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Ack{Ack: &peerpb.Ack{}}}
}

func answer(reply peer.Reply, message *peerpb.Envelope) {
	if reply != nil {
		reply(message)
	}
}

// backgroundWithTimeout runs work for another router with a timeout.
func (n *Node) backgroundWithTimeout(work func(context.Context)) {
	n.Background(func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerWorkTimeout)
		defer cancel()
		work(ctx)
	})
}

// Background implements serve.Dependencies. Work is dropped if the workers' queue is
// full; all work passed here is either retried or covered by a timeout.
func (n *Node) Background(work func()) {
	if !n.pool.Go(work) {
		n.counters.dropped.Add(1)
	}
}

func (n *Node) handlePermit(now time.Time, from string, m *peerpb.PermitRequest, reply peer.Reply) {
	if reply == nil {
		return // no call to answer
	}
	call := n.pendingPermits.add(permitReply(reply))
	n.pendingPermits.deliver(n.owner.Request(now, admission.RequestFrom(now, from, call, m)))
}

// handleRenew replies with the permits that have expired.
func (n *Node) handleRenew(now time.Time, from string, m *peerpb.Renew, reply peer.Reply) {
	expired := n.owner.RenewFrom(now, from, m)
	answer(reply, &peerpb.Envelope{Body: &peerpb.Envelope_Renew{Renew: &peerpb.Renew{Endpoint: m.GetEndpoint(), Permits: expired}}})
}

func (n *Node) handlePlaceQuery(now time.Time, m *peerpb.PlaceQuery, reply peer.Reply) {
	entry, found := n.directory.Get(placetoken.Chat(m.GetChat()))
	result := &peerpb.PlaceReply{Found: found}
	if found {
		result.Endpoint = entry.Endpoint
		result.Boot = entry.Incarnation
		result.Tokens = uint32(entry.Tokens)
		result.AgeMs = uint32(now.Sub(entry.At).Milliseconds())
	}
	answer(reply, &peerpb.Envelope{Body: &peerpb.Envelope_PlaceReply{PlaceReply: result}})
}

// handleSuspect answers a question about a fingerprint, or handles a message that
// needs no reply: as the home, or else as a notice from the home or an entry host.
func (n *Node) handleSuspect(now time.Time, m *peerpb.Suspect, reply peer.Reply) {
	home := n.isHomeOf(now, suspect.Fingerprint(m.GetFingerprint()))
	switch {
	case reply != nil:
		result := n.answerSuspect(now, m)
		answer(reply, &peerpb.Envelope{Body: &peerpb.Envelope_SuspectReply{SuspectReply: result}})
	case home:
		n.forwardNotice(now, n.suspects.Handle(now, m))
	default:
		n.suspects.ApplyNotice(now, m)
	}
}
