package router

import (
	"context"
	"sort"
	"time"

	"github.com/stoatmount/stoatmount/process/feed"
	"github.com/stoatmount/stoatmount/process/peers"
	"github.com/stoatmount/stoatmount/process/upstream"
	"github.com/stoatmount/stoatmount/version/routing"
)

const (
	// sentinelWait is the longest that a read waits at the store where the settings
	// name no contact time. A silent store, or a connection to it that went silent
	// for good, is noticed within this and storeTimeout; bounds hold again a contact
	// time after the end of such trouble.
	sentinelWait  = 2200 * time.Millisecond
	leastSentinel = 500 * time.Millisecond
	// endpointPause lets entries that change together be read together, where the
	// settings name no time within which a leaving endpoint must get no new
	// requests; else drainShare of that.
	endpointPause = 900 * time.Millisecond
	drainShare    = 0.45
	// darkPause replaces it while a service has no endpoint left: each entry counts.
	darkPause = 100 * time.Millisecond
	// storeTimeout ends a call to the store.
	storeTimeout = time.Second
	// registerPause is the pause between tries to write the own record.
	registerPause = 500 * time.Millisecond
	// storeReaders is how many routers read the store for all. The second one
	// covers the time until the loss of the first is noticed.
	storeReaders = 2
	// followed is the number of topics that are followed; the routers' own is
	// read once, as routers then hear of one another by beats.
	followed = 2
)

func (r *Router) prepareFollowers() {
	link := feed.NewReachability()
	follower := func(t Topic, cfg feed.Config, apply func(feed.Batch)) {
		cfg.Timeout, cfg.IsReader = storeTimeout, r.readsStore
		cfg.Publish = func(b feed.Batch) { r.relay(t, b) }
		r.followers[t] = feed.New(cfg, link, r.adapter.Topic(t), r.log, apply)
	}
	follower(Operators, feed.Config{Name: "operators", LongPoll: r.sentinelWait, ProbesReachability: true}, r.applyOperators)
	follower(Endpoints, feed.Config{Name: "endpoints", LongPoll: r.sentinelWait, MinInterval: r.endpointPause}, r.applyEndpoints)
}

func (r *Router) sentinelWait() time.Duration { return r.bounds.Load().sentinelWait() }

func (r *Router) endpointPause() time.Duration {
	if r.endpoints.ServiceDown(time.Now()) {
		return darkPause
	}
	return r.bounds.Load().endpointPause()
}

// sentinelWait returns how long a read of the operators' records waits.
func (b *Bounds) sentinelWait() time.Duration {
	if b.Contact <= 0 {
		return sentinelWait
	}
	return max(leastSentinel, min(sentinelWait, b.Contact-storeTimeout))
}

// endpointPause returns the pause between reads of the endpoints' entries.
func (b *Bounds) endpointPause() time.Duration {
	if b.Drain <= 0 {
		return endpointPause
	}
	return min(endpointPause, time.Duration(drainShare*float64(b.Drain)))
}

// follow starts to follow the topics of the store.
func (r *Router) follow(ctx context.Context) {
	for _, f := range r.followers {
		r.group.Go(func() { f.Run(ctx) })
	}
	r.group.Go(func() { r.meet(ctx) })
	r.group.Go(func() { r.keepPlacements(ctx) })
}

// readsStore reports whether this router reads the store for the others.
func (r *Router) readsStore() bool {
	return r.exchange == nil || r.peers.ReadyBefore(time.Now()) < storeReaders
}

// relay offers the others what this router read.
func (r *Router) relay(t Topic, b feed.Batch) {
	if r.exchange != nil && r.readsStore() {
		r.exchange.Relay(peers.Relay{Topic: int(t), Batch: b})
	}
}

// takeRelay takes what another router read.
func (r *Router) takeRelay(_ time.Time, m peers.Relay) {
	if m.Topic >= 0 && m.Topic < len(r.followers) {
		r.followers[m.Topic].Offer(m.Batch)
	}
}

// meet writes this router's record and then reads those of the others, in this
// order, so that of two routers that start together one finds the other.
func (r *Router) meet(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.writeRecord(ctx, &peers.Registration{Name: r.s.Name, Addr: r.s.Peer})
		if err == nil {
			err = r.readRouters(ctx)
		}
		if err == nil {
			return
		}
		r.log.Info("own record not written or the others' not read", "error", err.Error())
		select {
		case <-ctx.Done():
		case <-time.After(registerPause):
		}
	}
}

func (r *Router) readRouters(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	records, _, err := r.adapter.Topic(Routers).Newest(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	for _, record := range records {
		reg, there, err := r.adapter.DecodeRouter(record)
		switch {
		case err != nil:
			r.log.Info("router's record left out", "key", record.Key, "offset", record.Offset, "error", err.Error())
		case there:
			r.peers.Register(now, reg)
		}
	}
	r.heard(now)
	if r.exchange != nil {
		r.exchange.SendNow()
	}
	return nil
}

func (r *Router) writeRecord(ctx context.Context, reg *peers.Registration) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return r.adapter.Register(ctx, r.s.Name, reg)
}

func (r *Router) applyOperators(b feed.Batch) {
	r.zonesMu.Lock()
	defer r.zonesMu.Unlock()
	for _, record := range b.Records {
		change, err := r.adapter.DecodeOperator(record)
		if err != nil {
			r.log.Info("operators' record left out", "key", record.Key, "offset", record.Offset, "error", err.Error())
			continue
		}
		if change.Table != nil {
			r.adopt(change.Table, record.Offset)
			continue
		}
		if r.zones[change.Zone] != change.Out {
			r.log.Info("zone changed", "zone", change.Zone, "out", change.Out, "offset", record.Offset)
		}
		if change.Out {
			r.zones[change.Zone] = true
		} else {
			delete(r.zones, change.Zone)
		}
	}
	out := make([]string, 0, len(r.zones))
	for z := range r.zones {
		out = append(out, z)
	}
	sort.Strings(out)
	r.endpoints.SetZonesOut(out)
}

// adopt puts a configuration in force unless it is older than the one in force.
func (r *Router) adopt(t *routing.Table, offset int64) {
	old := r.table.Load()
	if old != nil && t.Version <= old.Version {
		r.log.Info("configuration left out", "version", t.Version, "in_force", old.Version, "offset", offset)
		return
	}
	rates := make(map[string]float64)
	t.EachService(func(s *routing.Service) {
		if s.ColdRate > 0 {
			rates[s.Name] = s.ColdRate
		}
	})
	r.endpoints.SetColdRates(rates)
	r.table.Store(t)
	r.log.Info("configuration in force", "version", t.Version, "routes", t.Routes, "offset", offset)
}

func (r *Router) applyEndpoints(b feed.Batch) {
	changes := make([]upstream.Change, 0, len(b.Records))
	for _, record := range b.Records {
		c, err := r.adapter.DecodeEndpoint(record)
		if err != nil {
			// The record may have replaced an entry: that endpoint is no longer named.
			r.log.Info("endpoint's record left out", "key", record.Key, "offset", record.Offset, "error", err.Error())
			c = upstream.Change{ID: record.Key}
		}
		changes = append(changes, c)
	}
	for _, note := range r.endpoints.Apply(time.Now(), changes, b.Gap) {
		r.log.Info("endpoint "+note.Action, "endpoint", note.ID, "service", note.Service, "zone", note.Zone,
			"cold_ms", note.ColdFor.Milliseconds(), "after_gap", b.Gap)
	}
	r.endpointsRead.Store(true)
}
