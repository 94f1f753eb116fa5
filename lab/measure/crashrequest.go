package measure

import (
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/suspect"
)

// send sends a request to a random router that is up.
func (s *crashSimulation) send(r *crashRequest) {
	for r.router == nil || r.router.down {
		r.router = s.routers[s.rng.IntN(len(s.routers))]
	}
	s.lastID++
	r.id = s.lastID
	r.endpoint = s.pick()
	if r.endpoint == nil {
		s.retry(r, time.Second)
		return
	}
	if !s.protection.table {
		s.startOrQueue(r)
		return
	}
	s.askHome(r)
}

func (s *crashSimulation) retry(r *crashRequest, after time.Duration) {
	s.loop.after(after, func() { s.send(r) })
}

// pick returns a random endpoint that is up and not reserved for one request.
func (s *crashSimulation) pick() *crashEndpoint {
	var up []*crashEndpoint
	for _, e := range s.endpoints {
		if e.up && !e.reserved && len(e.waiting) == 0 {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[s.rng.IntN(len(up))]
}

// askHome queries the home of the fingerprint, or the standby if the home does not reply.
func (s *crashSimulation) askHome(r *crashRequest) {
	verdict := r.router.table.Verdict(s.loop.now, r.fingerprint)
	if verdict == suspect.Blocked {
		r.done(runRefused)
		return
	}
	home, standby := s.homes(r.fingerprint)
	message := r.suspectQuery()
	if !home.down {
		s.loop.after(hopDelay, func() { s.handleReply(r, s.handleAtHome(home, message).Reply) })
		return
	}
	s.loop.after(homeTimeout, func() {
		switch {
		case s.protection.standby && standby != nil && !standby.down:
			s.handleReply(r, standby.table.HandleAsStandby(s.loop.now, message).Reply)
		case verdict == suspect.None:
			s.startOrQueue(r)
		default:
			s.retry(r, homeTimeout)
		}
	})
}

// handleAtHome handles a message at the home of its fingerprint and forwards the
// notice that results.
func (s *crashSimulation) handleAtHome(home *crashRouter, m *peerpb.Suspect) suspect.Result {
	result := home.table.Handle(s.loop.now, m)
	if result.Notice == nil {
		return result
	}
	_, standby := s.homes(suspect.Fingerprint(m.GetFingerprint()))
	for _, r := range s.routers {
		if r != home && (result.Forward == suspect.ForwardToAll || r == standby) {
			s.loop.after(hopDelay, func() { s.applyNotice(r, result.Notice) })
		}
	}
	return result
}

func (s *crashSimulation) applyNotice(r *crashRouter, m *peerpb.Suspect) {
	if !r.down {
		r.table.ApplyNotice(s.loop.now, m)
	}
}

// handleReply applies the verdict of the home.
func (s *crashSimulation) handleReply(r *crashRequest, reply *peerpb.SuspectReply) {
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
		r.endpoint = s.endpoints[slices.IndexFunc(s.endpoints, func(e *crashEndpoint) bool { return e.name == name })]
	}
	r.mustRunAlone = suspect.Verdict(reply.GetVerdict()) == suspect.Suspected
	if !r.endpoint.up {
		s.notifyHome(r, &peerpb.Suspect{Fingerprint: uint64(r.fingerprint), Endpoint: r.endpoint.name, Withdrawn: true})
		s.retry(r, hopDelay)
		return
	}
	s.loop.after(hopDelay, func() { s.startOrQueue(r) })
}

// notifyHome sends a message to the home, and a crash also to the standby.
func (s *crashSimulation) notifyHome(r *crashRequest, m *peerpb.Suspect) {
	if !s.protection.table {
		return
	}
	if m.GetCrashed() {
		r.router.table.ApplyNotice(s.loop.now, m)
	}
	home, standby := s.homes(r.fingerprint)
	if home == r.router {
		s.handleAtHome(home, m)
	} else if !home.down {
		s.loop.after(hopDelay, func() { s.handleAtHome(home, m) })
	}
	if s.protection.standby && m.GetCrashed() && standby != r.router {
		s.loop.after(hopDelay, func() { s.applyNotice(standby, m) })
	}
}

// startOrQueue dispatches r to its endpoint, or queues it there: while the endpoint is
// reserved, while others run (if r must run alone) or while others wait (if not).
func (s *crashSimulation) startOrQueue(r *crashRequest) {
	e := r.endpoint
	switch {
	case !e.up:
		s.abandon(r)
	case r.mustRunAlone && len(e.running) > 0, e.reserved, len(e.waiting) > 0 && !r.mustRunAlone:
		e.waiting = append(e.waiting, r)
	default:
		s.dispatch(r)
	}
}

// abandon withdraws a request that was not dispatched, and retries it.
func (s *crashSimulation) abandon(r *crashRequest) {
	s.notifyHome(r, &peerpb.Suspect{Fingerprint: uint64(r.fingerprint), Endpoint: r.endpoint.name, Withdrawn: true})
	s.retry(r, hopDelay)
}

func (s *crashSimulation) dispatch(r *crashRequest) {
	e := r.endpoint
	r.incarnation = e.incarnation
	e.running[r.id] = r
	e.order = append(e.order, r.id)
	e.reserved = r.mustRunAlone
	r.router.running.Start(r.id, r.fingerprint, e.name, e.incarnation, r.mustRunAlone)
	length := time.Second + time.Duration(s.rng.IntN(3000))*time.Millisecond
	if r.poison {
		length = time.Duration(20+s.rng.IntN(2000)) * time.Millisecond
	}
	incarnation := e.incarnation
	s.loop.after(length, func() {
		if e.incarnation != incarnation || e.running[r.id] == nil {
			return // lost in a crash
		}
		if r.poison {
			s.crash(e)
			return
		}
		s.finish(r)
	})
}

func (s *crashSimulation) finish(r *crashRequest) {
	r.endpoint.remove(r.id)
	if m := r.router.running.End(r.id, r.endpoint.name, true); m != nil {
		s.notifyHome(r, m)
	}
	r.done(runServed)
	s.startWaiting(r.endpoint)
}

func (e *crashEndpoint) remove(id uint64) {
	delete(e.running, id)
	e.order = slices.DeleteFunc(e.order, func(x uint64) bool { return x == id })
	if len(e.running) == 0 {
		e.reserved = false
	}
}

// startWaiting starts the requests that wait at e.
func (s *crashSimulation) startWaiting(e *crashEndpoint) {
	waiting := e.waiting
	e.waiting = nil
	for _, r := range waiting {
		s.startOrQueue(r)
	}
}

// crash stops e with all of its requests. Each router reports its own.
func (s *crashSimulation) crash(e *crashEndpoint) {
	s.lostEndpoints++
	e.up = false
	lost := e.running
	order := e.order
	waiting := e.waiting
	e.running, e.order, e.waiting, e.reserved = make(map[uint64]*crashRequest), nil, nil, false
	for _, id := range order {
		r := lost[id]
		for _, m := range r.router.running.EndpointLost(e.name, r.incarnation) {
			s.notifyHome(&crashRequest{fingerprint: suspect.Fingerprint(m.GetFingerprint()), router: r.router}, m)
		}
		s.loop.after(hopDelay, func() { r.done(runCrashed) })
	}
	for _, r := range waiting {
		s.abandon(r)
	}
	s.loop.after(restartTime, func() {
		e.incarnation++
		e.up = true
	})
}
