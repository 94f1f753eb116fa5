package router

import (
	"math/rand/v2"
	"time"

	"github.com/stoatmount/stoatmount/process/peers"
	"github.com/stoatmount/stoatmount/process/permits"
)

// onMessage handles a message of another router.
func (p *permitTable) onMessage(now time.Time, m peers.Permit, from string) {
	p.mu.Lock()
	defer p.unlock()
	if m.Ask != nil {
		p.ask(now, *m.Ask, from)
	}
	if m.Reply != nil {
		p.reply(now, *m.Reply, from)
	}
	if m.Done != nil {
		p.done(now, *m.Done, from)
	}
}

func (p *permitTable) sendReplies(now time.Time, list []permits.Addressed) {
	for _, a := range list {
		if a.To == "" {
			p.reply(now, a.Reply, "")
			continue
		}
		p.out = append(p.out, permitMessage{peers.Permit{Reply: &a.Reply}, a.To})
	}
}

// ask handles an ask to this router as the owner. Those of a router that takes another one for the
// owner are answered too, as this router may not have heard of that one.
func (p *permitTable) ask(now time.Time, ask permits.Ask, from string) {
	s := p.service(now, ask.Service)
	if s == nil {
		return
	}
	if s.owned == nil {
		s.owned = permits.NewOwner(s.name, rand.Float64)
		s.refreshedAt = time.Time{}
	}
	s.askedAt = now
	p.refresh(now, s, permitRefreshInterval)
	p.sendReplies(now, s.owned.Ask(now, from, ask))
	p.scheduleTick(now)
}

// done handles a permit that is returned to this router.
func (p *permitTable) done(now time.Time, done permits.Done, from string) {
	if s := p.services[done.Service]; s != nil && s.owned != nil {
		p.refresh(now, s, permitRefreshInterval)
		p.sendReplies(now, s.owned.Done(now, from, done))
	}
}

// refresh passes the endpoints of an owned service to its permit state unless they are younger than
// maxAge.
func (p *permitTable) refresh(now time.Time, s *permitService, maxAge time.Duration) {
	if now.Sub(s.refreshedAt) < maxAge {
		return
	}
	s.refreshedAt = now
	p.sendReplies(now, s.owned.SetEndpoints(now, p.r.endpoints.PermitEndpoints(now, s.name)))
}

// endpointsChanged refreshes the endpoints of the owned services.
func (p *permitTable) endpointsChanged(now time.Time) {
	p.mu.Lock()
	defer p.unlock()
	for _, s := range p.byIndex {
		if s.owned != nil {
			p.refresh(now, s, 0)
		}
	}
}

// scheduleTick makes tick run while something waits for permits of this router, or permits are out.
func (p *permitTable) scheduleTick(now time.Time) {
	pause := time.Duration(0)
	for _, s := range p.byIndex {
		switch {
		case s.owned == nil:
		case s.owned.Waiting() > 0:
			pause = permitTick
		case pause == 0 && s.owned.Stats().Held > 0:
			pause = permitIdleTick
		}
	}
	at := now.Add(pause)
	if pause == 0 || !p.tickAt.IsZero() && !at.Before(p.tickAt) {
		return
	}
	p.tickAt = at
	if p.ticker == nil {
		p.ticker = time.AfterFunc(pause, p.tick)
		return
	}
	p.ticker.Reset(pause)
}

func (p *permitTable) tick() {
	now := time.Now()
	p.mu.Lock()
	defer p.unlock()
	p.tickAt = time.Time{}
	for _, s := range p.byIndex {
		if s.owned != nil {
			p.refresh(now, s, permitRefreshInterval)
			p.sendReplies(now, s.owned.Expire(now))
		}
	}
	if p.r.ctx.Err() == nil {
		p.scheduleTick(now)
	}
}

// sweep drops the permit state of services that no router asks for, and logs what happened since
// the last sweep.
func (p *permitTable) sweep(now time.Time) {
	p.mu.Lock()
	defer p.unlock()
	for _, s := range p.byIndex {
		if s.owned != nil {
			p.sendReplies(now, s.owned.Expire(now))
			idleTime := permitOwnerIdleTime
			if s.owner.Name == p.r.s.Name {
				idleTime = permitOwnerLongIdleTime
			}
			if now.Sub(s.askedAt) >= idleTime {
				s.owned = nil
			}
		}
		if s.used && s.owner.Name != s.loggedOwner {
			p.r.log.Info("permit owner", "service", s.name, "owner", s.owner.Name, "before", s.loggedOwner)
			s.loggedOwner = s.owner.Name
		}
		if s.queued+s.refused+s.unanswered > 0 {
			p.r.log.Info("permits scarce", "service", s.name, "owner", s.owner.Name, "queued", s.queued, "refused", s.refused, "unanswered", s.unanswered)
			s.queued, s.refused, s.unanswered = 0, 0, 0
		}
	}
}
