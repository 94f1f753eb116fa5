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

// cacheLocations returns where the chat's prefix may be cached, by the place token of
// the caller, this router's directory and, unless the first location found is trusted,
// the directory of the chat's home.
func (n *Node) cacheLocations(ctx context.Context, now time.Time, job *serve.Job) []candidates.CacheLocation {
	chat := job.ChatKey()
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
	selector := n.selector.Load()
	if len(known) > 0 && selector != nil && selector.Trusted(now, &known[0]) {
		return known
	}
	if found, ok := n.askDirectory(ctx, now, chat); ok {
		known = append(known, found)
	}
	return known
}

// askDirectory asks the chat's home, if another router, where its prefix is cached.
func (n *Node) askDirectory(ctx context.Context, now time.Time, chat placetoken.Chat) (candidates.CacheLocation, bool) {
	home, ok := n.members.OwnerFor(now, member.DutyChatHome, chatKey(chat))
	if !ok || home.Name == n.self.Name {
		return candidates.CacheLocation{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
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

// PlaceToken implements serve.Dependencies.
func (n *Node) PlaceToken(job *serve.Job, endpoint string, incarnation uint64, tokens int) string {
	if n.signer == nil || job.Chat == "" || job.Kind.Model == "" {
		return ""
	}
	return n.signer.Sign(job.ChatKey(), placetoken.Place{Endpoint: endpoint, Incarnation: incarnation, Tokens: tokens, Issued: n.clock.Now()})
}

// RecordPlacement implements serve.Dependencies.
func (n *Node) RecordPlacement(job *serve.Job, endpoint string, incarnation uint64, tokens int) {
	n.recordPlacement(job.Kind.Group(), job.ChatKey(), endpoint, incarnation, tokens)
}

// recordPlacement reports to the directory where a chat's prefix is cached now.
// Chats at their default endpoint are found without the directory, so that endpoint
// is reported only to replace an earlier report of another one.
func (n *Node) recordPlacement(group string, chat placetoken.Chat, endpoint string, incarnation uint64, tokens int) {
	now := n.clock.Now()
	n.directory.Put(now, chat, endpoint, incarnation, tokens)
	home, ok := n.members.OwnerFor(now, member.DutyChatHome, chatKey(chat))
	selector := n.selector.Load()
	if !ok || selector == nil || home.Name == n.self.Name {
		return
	}
	if selector.DefaultEndpoint(group, chat) == endpoint && !n.offDefault.remove(chat) {
		return
	}
	if selector.DefaultEndpoint(group, chat) != endpoint {
		n.offDefault.add(chat)
	}
	n.links.Send(home.Peer, &peerpb.Envelope{Body: &peerpb.Envelope_PlaceUpdate{PlaceUpdate: &peerpb.PlaceUpdate{
		Chat: uint64(chat), Endpoint: endpoint, Boot: incarnation, Tokens: uint32(tokens),
	}}})
}
