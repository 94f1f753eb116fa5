package candidates

import (
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/request/placetoken"
	"github.com/stoatmount/stoatmount/version/config"
)

// CachedChat is a chat whose prefix a draining endpoint caches.
type CachedChat struct {
	Chat   placetoken.Chat
	Tokens int
	Idle   time.Duration // since the last request of the chat
}

// Move is a chat's cache that is to be copied from a draining endpoint.
type Move struct {
	Chat   placetoken.Chat
	Tokens int
	From   string
	To     string
}

// returnHalfLife is the idle time at which a chat is half as likely to return as
// one with a request just now.
const returnHalfLife = 10 * time.Minute

// Moves returns the chats to move off the draining endpoint, most valuable first,
// within budget tokens. Each goes to the endpoint that routers without state
// choose for it.
func (c *Selector) Moves(now time.Time, draining *config.Endpoint, chats []CachedChat, budget int) []Move {
	model := c.snapshot.Model(draining.Model)
	if model == nil || model.MovePerSecond <= 0 {
		return nil
	}
	ordered := slices.Clone(chats)
	slices.SortFunc(ordered, func(a, b CachedChat) int { return a.compare(b) })
	var moves []Move
	for _, h := range ordered {
		if h.Tokens > budget {
			continue
		}
		to := c.defaultEndpointWithout(now, draining, h.Chat)
		if to == "" {
			break
		}
		budget -= h.Tokens
		moves = append(moves, Move{Chat: h.Chat, Tokens: h.Tokens, From: draining.Name, To: to})
	}
	return moves
}

// defaultEndpointWithout returns the default endpoint of chat without draining.
func (c *Selector) defaultEndpointWithout(now time.Time, draining *config.Endpoint, chat placetoken.Chat) string {
	best := c.rank(now, draining.Group(), uint64(chat), []string{draining.Name})
	if best.n == 0 {
		return ""
	}
	return c.snapshot.Config.Endpoints[best.index[0]].Name
}

// compare orders chats by value per token moved, highest first. The saved prefill
// and the cost of the move both grow with the tokens, so the probability of a
// return decides; of two equal ones the longer chat saves more per request.
func (h CachedChat) compare(other CachedChat) int {
	a, b := h.returnProbability(), other.returnProbability()
	switch {
	case a > b:
		return -1
	case a < b:
		return 1
	case h.Tokens != other.Tokens:
		return other.Tokens - h.Tokens
	case h.Chat < other.Chat:
		return -1
	default:
		return 1
	}
}

func (h CachedChat) returnProbability() float64 {
	return 1 / (1 + float64(max(h.Idle, 0))/float64(returnHalfLife))
}
