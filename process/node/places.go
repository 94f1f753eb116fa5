package node

import (
	"context"
	"strconv"
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/request/candidates"
	"github.com/stoatmount/stoatmount/request/placetoken"
	"github.com/stoatmount/stoatmount/request/serve"
)

// knownPlaces returns where the chat's prefix may be cached: what the caller's
// token says, what this router has seen in cache events and, unless the first
// of these can be trusted, what the directory of the chat's home says.
func (n *Node) knownPlaces(ctx context.Context, now time.Time, job *serve.Job) []candidates.CacheLocation {
	chat := job.ChatID()
	if chat == 0 || job.Kind.Model == "" {
		return nil
	}
	var known []candidates.CacheLocation
	if n.signer != nil && job.PlaceToken != "" {
		if p, ok := n.signer.Verify(now, chat, job.PlaceToken); ok {
			known = append(known, candidates.CacheLocation{
				Endpoint: p.Endpoint, Incarnation: p.Incarnation, Tokens: p.Tokens, At: p.Issued, Reason: candidates.ReasonToken,
			})
		}
	}
	if entry, ok := n.directory.Get(chat); ok {
		known = append(known, candidates.CacheLocation{
			Endpoint: entry.Endpoint, Incarnation: entry.Incarnation, Tokens: entry.Tokens, Confidence: entry.Confidence, At: entry.At, Reason: candidates.ReasonEvents,
		})
	}
	chooser := n.chooser.Load()
	if len(known) > 0 && chooser != nil && chooser.Trusted(now, &known[0]) {
		return known
	}
	if found, ok := n.askDirectory(ctx, now, chat); ok {
		known = append(known, found)
	}
	return known
}

// askDirectory asks the chat's home, if it is another router.
func (n *Node) askDirectory(ctx context.Context, now time.Time, chat placetoken.Chat) (candidates.CacheLocation, bool) {
	home, ok := n.members.OwnerFor(now, member.DutyChatHome, chatKey(chat))
	if !ok || home.Name == n.self.Name {
		return candidates.CacheLocation{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, homeTime)
	defer cancel()
	reply, err := n.links.Call(ctx, home.Peer, &peerpb.Envelope{Body: &peerpb.Envelope_PlaceQuery{
		PlaceQuery: &peerpb.PlaceQuery{Chat: uint64(chat)},
	}})
	if err != nil || !reply.GetPlaceReply().GetFound() {
		return candidates.CacheLocation{}, false
	}
	r := reply.GetPlaceReply()
	age := time.Duration(r.GetAgeMs()) * time.Millisecond
	return candidates.CacheLocation{
		Endpoint: r.GetEndpoint(), Incarnation: r.GetBoot(), Tokens: int(r.GetTokens()), At: now.Add(-age), Reason: candidates.ReasonDirectory,
	}, true
}

func chatKey(chat placetoken.Chat) string {
	return strconv.FormatUint(uint64(chat), 16)
}

// PlaceToken implements serve.Fleet.
func (n *Node) PlaceToken(job *serve.Job, endpoint string, boot uint64, tokens int) string {
	if n.signer == nil || job.Chat == "" || job.Kind.Model == "" {
		return ""
	}
	return n.signer.Sign(job.ChatID(), placetoken.Place{Endpoint: endpoint, Incarnation: boot, Tokens: tokens, Issued: n.clock.Now()})
}

// Placed implements serve.Fleet.
func (n *Node) Placed(job *serve.Job, endpoint string, boot uint64, tokens int) {
	n.placeChat(job.Kind.Group(), job.ChatID(), endpoint, boot, tokens)
}

// placeChat tells the directory where a chat's prefix is cached now. Chats at
// their place by rendezvous hashing are found there without the directory;
// only an entry that says otherwise has to be replaced.
func (n *Node) placeChat(group string, chat placetoken.Chat, endpoint string, boot uint64, tokens int) {
	now := n.clock.Now()
	n.directory.Put(now, chat, endpoint, boot, tokens)
	home, ok := n.members.OwnerFor(now, member.DutyChatHome, chatKey(chat))
	chooser := n.chooser.Load()
	if !ok || chooser == nil || home.Name == n.self.Name {
		return
	}
	if chooser.DefaultEndpoint(group, chat) == endpoint && !n.strays.drop(chat) {
		return
	}
	if chooser.DefaultEndpoint(group, chat) != endpoint {
		n.strays.add(chat)
	}
	n.links.Send(home.Peer, &peerpb.Envelope{Body: &peerpb.Envelope_PlaceUpdate{PlaceUpdate: &peerpb.PlaceUpdate{
		Chat: uint64(chat), Endpoint: endpoint, Boot: boot, Tokens: uint32(tokens),
	}}})
}
