package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/stoatmount/stoatmount/process/feed"
	"github.com/stoatmount/stoatmount/process/origins"
	"github.com/stoatmount/stoatmount/process/peers"
	"github.com/stoatmount/stoatmount/process/upstream"
)

// slowStore is a store whose reads take a time. It has no begun streams and an empty registry.
type slowStore struct {
	Adapter
	feed.Source
	log, registry time.Duration
	failures      int // of the next reads of the log
}

func (s *slowStore) LoadBegun(ctx context.Context, from int64) ([]origins.Begun, int64, error) {
	sleep(ctx, s.log)
	if s.failures--; s.failures >= 0 {
		return nil, 0, errors.New("busy")
	}
	return nil, from, ctx.Err()
}

func (s *slowStore) Topic(Topic) feed.Source { return s }

func (s *slowStore) Newest(ctx context.Context) (feed.Page, error) {
	sleep(ctx, s.registry)
	return feed.Page{}, ctx.Err()
}

// Guards against a stream that is refused though the store confirms its version while the caller waits.
func TestLateReadRefusesNoStream(t *testing.T) {
	const deadline = 5 * time.Second
	for name, play := range map[string]struct {
		store  slowStore
		fresh  bool          // the process started now, and has restored what was seen
		before time.Duration // time left of another request, 50 ms earlier; 0 if there is none
		left   time.Duration // time left of the request
		found  bool
		within time.Duration
	}{
		"registry read outlasts the age of the log": {slowStore{registry: 240 * time.Millisecond}, false, 0, deadline, true, 300 * time.Millisecond},
		"log read late": {slowStore{log: 400 * time.Millisecond, registry: 100 * time.Millisecond}, false, 0, deadline, true, 600 * time.Millisecond},
		"caller that the read began for has left":               {slowStore{log: 60 * time.Millisecond}, false, 20 * time.Millisecond, deadline, true, 300 * time.Millisecond},
		"read failed for a request before":                      {slowStore{failures: 1}, false, deadline, deadline, true, 300 * time.Millisecond},
		"store silent":                                          {slowStore{log: time.Hour}, false, 0, deadline, false, 1100 * time.Millisecond},
		"store silent, little time left":                        {slowStore{log: time.Hour}, false, 0, 400 * time.Millisecond, false, 300 * time.Millisecond},
		"late log read shows the only version":                  {slowStore{log: 300 * time.Millisecond}, true, 0, deadline, true, 400 * time.Millisecond},
		"late log read shows the only version, registry silent": {slowStore{log: 300 * time.Millisecond, registry: time.Hour}, true, 0, deadline, false, 1400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				now := time.Now()
				ctx, stop := context.WithCancel(t.Context())
				r := &Router{s: Settings{Name: "front-0"}, adapter: &play.store, log: logr.Discard(), ctx: ctx, startedAt: now.Add(-time.Hour),
					peers: peers.New("front-0", time.Second), origins: origins.New(now), endpoints: upstream.New(upstream.Config{}, rand.Float64)}
				r.peers.Register(now, peers.Registration{Name: "front-1"}) // does not answer
				v1 := origins.Origin{Service: "llm", Version: "v1"}
				if play.fresh {
					r.startedAt = now
					r.origins.Restore(now, origins.History{SavedAtMS: now.UnixMilli(), CompleteMS: time.Minute.Milliseconds(), Seen: []origins.Age{{Origin: v1}}})
				} else {
					r.origins.SetFirst(now)
					r.origins.Observe(now, []origins.Origin{v1})
				}
				streams := newStreamOrigins(r)
				find := func(left time.Duration) (origins.Origin, bool) {
					ctx, cancel := context.WithTimeout(ctx, left)
					defer cancel()
					return streams.Find(ctx, origins.KeyOf("begun elsewhere"), []string{v1.Service})
				}
				if play.before > 0 {
					go find(play.before)
					time.Sleep(50 * time.Millisecond)
				}
				asked := time.Now()
				got, found := find(play.left)
				c.Assert(time.Since(asked) <= play.within, qt.IsTrue, qt.Commentf("%v", time.Since(asked)))
				c.Assert(found, qt.Equals, play.found)
				if found {
					c.Assert(got, qt.Equals, v1)
				}
				stop()
				r.group.Wait()
			})
		})
	}
}
