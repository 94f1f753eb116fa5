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

// Move is a planned move of a chat's cache from a draining endpoint to another.
type Move struct {
	Chat   placetoken.Chat
	Tokens int
	From   string
	To     string
}

// halfReturnIdle is the idle time at which a chat is half as likely to return as
// one with a request just now.
const halfReturnIdle = 10 * time.Minute

// Moves returns the chats to move off the draining endpoint, most valuable first,
// within budget tokens. Each goes to the other usable endpoint with the highest
// rendezvous weight.
func (sel *Selector) Moves(now time.Time, draining *config.Endpoint, chats []CachedChat, budget int) []Move {
	model := sel.snapshot.Model(draining.Model)
	if model == nil || model.MovePerSecond <= 0 {
		return nil
	}
	ordered := slices.Clone(chats)
	slices.SortFunc(ordered, func(a, b CachedChat) int { return a.compare(b) })
	var moves []Move
	for _, chat := range ordered {
		if chat.Tokens > budget {
			continue
		}
		to := sel.moveTarget(now, draining, chat.Chat)
		if to == "" {
			break
		}
		budget -= chat.Tokens
		moves = append(moves, Move{Chat: chat.Chat, Tokens: chat.Tokens, From: draining.Name, To: to})
	}
	return moves
}

// moveTarget returns the other usable endpoint with the highest rendezvous weight, or "".
func (sel *Selector) moveTarget(now time.Time, draining *config.Endpoint, chat placetoken.Chat) string {
	best := sel.rank(now, draining.Group(), uint64(chat), []string{draining.Name})
	if best.n == 0 {
		return ""
	}
	return sel.snapshot.Config.Endpoints[best.index[0]].Name
}

// compare orders chats by value per token moved, highest first. The saved prefill
// and the cost of the move both grow with the tokens, so the probability of a
// return decides. Of equally likely chats, the longer one saves more per request.
func (c CachedChat) compare(other CachedChat) int {
	a, b := c.returnProbability(), other.returnProbability()
	switch {
	case a > b:
		return -1
	case a < b:
		return 1
	case c.Tokens != other.Tokens:
		return other.Tokens - c.Tokens
	case c.Chat < other.Chat:
		return -1
	default:
		return 1
	}
}

func (c CachedChat) returnProbability() float64 {
	return 1 / (1 + float64(max(c.Idle, 0))/float64(halfReturnIdle))
}
