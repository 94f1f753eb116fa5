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
	// maxStoreLongPoll bounds a long poll at the store, which is shorter if the contact
	// time requires it. An unresponsive store, or an unresponsive connection to it, is
	// detected within the long poll plus longPollTimeout; bounds hold again one contact
	// time after the end of the failure.
	maxStoreLongPoll = 2200 * time.Millisecond
	minStoreLongPoll = 500 * time.Millisecond
	// maxEndpointReadInterval is the maximum interval between reads of the endpoints'
	// entries, so that those changed together are read together. If drainFraction of the
	// time until a draining endpoint must get no new requests is shorter, that applies.
	maxEndpointReadInterval = 900 * time.Millisecond
	drainFraction           = 0.45
	// serviceDownInterval is the interval while a service has no endpoint, so that each
	// new entry is used soon.
	serviceDownInterval = 100 * time.Millisecond
	// storeTimeout bounds a call to the store, and longPollTimeout the response to a long poll
	// after its end.
	storeTimeout    = time.Second
	longPollTimeout = 600 * time.Millisecond
	// ownReadTime is how long routers take to read the store after one tells them that it
	// no longer reaches it.
	ownReadTime = 200 * time.Millisecond
	// rewindGrace is how long a zone stays out of service whose mark is missing in an older
	// copy of the store; operators write again what was lost.
	rewindGrace = 5 * time.Second
	// removalReportTime is how long a router tells of removals that it confirmed and then no longer reads.
	removalReportTime = 2 * time.Second
	// callerAttempts is how many attempts of a caller one stream may take, each bounded
	// by the timeout of its route.
	callerAttempts = 2
	// registerRetryInterval is the pause between attempts to write the own record.
	registerRetryInterval = 500 * time.Millisecond
	// storeReaders is the number of routers that read the store for all. The second one
	// covers the time until the loss of the first is detected.
	storeReaders = 2
	// firstHeartbeatsTime is how long a started process takes to hear of the others. Until then
	// it cannot know who reads the store, and goes on from what it read at its start.
	firstHeartbeatsTime = 600 * time.Millisecond
	// followedTopics is the number of topics that are followed. The routers' topic is
	// read once, since routers then know one another from heartbeats.
	followedTopics = 2
)

func (r *Router) prepareFollowers() {
	reachability := feed.NewReachability()
	follower := func(t Topic, cfg feed.Config, apply func(feed.Batch)) {
		cfg.Timeout, cfg.IsReader = storeTimeout, r.isStoreReader
		cfg.OnEra, cfg.OnLost, cfg.LongPollTimeout = r.onEra, r.sendNow, longPollTimeout
		cfg.Publish = func(b feed.Batch) { r.publishRelay(t, b) }
		r.followers[t] = feed.New(cfg, reachability, r.adapter.Topic(t), r.log, apply)
	}
	follower(Operators, feed.Config{Name: "operators", LongPoll: r.storeLongPoll, ProbesReachability: true}, r.applyOperators)
	follower(Endpoints, feed.Config{Name: "endpoints", LongPoll: r.storeLongPoll, MinInterval: r.endpointReadInterval, OnConfirmed: r.onRemovalsConfirmed}, r.applyEndpoints)
}

// onRemovalsConfirmed tells the other routers at once that endpoints which they keep after a gap have left.
func (r *Router) onRemovalsConfirmed() {
	r.removalsConfirmedAt.Store(time.Now().UnixNano())
	r.sendNow()
}

// reportsRemovals reports whether the heartbeats of this router tell which entries the store removed.
func (r *Router) reportsRemovals(now time.Time) bool {
	return r.isStoreReader() || now.Sub(time.Unix(0, r.removalsConfirmedAt.Load())) < removalReportTime
}

func (r *Router) storeLongPoll() time.Duration { return r.bounds.Load().storeLongPoll() }

func (r *Router) endpointReadInterval() time.Duration {
	if r.endpoints.ServiceDown(time.Now()) {
		return serviceDownInterval
	}
	return r.bounds.Load().endpointReadInterval()
}

// storeLongPoll returns the long poll of reads of the store. A reader to which the store
// fell silent finds out in time for the others to read a new configuration themselves.
func (b *Bounds) storeLongPoll() time.Duration {
	d := maxStoreLongPoll
	if b.Contact > 0 {
		d = min(d, b.Contact-storeTimeout)
	}
	if b.ConfigApply > 0 {
		d = min(d, b.ConfigApply-longPollTimeout-ownReadTime)
	}
	return max(minStoreLongPoll, d)
}

// endpointReadInterval returns the interval between reads of the endpoints' entries.
func (b *Bounds) endpointReadInterval() time.Duration {
	if b.Drain <= 0 {
		return maxEndpointReadInterval
	}
	return min(maxEndpointReadInterval, time.Duration(drainFraction*float64(b.Drain)))
}

// follow starts to follow the topics of the store.
func (r *Router) follow(ctx context.Context) {
	for _, f := range r.followers {
		r.group.Go(func() { f.Run(ctx) })
	}
	r.group.Go(func() { r.register(ctx) })
	r.group.Go(func() { r.syncHints(ctx) })
	r.group.Go(func() { r.streams.save(ctx) })
	r.group.Go(func() { r.runRollouts(ctx) })
}

// isStoreReader reports whether this router reads the store for the others.
func (r *Router) isStoreReader() bool {
	if r.exchange == nil {
		return true
	}
	now := time.Now()
	return now.Sub(r.startedAt) >= firstHeartbeatsTime && r.peers.CountReadersWithLowerName(now) < storeReaders
}

// publishRelay sends the others what this router read.
func (r *Router) publishRelay(t Topic, b feed.Batch) {
	if r.exchange != nil && r.isStoreReader() {
		r.exchange.Relay(peers.Relay{Topic: int(t), Batch: b})
	}
}

// onRelay handles records that another router read.
func (r *Router) onRelay(_ time.Time, m peers.Relay) {
	if m.Topic >= 0 && m.Topic < len(r.followers) {
		r.followers[m.Topic].Offer(m.Batch)
	}
}

// onStoreLost reads the store at once, as another router no longer does that for this one.
func (r *Router) onStoreLost(now time.Time) {
	for _, f := range r.followers {
		f.ReadNow(now)
	}
}

// onEra writes again what the store lost when it came back from an older copy. Hints
// are written again at their next turn.
func (r *Router) onEra(era int64) {
	if r.era.Swap(era) == era {
		return // the other follower was first
	}
	r.origins.SaveAgain()
	r.streams.wakeSaver()
	r.rollouts.saveAgain()
	r.group.Go(r.streams.readFromStart)
	r.group.Go(func() { r.register(r.ctx) })
}

// register writes this router's record and then reads those of the others, in this
// order, so that of two routers that start together at least one finds the other.
func (r *Router) register(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.writeRecord(ctx, &peers.Registration{Name: r.s.Name, Addr: r.s.Peer})
		if err == nil {
			err = r.readRouters(ctx)
		}
		if err == nil {
			return
		}
		r.log.Info("registering or reading the other routers failed; retrying", "error", err.Error())
		select {
		case <-ctx.Done():
		case <-time.After(registerRetryInterval):
		}
	}
}

func (r *Router) readRouters(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := r.adapter.Topic(Routers).Newest(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	for _, record := range page.Records {
		if r.restoreRollout(now, record) {
			continue
		}
		reg, present, err := r.adapter.DecodeRouter(record)
		switch {
		case err != nil:
			r.log.Info("router's record left out", "key", record.Key, "offset", record.Offset, "error", err.Error())
		case present:
			r.peers.Register(now, reg)
		}
	}
	r.registered.Store(true)
	r.catchUp.foundRouters(now, len(r.peers.Addresses()))
	r.updatePeers(now)
	r.sendNow()
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
		if change.Config != nil {
			r.applyConfig(change.Config, record.Offset)
			continue
		}
		if change.Rollout != nil {
			r.applyRollout(change.Rollout, b.Rewound, record.Offset)
			continue
		}
		r.applyZone(change.Zone, change.Out, b.Rewound, record.Offset)
	}
	r.updateZonesOut()
}

// applyZone takes a zone out of service or puts it back. A zone that is missing in an older copy
// of the store stays out until the operator had time to write that again.
func (r *Router) applyZone(zone string, out, rewound bool, offset int64) {
	if !out && rewound && r.zones[zone] {
		r.zoneHolds[zone] = time.Now().Add(rewindGrace)
		return
	}
	if r.zones[zone] != out {
		r.log.Info("zone changed", "zone", zone, "out", out, "offset", offset)
	}
	delete(r.zoneHolds, zone)
	if out {
		r.zones[zone] = true
	} else {
		delete(r.zones, zone)
	}
}

// expireZoneHolds puts zones back whose mark was lost with the store's records and not
// written again.
func (r *Router) expireZoneHolds(now time.Time) {
	r.zonesMu.Lock()
	defer r.zonesMu.Unlock()
	if len(r.zoneHolds) == 0 {
		return
	}
	for zone, until := range r.zoneHolds {
		if !now.Before(until) {
			delete(r.zoneHolds, zone)
			delete(r.zones, zone)
			r.log.Info("zone changed", "zone", zone, "out", false, "reason", "not written again")
		}
	}
	r.updateZonesOut()
}

// updateZonesOut passes the zones out of service on to the endpoint table.
func (r *Router) updateZonesOut() {
	out := make([]string, 0, len(r.zones))
	for z := range r.zones {
		out = append(out, z)
	}
	sort.Strings(out)
	r.endpoints.SetZonesOut(out)
	r.permits.endpointsChanged(time.Now())
}

// applyConfig puts a configuration in force unless it is older than the current one.
func (r *Router) applyConfig(t *routing.Table, offset int64) {
	old := r.config.Load()
	if old != nil && t.Version <= old.Version {
		r.log.Info("configuration left out", "version", t.Version, "in_force", old.Version, "offset", offset)
		return
	}
	rates, engines := make(map[string]float64), make(map[string]upstream.Engine)
	t.EachService(func(s *routing.Service) {
		if s.Engine != nil {
			engines[s.Name] = upstream.Engine{CacheMovable: s.Engine.CacheMovable}
		}
		if s.ColdRate > 0 {
			rates[s.Name] = s.ColdRate
		}
	})
	r.endpoints.SetColdRates(rates)
	r.endpoints.SetEngines(engines)
	r.origins.SetStreamTime(callerAttempts * t.LongestStream())
	r.config.Store(t)
	r.log.Info("configuration in force", "version", t.Version, "routes", t.RouteCount, "offset", offset)
}

func (r *Router) applyEndpoints(b feed.Batch) {
	changes := make([]upstream.Change, 0, len(b.Records))
	for _, record := range b.Records {
		c, err := r.adapter.DecodeEndpoint(record)
		if err != nil {
			// The record may have replaced a valid entry, now outdated: remove the endpoint.
			r.log.Info("endpoint's record left out", "key", record.Key, "offset", record.Offset, "error", err.Error())
			c = upstream.Change{ID: record.Key}
		}
		changes = append(changes, c)
	}
	apply := func() []upstream.Event { return r.endpoints.Apply(time.Now(), changes, b.Gap) }
	if b.Rewound {
		apply = func() []upstream.Event { return r.endpoints.ApplyRewound(time.Now(), changes) }
	}
	for _, event := range apply() {
		r.log.Info("endpoint "+event.Action, "endpoint", event.ID, "service", event.Service, "zone", event.Zone,
			"cold_ms", event.ColdFor.Milliseconds(), "after_gap", b.Gap, "relayed", b.Relayed)
	}
	r.origins.Observe(time.Now(), r.endpoints.Versions())
	r.permits.endpointsChanged(time.Now())
	r.endpointsRead.Store(true)
}
