package router

import (
	"context"
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/process/origins"
	"github.com/stoatmount/stoatmount/process/peers"
)

const (
	// saveBegunInterval is the pause between writes of the streams that this router
	// began, while others may not hear of them.
	saveBegunInterval = 500 * time.Millisecond
	// lostRouterTime is how long a router counts as partitioned that is not heard of.
	lostRouterTime = 2 * time.Minute
	// loadBegunInterval is the pause between reads of the streams that other routers began.
	loadBegunInterval = 200 * time.Millisecond
	// loadBegunTimeout bounds such a read, for which a request waits.
	loadBegunTimeout = 250 * time.Millisecond
)

// streamOrigins implements forward.Origins.
type streamOrigins struct {
	r *Router

	loadMu   sync.Mutex // held during a read of the store, so that requests share it
	loadedAt time.Time
}

// Begin implements forward.Origins.
func (s *streamOrigins) Begin(now time.Time, k origins.Key, o origins.Origin) {
	s.r.origins.Begin(now, k, o)
}

// Find implements forward.Origins. It asks the other routers about a stream that this one
// does not know, and reads what those that do not answer saved in the store.
func (s *streamOrigins) Find(ctx context.Context, k origins.Key, services []string) (origins.Origin, bool) {
	r := s.r
	own := r.answer(time.Now(), k, services)
	if own.Origin != nil {
		return *own.Origin, true
	}
	var others []origins.Answer
	if r.exchange != nil {
		others = r.exchange.Ask(ctx, peers.OriginQuery{Stream: k, Services: services})
	}
	if o, ok := origins.Combine(append(others, own)); ok && len(others) > 0 || r.members() == 1 {
		return o, ok
	}
	// A router that does not answer may have begun it, at a version that is not known here.
	s.load(ctx)
	if own = r.answer(time.Now(), k, services); own.Origin != nil {
		return *own.Origin, true
	}
	return origins.Origin{}, false
}

// load reads the streams that the other routers saved.
func (s *streamOrigins) load(ctx context.Context) {
	s.loadMu.Lock()
	defer s.loadMu.Unlock()
	if time.Since(s.loadedAt) < loadBegunInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loadBegunTimeout)
	defer cancel()
	list, err := s.r.adapter.LoadBegun(ctx)
	s.loadedAt = time.Now()
	if err != nil {
		s.r.log.Info("loading begun streams failed", "error", err.Error())
		return
	}
	s.r.origins.Merge(s.loadedAt, list)
}

// saveBegun saves the streams that this router began while a service has several
// versions and another router may be partitioned from this one.
func (r *Router) saveBegun(ctx context.Context) {
	every(ctx, saveBegunInterval, func(now time.Time) {
		if r.exchange != nil && r.peers.CountLost(now, lostRouterTime) == 0 {
			return
		}
		list := r.origins.OwnBegun(now)
		if len(list) == 0 {
			return
		}
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		if err := r.adapter.SaveBegun(call, r.s.Name, list); err != nil {
			r.log.Info("saving begun streams failed", "error", err.Error())
		}
		cancel()
	})
}

// answer returns what this router knows of a stream.
func (r *Router) answer(now time.Time, k origins.Key, services []string) origins.Answer {
	r.origins.Observe(now, r.endpoints.Versions())
	a := r.origins.Answer(now, k, services)
	a.Router = r.s.Name
	return a
}

func (r *Router) onQuery(now time.Time, q peers.OriginQuery) origins.Answer {
	return r.answer(now, q.Stream, q.Services)
}
