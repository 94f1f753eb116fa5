package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stoatmount/stoatmount/process/feed"
	"github.com/stoatmount/stoatmount/process/peers"
	"github.com/stoatmount/stoatmount/process/rollout"
)

const (
	// rolloutInterval is the time between two steps while a rollout is in progress, and endedRolloutInterval
	// after all have ended.
	rolloutInterval      = 200 * time.Millisecond
	endedRolloutInterval = time.Second
	// rolloutSaveInterval is the pause between attempts to write a status.
	rolloutSaveInterval = 500 * time.Millisecond
	// rolloutSaveRounds bounds how often a write is repeated at once because the topic has newer records.
	rolloutSaveRounds = 5
)

// rollouts are the rollouts of all services, and what this router knows of their records in the store.
type rollouts struct {
	table *rollout.Table
	wake  chan struct{} // makes the next step begin at once; buffers one
	idle  atomic.Bool   // no service has a rollout
	// unsettled is set while some service has endpoints of both versions of a rollout.
	unsettled atomic.Bool

	mu     sync.Mutex // guards the fields below; before rollout.Table.mu
	held   map[string]heldOrder
	saved  map[string]savedStatus // newest status that is known to be in the store, by service
	saving map[string]bool        // services whose status is being written
}

// heldOrder is an order that an older copy of the store has in place of the one in force. It is put in force
// if operators do not write the latter again in time.
type heldOrder struct {
	order *rollout.Order
	until time.Time
}

// savedStatus is what tells statuses in the store apart.
type savedStatus struct {
	order  rollout.Order
	number int
	stage  rollout.Stage
}

func savedOf(s *rollout.Status) savedStatus { return savedStatus{s.Order, s.Number, s.Stage} }

func newRollouts(self string) *rollouts {
	return &rollouts{table: rollout.New(self, rollout.Limits{}), wake: make(chan struct{}, 1), held: make(map[string]heldOrder),
		saved: make(map[string]savedStatus), saving: make(map[string]bool)}
}

// wakeUp makes the next step begin at once.
func (o *rollouts) wakeUp() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// saveAgain makes the statuses be written again, as the store came back from an older copy.
func (o *rollouts) saveAgain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.saved)
	o.wakeUp()
}

// applyRollout puts an order in force, or ends one that was deleted. An order that an older copy of the store
// lacks, or has another one for, stands until operators had time to write it again.
func (r *Router) applyRollout(c *RolloutChange, rewound bool, offset int64) {
	now, o := time.Now(), r.rollouts
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.held, c.Service)
	current := o.table.StatusOf(now, c.Service).Order // zero if it was deleted
	_, known := o.table.Gate(c.Service)
	switch {
	case rewound && known && c.Order == nil:
		o.table.MissOrder(now, c.Service)
		r.log.Info("rollout missing in the store", "service", c.Service, "offset", offset)
	case rewound && known && *c.Order != current:
		o.held[c.Service] = heldOrder{c.Order, now.Add(rewindGrace)}
		r.log.Info("rollout differs in the store", "service", c.Service, "to", c.Order.To, "offset", offset)
	default:
		r.setOrder(now, c.Service, c.Order, offset)
	}
	o.wakeUp()
}

// setOrder puts an order in force; nil ends the one that is.
func (r *Router) setOrder(now time.Time, service string, order *rollout.Order, offset int64) {
	if !r.rollouts.table.SetOrder(now, service, order) {
		return
	}
	if order == nil {
		r.log.Info("rollout deleted", "service", service, "offset", offset)
		return
	}
	r.log.Info("rollout ordered", "service", service, "to", order.To, "limit_ms", order.TimeLimit.Milliseconds(), "offset", offset)
}

// expireHeldOrders puts the orders of an older copy of the store in force that operators did not replace.
func (r *Router) expireHeldOrders(now time.Time) {
	o := r.rollouts
	o.mu.Lock()
	defer o.mu.Unlock()
	for service, held := range o.held {
		if !now.Before(held.until) {
			delete(o.held, service)
			r.setOrder(now, service, held.order, -1)
		}
	}
}

// restoreRollout takes the status of a rollout from a record of the routers' topic, and reports whether the
// record is one.
func (r *Router) restoreRollout(now time.Time, record feed.Record) bool {
	s, is, err := r.adapter.DecodeRollout(record)
	if err != nil {
		r.log.Info("rollout status left out", "key", record.Key, "offset", record.Offset, "error", err.Error())
		return true
	}
	if is {
		r.restore(now, s)
	}
	return is
}

// restore takes a status that was read at registration. The stage of one that is not final may be outdated, if the
// store refused later writes. So a process that has just started first hears from the others.
func (r *Router) restore(now time.Time, s rollout.Status) {
	stage, wait := s.Stage, firstHeartbeatsTime-now.Sub(r.startedAt)
	if wait > 0 && !stage.Final() && r.exchange != nil {
		s.Stage = rollout.StageUnknown
		time.AfterFunc(wait, func() {
			s.Stage = stage
			r.restore(time.Now(), s)
		})
	}
	r.rollouts.table.Restore(now, s.Service, s)
	r.rollouts.wakeUp()
}

// mergeRollouts takes what another router tells.
func (r *Router) mergeRollouts(now time.Time, h *peers.Heartbeat) {
	urgent := r.rollouts.table.Merge(now, h.Name, h.Incarnation, h.Rollouts)
	if urgent || len(h.Rollouts) > 0 && r.rollouts.idle.Load() {
		r.rollouts.wakeUp()
	}
}

// runRollouts steps the rollouts until ctx ends. Without any it does nothing.
func (r *Router) runRollouts(ctx context.Context) {
	for {
		var tick <-chan time.Time
		services := r.rollouts.table.Services()
		r.rollouts.idle.Store(len(services) == 0)
		if len(services) > 0 {
			tick = time.After(r.stepRollouts(ctx, services))
		}
		select {
		case <-ctx.Done():
			return
		case <-r.rollouts.wake:
		case <-tick:
		}
	}
}

// stepRollouts makes one step and returns the time until the next one.
func (r *Router) stepRollouts(ctx context.Context, services []string) time.Duration {
	now := time.Now()
	r.expireHeldOrders(now)
	endpoints := make(map[string]rollout.Endpoints, len(services))
	for _, service := range services {
		if n := r.endpoints.CountVersions(service); len(n.Versions) > 0 {
			endpoints[service] = n
		}
	}
	coordinator := r.isRolloutCoordinator(now)
	announce := false
	for _, t := range r.rollouts.table.Step(now, coordinator, endpoints, r.peers.Heard(now)) {
		r.logTransition(now, t)
		announce = announce || t.Urgent
	}
	if announce {
		r.sendNow()
	}
	interval, unsettled := endedRolloutInterval, false
	for _, service := range r.rollouts.table.Services() {
		s := r.rollouts.table.StatusOf(now, service)
		if !s.Stage.Final() {
			interval = rolloutInterval
		}
		gate, _ := r.rollouts.table.Gate(service) // in the complete stage until a success is settled
		versions := endpoints[service].Versions
		unsettled = unsettled || gate.Stage != rollout.StageSucceeded && versions[s.To] > 0 && len(versions) > 1
		if coordinator && r.rollouts.beginSave(&s) {
			r.group.Go(func() { r.saveRollout(ctx, s) })
		}
	}
	r.rollouts.unsettled.Store(unsettled)
	return interval
}

// isRolloutCoordinator reports whether this router advances the rollouts. One that could not read the others'
// registrations is not alone because it hears of none.
func (r *Router) isRolloutCoordinator(now time.Time) bool {
	inTouch := r.registered.Load() || r.peers.CountAlive(now) > 0
	return r.Ready() && inTouch && r.peers.IsCoordinator(now, r.storeReachable())
}

// storeReachable reports whether this router reaches the store.
func (r *Router) storeReachable() bool {
	for _, f := range r.followers {
		if !f.Reachable() {
			return false
		}
	}
	return true
}

func (r *Router) logTransition(now time.Time, t rollout.Transition) {
	s := r.rollouts.table.StatusOf(now, t.Order.Service)
	r.log.Info("rollout stage changed", "service", t.Order.Service, "to", t.Order.To, "order", t.Number, "from_stage", t.From.String(), "stage", t.To.String(),
		"reason", t.Reason, "verdict", t.Verdict, "share", s.Share, "answers", s.Evidence.Ordered.Answers, "failures", s.Evidence.Ordered.Failures,
		"first_byte_ms", s.Evidence.Ordered.FirstByteMS, "median_ms", s.Evidence.Ordered.MedianMS, "other_answers", s.Evidence.Others.Answers,
		"other_failures", s.Evidence.Others.Failures, "other_first_byte_ms", s.Evidence.Others.FirstByteMS, "other_median_ms", s.Evidence.Others.MedianMS,
		"routers", s.Evidence.Routers)
}

// beginSave reports whether to write a status now, because it is not known to be in the store and no write is in
// progress.
func (o *rollouts) beginSave(s *rollout.Status) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s.Order == (rollout.Order{}) || o.saving[s.Service] || o.saved[s.Service] == savedOf(s) {
		return false
	}
	o.saving[s.Service] = true
	return true
}

// endSave ends a write. stored is the status that the store has; nil if that is not known.
func (o *rollouts) endSave(service string, stored *rollout.Status) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.saving, service)
	if stored != nil {
		o.saved[service] = savedOf(stored)
	}
}

// saveRollout writes the status of a rollout to the store. A failed attempt is followed by the next step's.
func (r *Router) saveRollout(ctx context.Context, s rollout.Status) {
	stored, err := r.tryToSave(ctx, s)
	if err != nil {
		r.log.Info("writing rollout status failed", "service", s.Service, "to", s.To, "state", s.Stage.State(), "stage", s.Stage.String(), "error", err.Error())
	}
	if stored == nil || savedOf(stored) != savedOf(&s) {
		sleep(ctx, rolloutSaveInterval)
	}
	r.rollouts.endSave(s.Service, stored)
	r.rollouts.wakeUp()
}

// tryToSave writes a status unless the store has the final state of the order, or a later stage, and returns what
// the store then has; nil if another router's records came in between each time.
func (r *Router) tryToSave(ctx context.Context, s rollout.Status) (*rollout.Status, error) {
	for range rolloutSaveRounds {
		stored, saved, err := r.saveOnce(ctx, s)
		if err != nil || saved {
			return stored, err
		}
	}
	return nil, nil
}

func (r *Router) saveOnce(ctx context.Context, s rollout.Status) (stored *rollout.Status, known bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	found, present, end, err := r.adapter.LoadRollout(ctx, s.Service)
	if err != nil {
		return nil, false, err
	}
	now := time.Now()
	if present && found.Order == s.Order && found.Number > s.Number {
		r.rollouts.table.Restore(now, s.Service, found) // the number of a process that has just started is a guess
		if r.rollouts.table.StatusOf(now, s.Service).Number == found.Number {
			return &found, true, nil
		}
	}
	if present && found.Order == s.Order && found.Number == s.Number {
		switch {
		case found.Stage.Final():
			r.rollouts.table.Adopt(now, s.Service, found)
			return &found, true, nil
		case found.Stage == s.Stage:
			return &found, true, nil
		case found.Stage > s.Stage:
			r.rollouts.table.Restore(now, s.Service, found)
			return &found, true, nil
		}
	}
	saved, err := r.adapter.SaveRollout(ctx, s, end)
	if err != nil || !saved {
		return nil, false, err
	}
	r.log.Info("rollout status written", "service", s.Service, "to", s.To, "state", s.Stage.State(), "stage", s.Stage.String(), "reason", s.Reason)
	if s.Stage.Final() {
		r.rollouts.table.Adopt(now, s.Service, s)
	}
	return &s, true, nil
}

// RolloutState is what the router believes of one rollout, for its metrics.
type RolloutState struct {
	To            string  `json:"to"`
	Stage         string  `json:"stage"`
	Reason        string  `json:"reason,omitempty"`
	Share         float64 `json:"share"`
	Answers       int     `json:"answers"` // of the ordered version, at all routers
	Failures      int     `json:"failures"`
	OtherAnswers  int     `json:"other_answers"` // of all other versions
	OtherFailures int     `json:"other_failures"`
	Coordinator   bool    `json:"coordinator"` // this router advances it
}

func (r *Router) rolloutStates(now time.Time) map[string]RolloutState {
	services := r.rollouts.table.Services()
	if len(services) == 0 {
		return nil
	}
	coordinator := r.isRolloutCoordinator(now)
	states := make(map[string]RolloutState, len(services))
	for _, service := range services {
		s := r.rollouts.table.StatusOf(now, service)
		states[service] = RolloutState{To: s.To, Stage: s.Stage.String(), Reason: s.Reason, Share: s.Share, Answers: s.Evidence.Ordered.Answers,
			Failures: s.Evidence.Ordered.Failures, OtherAnswers: s.Evidence.Others.Answers, OtherFailures: s.Evidence.Others.Failures, Coordinator: coordinator}
	}
	return states
}
