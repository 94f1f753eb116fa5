package router

import (
	"context"
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

// growingStore is a store in which a router that does not answer saves streams and versions appear.
type growingStore struct {
	Adapter
	feed.Source
	begun   []origins.Begun
	present []feed.Record
}

func (s *growingStore) LoadBegun(_ context.Context, from int64) ([]origins.Begun, int64, error) {
	return s.begun[from:], int64(len(s.begun)), nil
}

func (s *growingStore) Topic(Topic) feed.Source { return s }

func (s *growingStore) Newest(context.Context) (feed.Page, error) {
	return feed.Page{Records: s.present}, nil
}

func (s *growingStore) DecodeEndpoint(r feed.Record) (upstream.Change, error) {
	return upstream.Change{ID: r.Key, Entry: &upstream.Entry{ID: r.Key, Service: "llm", Version: string(r.Value)}}, nil
}

// Guards against a stream that goes on at another version because a read from before its begin was shared.
func TestStreamBegunAfterSharedReadKeepsItsVersion(t *testing.T) {
	v1, v2 := origins.Origin{Service: "llm", Version: "v1"}, origins.Origin{Service: "llm", Version: "v2"}
	for name, restored := range map[string]bool{"the only version so far": false, "the only version before a loss": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				now := time.Now()
				ctx, stop := context.WithCancel(t.Context())
				store := &growingStore{present: []feed.Record{{Key: "i-1", Value: []byte(v1.Version)}}}
				r := &Router{s: Settings{Name: "front-0"}, adapter: store, log: logr.Discard(), ctx: ctx, startedAt: now.Add(-time.Minute),
					peers: peers.New("front-0", time.Second), origins: origins.New(now), endpoints: upstream.New(upstream.Config{}, rand.Float64)}
				r.peers.Register(now, peers.Registration{Name: "front-1"}) // does not answer
				if restored {
					r.origins.Restore(now, origins.History{SavedAtMS: now.UnixMilli(), CompleteMS: time.Minute.Milliseconds(), Seen: []origins.Age{{Origin: v1}}})
					r.origins.Observe(now, []origins.Origin{v1, v2})
				} else {
					r.origins.SetFirst(now)
					r.origins.Observe(now, []origins.Origin{v1})
				}
				streams := newStreamOrigins(r)
				find := func(id string) origins.Origin {
					ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
					defer cancel()
					got, found := streams.Find(ctx, origins.KeyOf(id), []string{"llm"})
					c.Assert(found, qt.IsTrue, qt.Commentf("%s", id))
					return got
				}
				c.Assert(find("begun at v1"), qt.Equals, v1)
				time.Sleep(50 * time.Millisecond)
				store.present = append(store.present, feed.Record{Key: "i-2", Value: []byte(v2.Version)})
				store.begun = append(store.begun, origins.Begun{Origin: v2, Streams: []origins.Key{origins.KeyOf("begun at v2")}})
				time.Sleep(50 * time.Millisecond)
				c.Assert(find("begun at v2"), qt.Equals, v2)
				stop()
				r.group.Wait()
			})
		})
	}
}
