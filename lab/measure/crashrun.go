package measure

import (
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/suspect"
)

// send takes a request in at a random router that is up.
func (s *crashSite) send(r *crashRun) {
	for r.router == nil || r.router.down {
		r.router = s.routers[s.rng.IntN(len(s.routers))]
	}
	s.nextRun++
	r.id = s.nextRun
	r.end = s.pick()
	if r.end == nil {
		s.retry(r, time.Second)
		return
	}
	if !s.guard.table {
		s.start(r)
		return
	}
	s.ask(r)
}

func (s *crashSite) retry(r *crashRun, after time.Duration) {
	s.loop.after(after, func() { s.send(r) })
}

// pick draws an endpoint that is up.
func (s *crashSite) pick() *crashEnd {
	var up []*crashEnd
	for _, e := range s.ends {
		if e.up && !e.alone && len(e.waiting) == 0 {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[s.rng.IntN(len(up))]
}

// ask asks the home of the body, and the next home if it does not answer.
func (s *crashSite) ask(r *crashRun) {
	verdict := r.router.table.Verdict(s.loop.now, r.f)
	if verdict == suspect.Blocked {
		r.done(runRefused)
		return
	}
	home, next := s.homes(r.f)
	message := r.question()
	if !home.down {
		s.loop.after(hop, func() { s.answered(r, s.handle(home, message).Reply) })
		return
	}
	s.loop.after(homeTimeout, func() {
		switch {
		case s.guard.standby && next != nil && !next.down:
			s.answered(r, next.table.HandleAsStandby(s.loop.now, message).Reply)
		case verdict == suspect.None:
			s.start(r)
		default:
			s.retry(r, homeTimeout)
		}
	})
}

// handle is a message at the home of its body.
func (s *crashSite) handle(home *crashRouter, m *peerpb.Suspect) suspect.Result {
	result := home.table.Handle(s.loop.now, m)
	if result.Notice == nil {
		return result
	}
	_, next := s.homes(suspect.Fingerprint(m.GetFingerprint()))
	for _, r := range s.routers {
		if r != home && (result.Forward == suspect.ForwardToAll || r == next) {
			s.loop.after(hop, func() { s.learn(r, result.Notice) })
		}
	}
	return result
}

func (s *crashSite) learn(r *crashRouter, m *peerpb.Suspect) {
	if !r.down {
		r.table.ApplyNotice(s.loop.now, m)
	}
}

// answered does what the home said.
func (s *crashSite) answered(r *crashRun, reply *peerpb.SuspectReply) {
	wait := time.Duration(reply.GetWaitMs()) * time.Millisecond
	switch {
	case suspect.Verdict(reply.GetVerdict()) == suspect.Blocked:
		r.done(runRefused)
		return
	case wait > 0:
		s.retry(r, wait)
		return
	}
	if name := reply.GetEndpoint(); name != "" {
		r.end = s.ends[slices.IndexFunc(s.ends, func(e *crashEnd) bool { return e.name == name })]
	}
	r.alone = suspect.Verdict(reply.GetVerdict()) == suspect.Suspected
	if !r.end.up {
		s.tell(r, &peerpb.Suspect{Fingerprint: uint64(r.f), Endpoint: r.end.name, Withdrawn: true})
		s.retry(r, hop)
		return
	}
	s.loop.after(hop, func() { s.start(r) })
}

// tell sends a message to the home, and a crash also to the next one.
func (s *crashSite) tell(r *crashRun, m *peerpb.Suspect) {
	if !s.guard.table {
		return
	}
	if m.GetCrashed() {
		r.router.table.ApplyNotice(s.loop.now, m)
	}
	home, next := s.homes(r.f)
	if home == r.router {
		s.handle(home, m)
	} else if !home.down {
		s.loop.after(hop, func() { s.handle(home, m) })
	}
	if s.guard.standby && m.GetCrashed() && next != r.router {
		s.loop.after(hop, func() { s.learn(next, m) })
	}
}

// start runs r at its endpoint, or lets it wait until it can run alone.
func (s *crashSite) start(r *crashRun) {
	e := r.end
	switch {
	case !e.up:
		s.abandon(r)
	case r.alone && len(e.runs) > 0, e.alone, len(e.waiting) > 0 && !r.alone:
		e.waiting = append(e.waiting, r)
	default:
		s.place(r)
	}
}

// abandon gives up a run that was not dispatched.
func (s *crashSite) abandon(r *crashRun) {
	s.tell(r, &peerpb.Suspect{Fingerprint: uint64(r.f), Endpoint: r.end.name, Withdrawn: true})
	s.retry(r, hop)
}

func (s *crashSite) place(r *crashRun) {
	e := r.end
	r.boot = e.boot
	e.runs[r.id] = r
	e.order = append(e.order, r.id)
	e.alone = r.alone
	r.router.running.Start(r.id, r.f, e.name, e.boot, r.alone)
	length := time.Second + time.Duration(s.rng.IntN(3000))*time.Millisecond
	if r.poison {
		length = time.Duration(20+s.rng.IntN(2000)) * time.Millisecond
	}
	boot := e.boot
	s.loop.after(length, func() {
		if e.boot != boot || e.runs[r.id] == nil {
			return // it was lost
		}
		if r.poison {
			s.crash(e)
			return
		}
		s.finish(r)
	})
}

func (s *crashSite) finish(r *crashRun) {
	r.end.remove(r.id)
	if m := r.router.running.End(r.id, r.end.name, true); m != nil {
		s.tell(r, m)
	}
	r.done(runServed)
	s.next(r.end)
}

func (e *crashEnd) remove(id uint64) {
	delete(e.runs, id)
	e.order = slices.DeleteFunc(e.order, func(x uint64) bool { return x == id })
	if len(e.runs) == 0 {
		e.alone = false
	}
}

// next starts what waits at e.
func (s *crashSite) next(e *crashEnd) {
	waiting := e.waiting
	e.waiting = nil
	for _, r := range waiting {
		s.start(r)
	}
}

// crash loses e with all that it runs. Each router tells of its own requests.
func (s *crashSite) crash(e *crashEnd) {
	s.lost++
	e.up = false
	lost := e.runs
	order := e.order
	waiting := e.waiting
	e.runs, e.order, e.waiting, e.alone = make(map[uint64]*crashRun), nil, nil, false
	for _, id := range order {
		r := lost[id]
		for _, m := range r.router.running.EndpointLost(e.name, r.boot) {
			s.tell(&crashRun{f: suspect.Fingerprint(m.GetFingerprint()), router: r.router}, m)
		}
		s.loop.after(hop, func() { r.done(runCrashed) })
	}
	for _, r := range waiting {
		s.abandon(r)
	}
	s.loop.after(restartTime, func() {
		e.boot++
		e.up = true
	})
}
