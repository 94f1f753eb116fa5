package router

import (
	"context"
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/process/origins"
	"github.com/stoatmount/stoatmount/process/peers"
)

const (
	// freshProcessTime is how long after its start a process reads the saved streams before it
	// asks the others, which may have started as well.
	freshProcessTime = 30 * time.Second
	// maxReadBeforeAsking bounds the wait for such a read.
	maxReadBeforeAsking = 250 * time.Millisecond
	// maxReadWait bounds the wait for reads before a stream is refused: as long as the refusal
	// would send the caller away.
	maxReadWait = time.Second
	// sharedReadInterval is the pause between reads, and the age up to which requests share what one found.
	sharedReadInterval = 200 * time.Millisecond
)

// storeRead is a read of the store that requests share.
type storeRead struct {
	mu        sync.Mutex    // guards the fields below; leaf
	attempted time.Time     // start of the last attempt
	succeeded time.Time     // start of the last attempt that succeeded
	done      chan struct{} // closed at the end of the attempt in progress; nil if there is none
}

// Find implements forward.Origins. It asks the other routers about a stream that this one
// does not know, and reads the saved ones if not all answer.
func (s *streamOrigins) Find(ctx context.Context, k origins.Key, services []string) (origins.Origin, bool) {
	r, asked := s.r, time.Now()
	own := r.answer(asked, k, services)
	// What the others have seen may have been restored as well, without a version of before.
	if own.Origin == nil && (len(own.Seen) > 1 || !own.Complete) && time.Since(r.startedAt) < freshProcessTime {
		wait, cancel := context.WithTimeout(ctx, maxReadBeforeAsking)
		if s.await(wait, asked.Add(-sharedReadInterval), &s.log, s.loadBegun) {
			own = r.answer(time.Now(), k, services)
		}
		cancel()
	}
	if own.Origin != nil {
		return *own.Origin, true
	}
	var others []origins.Answer
	if r.exchange != nil {
		others = r.exchange.Ask(ctx, peers.OriginQuery{Stream: k, Services: services})
	}
	for _, a := range others {
		if a.Origin != nil {
			return *a.Origin, true
		}
	}
	allAnswered := len(others) >= r.members()-1
	if o, sole := origins.Combine(append(others, own)); sole && allAnswered {
		return o, true
	}
	// A router that does not answer, or an earlier process of one that does, may have begun
	// it, at a version that none of these has seen. Only reads from now on show that it did not.
	wait, cancel := context.WithTimeout(ctx, readWait(ctx))
	defer cancel()
	if !s.await(wait, asked, &s.log, s.loadBegun) {
		return origins.Origin{}, false
	}
	own = r.answer(time.Now(), k, services)
	if _, sole := origins.Combine(append(others, own)); sole && own.Origin == nil && !allAnswered {
		if !s.await(wait, asked, &s.registry, s.loadVersions) {
			return origins.Origin{}, false
		}
		own = r.answer(time.Now(), k, services)
	}
	all := append(others, own)
	if o, sole := origins.Combine(all); sole {
		return o, true
	}
	return origins.CombineBefore(all)
}

// readWait returns how long to wait for reads, which leaves the endpoint at least half of the
// caller's time.
func readWait(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxReadWait
	}
	return min(maxReadWait, time.Until(deadline)/2)
}

// await waits until a read has succeeded that began at notBefore or later. It gives up when ctx ends or
// a read that began since the call has failed; a read goes on without the requests that wait for it.
func (s *streamOrigins) await(ctx context.Context, notBefore time.Time, state *storeRead, read func(context.Context) error) bool {
	for called := time.Now(); ; {
		state.mu.Lock()
		if !state.succeeded.Before(notBefore) {
			state.mu.Unlock()
			return true
		}
		inProgress := state.done
		pause := time.Until(state.attempted.Add(sharedReadInterval))
		if inProgress == nil {
			if !state.attempted.Before(called) || ctx.Err() != nil {
				state.mu.Unlock()
				return false
			}
			if pause <= 0 {
				inProgress = s.begin(state, read)
			}
		}
		state.mu.Unlock()
		if inProgress == nil {
			sleep(ctx, pause)
			continue
		}
		select {
		case <-inProgress:
		case <-ctx.Done():
			return false
		}
	}
}

// begin starts an attempt and returns the channel that is closed at its end. The caller holds state.mu.
func (s *streamOrigins) begin(state *storeRead, read func(context.Context) error) chan struct{} {
	began, done := time.Now(), make(chan struct{})
	state.attempted, state.done = began, done
	go func() {
		ctx, cancel := context.WithTimeout(s.r.ctx, storeTimeout)
		defer cancel()
		err := read(ctx)
		if err != nil {
			s.r.log.Info("loading begun streams failed", "error", err.Error(), "after_ms", time.Since(began).Milliseconds())
		}
		state.mu.Lock()
		defer state.mu.Unlock()
		if err == nil {
			state.succeeded = began
		}
		state.done = nil
		close(done)
	}()
	return done
}

// readFromStart makes the next read begin at the oldest saved stream, as the log came back
// from an older copy, in which offsets were given out again.
func (s *streamOrigins) readFromStart() {
	s.nextMu.Lock()
	defer s.nextMu.Unlock()
	s.next = 0
}

func (s *streamOrigins) loadBegun(ctx context.Context) error {
	s.nextMu.Lock()
	defer s.nextMu.Unlock()
	list, next, err := s.r.adapter.LoadBegun(ctx, s.next)
	if err != nil {
		return err
	}
	s.next = next
	s.r.origins.MergeSaved(time.Now(), list)
	s.r.origins.ConfirmRestored()
	return nil
}

// loadVersions observes the versions of all entries in the registry, which this router may
// not have read yet.
func (s *streamOrigins) loadVersions(ctx context.Context) error {
	page, err := s.r.adapter.Topic(Endpoints).Newest(ctx)
	if err != nil {
		return err
	}
	var present []origins.Origin
	for _, record := range page.Records {
		// An entry that cannot be decoded names no endpoint; the follower logs it.
		if c, err := s.r.adapter.DecodeEndpoint(record); err == nil && c.Entry != nil {
			present = append(present, origins.Origin{Service: c.Entry.Service, Version: c.Entry.Version})
		}
	}
	s.r.origins.Observe(time.Now(), present)
	return nil
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
