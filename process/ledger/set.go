package ledger

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoatmount/stoatmount/process/lock"
)

// idleAfter is how long a shard of which this router is not the appender is
// kept after its last use.
const idleAfter = 30 * time.Second

// Set holds the shards that this router appends to. It is safe for concurrent
// use.
type Set struct {
	opt    Options
	ctx    context.Context
	cancel context.CancelFunc
	pool   conc.WaitGroup

	mu     lock.Mutex[lock.LedgerSet] // taken before Shard.mu
	shards map[int]*running
	total  Stats // of shards that were stopped
	closed bool
}

// running is a shard whose loops run.
type running struct {
	shard  *Shard
	cancel context.CancelFunc
	owned  bool
	used   time.Time
}

// NewSet returns a Set without shards. Close ends it.
func NewSet(o Options) *Set {
	ctx, cancel := context.WithCancel(context.Background())
	return &Set{opt: o.withDefaults(), ctx: ctx, cancel: cancel, shards: make(map[int]*running)}
}

// Close stops all shards.
func (s *Set) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.pool.Wait()
}

// SetOwned tells for which shards this router is the appender. They are replayed
// from the log at once. Others stop when they are no longer used.
func (s *Set) SetOwned(shards []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.shards {
		r.owned = false
	}
	for _, shard := range shards {
		if r := s.startLocked(shard); r != nil {
			r.owned = true
		}
	}
	s.stopIdleLocked()
}

// stopIdleLocked stops shards that are neither owned nor used.
func (s *Set) stopIdleLocked() {
	now := s.opt.Clock.Now()
	for number, r := range s.shards {
		if r.owned || now.Sub(r.used) < idleAfter {
			continue
		}
		r.cancel()
		s.total = s.total.add(r.shard.Stats())
		delete(s.shards, number)
	}
}

func (s *Set) startLocked(number int) *running {
	if r, ok := s.shards[number]; ok {
		return r
	}
	if s.closed {
		return nil
	}
	ctx, cancel := context.WithCancel(s.ctx)
	r := &running{shard: NewShard(s.opt, number), cancel: cancel, used: s.opt.Clock.Now()}
	s.shards[number] = r
	s.pool.Go(func() { r.shard.Run(ctx) })
	return r
}

// use returns the shard with number, which is started if need be, or nil if the
// Set is closed.
func (s *Set) use(number int) *Shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.startLocked(number)
	if r == nil {
		return nil
	}
	r.used = s.opt.Clock.Now()
	return r.shard
}

// Claim enters a claim into a shard and waits for its result until ctx ends.
func (s *Set) Claim(ctx context.Context, shard int, c Claim) Result {
	sh := s.use(shard)
	if sh == nil {
		return Result{State: LogUnavailable}
	}
	return sh.Claim(ctx, c)
}

// RecordOutcome records what became of an attempt, as soon as the log takes it.
func (s *Set) RecordOutcome(shard int, f Outcome) {
	if sh := s.use(shard); sh != nil {
		sh.RecordOutcome(f)
	}
}

// Stats returns what all shards did so far.
func (s *Set) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := s.total
	for _, r := range s.shards {
		total = total.add(r.shard.Stats())
	}
	return total
}

func (s Stats) add(other Stats) Stats {
	s.Appends += other.Appends
	s.Records += other.Records
	s.Reappended += other.Reappended
	s.Dropped += other.Dropped
	s.Replayed += other.Replayed
	s.Keys += other.Keys
	s.ResponseBytes += other.ResponseBytes
	return s
}
