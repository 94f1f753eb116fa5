package router

import (
	"context"
	"time"

	"github.com/stoatmount/stoatmount/process/origins"
	"github.com/stoatmount/stoatmount/process/peers"
)

// streamOrigins implements forward.Origins.
type streamOrigins struct{ r *Router }

// Begin implements forward.Origins.
func (s streamOrigins) Begin(now time.Time, k origins.Key, o origins.Origin) {
	s.r.origins.Begin(now, k, o)
}

// Find implements forward.Origins. It asks the other routers about a stream that this one
// does not know.
func (s streamOrigins) Find(ctx context.Context, k origins.Key, services []string) (origins.Origin, bool) {
	r := s.r
	own := r.answer(time.Now(), k, services)
	if own.Origin != nil {
		return *own.Origin, true
	}
	var others []origins.Answer
	if r.exchange != nil {
		others = r.exchange.Ask(ctx, peers.OriginQuery{Stream: k, Services: services})
	}
	if len(others) == 0 && r.members() > 1 {
		return origins.Origin{}, false // another router may have begun it, at a version that is not known here
	}
	return origins.Combine(append(others, own))
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
