package candidates

import (
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/request/placetoken"
	"github.com/stoatmount/stoatmount/version/config"
)

// CachedChat is a chat whose prefix a leaving endpoint holds.
type CachedChat struct {
	Chat   placetoken.Chat
	Tokens int
	Idle   time.Duration // since the chat was last seen
}

// Move is a chat's cache to be copied from a leaving endpoint.
type Move struct {
	Chat   placetoken.Chat
	Tokens int
	From   string
	To     string
}

// returnHalfLife is the idle time at which a chat is half as likely to return
// as one that was just seen.
const returnHalfLife = 10 * time.Minute

// Moves returns the chats to move away from the leaving endpoint, most
// valuable first, as far as budget tokens go. Each goes where routers without
// any state will look for it.
func (c *Selector) Moves(now time.Time, leaving *config.Endpoint, held []CachedChat, budget int) []Move {
	model := c.snapshot.Model(leaving.Model)
	if model == nil || model.MovePerSecond <= 0 {
		return nil
	}
	ordered := slices.Clone(held)
	slices.SortFunc(ordered, func(a, b CachedChat) int { return a.compare(b) })
	var moves []Move
	for _, h := range ordered {
		if h.Tokens > budget {
			continue
		}
		to := c.defaultWithout(now, leaving, h.Chat)
		if to == "" {
			break
		}
		budget -= h.Tokens
		moves = append(moves, Move{Chat: h.Chat, Tokens: h.Tokens, From: leaving.Name, To: to})
	}
	return moves
}

// defaultWithout returns the default endpoint of chat once leaving is gone.
func (c *Selector) defaultWithout(now time.Time, leaving *config.Endpoint, chat placetoken.Chat) string {
	best := c.rank(now, leaving.Group(), uint64(chat), []string{leaving.Name})
	if best.n == 0 {
		return ""
	}
	return c.snapshot.Config.Endpoints[best.index[0]].Name
}

// compare orders chats by value per token moved, larger first. The saved
// prefill and the move both grow with the tokens, so that the chance of a
// return decides; of two equal ones the longer saves more per request.
func (h CachedChat) compare(other CachedChat) int {
	a, b := h.returnChance(), other.returnChance()
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

func (h CachedChat) returnChance() float64 {
	return 1 / (1 + float64(max(h.Idle, 0))/float64(returnHalfLife))
}
