package measure

import (
	"time"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/request/candidates"
)

// readCacheEvents reads a page of cache events of each endpoint. Some pages are lost;
// the owner detects it by the gap in the sequence numbers of the next one.
func (p *product) readCacheEvents() {
	for _, e := range p.f.endpoints {
		if !e.up || e.config.Model == "" {
			continue
		}
		page := protocol.CacheEvents{Incarnation: e.incarnation, Next: e.seq + 1, Events: e.events}
		e.events = nil
		if p.f.rng.Float64() < lostPageShare {
			continue
		}
		p.ownerOf(e).ownedChats.ApplyEvents(p.f.loop.now, e.config.Name, page)
	}
}

// migrateChats copies the most valuable cached chats of a draining endpoint to
// others, as many as the transfer rate allows within the given time.
func (p *product) migrateChats(e *endpoint, within time.Duration) {
	model := p.f.snapshot.Model(e.config.Model)
	if model == nil {
		return
	}
	now := p.f.loop.now
	owner := p.ownerOf(e)
	var held []candidates.CachedChat
	for _, h := range owner.ownedChats.ChatsCachedBy(e.config.Name) {
		held = append(held, candidates.CachedChat{Chat: h.Chat, Tokens: h.Tokens, Idle: now.Sub(h.At)})
	}
	budget := int(float64(model.MovePerSecond) * within.Seconds())
	elapsed := time.Duration(0)
	for _, move := range owner.selector.Moves(now, e.config, held, budget) {
		elapsed += time.Duration(move.Tokens) * time.Second / time.Duration(model.MovePerSecond)
		p.f.loop.after(elapsed, func() { p.finishMove(move, e) })
	}
}

func (p *product) finishMove(move candidates.Move, from *endpoint) {
	to := p.f.endpoints[p.f.indexOf(move.To)]
	tokens := from.cachedTokens(move.Chat)
	if tokens == 0 || !to.up || !from.up {
		return
	}
	to.store(move.Chat, tokens)
	p.f.stats.migratedChats++
	p.updateHome(move.Chat, from.config.Group(), to, tokens)
}
