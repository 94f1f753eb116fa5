package ledger

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoatmount/stoatmount/process/lock"
)

// idleAfter is how long a shard that this router does not own stays running after its last use.
const idleAfter = 30 * time.Second

// Set runs the shards that this router appends to, and others while they are
// used. It is safe for concurrent use.
type Set struct {
	opt    Options
	ctx    context.Context
	cancel context.CancelFunc
	pool   conc.WaitGroup

	mu     lock.Mutex[lock.LedgerSet] // taken before Shard.mu
	shards map[int]*runningShard
	total  Stats // of stopped shards, with Keys and ResponseBytes as of the stop
	closed bool
}

// runningShard is a Shard whose Run has been started.
type runningShard struct {
	shard  *Shard
	cancel context.CancelFunc
	owned  bool
	used   time.Time
}

// NewSet returns a Set without shards. Close releases its resources.
func NewSet(o Options) *Set {
	ctx, cancel := context.WithCancel(context.Background())
	return &Set{opt: o.withDefaults(), ctx: ctx, cancel: cancel, shards: make(map[int]*runningShard)}
}

// Close stops all shards and waits until they have stopped.
func (s *Set) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.pool.Wait()
}

// SetOwned sets the shards for which this router is the appender. Their replay
// from the log starts immediately. Other shards stop when they become idle.
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

// startLocked returns the shard with the given number and starts it if
// necessary. It returns nil if it does not run and the Set is closed.
func (s *Set) startLocked(number int) *runningShard {
	if r, ok := s.shards[number]; ok {
		return r
	}
	if s.closed {
		return nil
	}
	ctx, cancel := context.WithCancel(s.ctx)
	r := &runningShard{shard: NewShard(s.opt, number), cancel: cancel, used: s.opt.Clock.Now()}
	s.shards[number] = r
	s.pool.Go(func() { r.shard.Run(ctx) })
	return r
}

// use returns the shard of startLocked, or nil, and records that it was used.
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

// Claim submits a claim to a shard and waits for its result until ctx ends.
func (s *Set) Claim(ctx context.Context, shard int, c Claim) Result {
	sh := s.use(shard)
	if sh == nil {
		return Result{State: LogUnavailable}
	}
	return sh.Claim(ctx, c)
}

// RecordOutcome enqueues the outcome of an attempt in a shard. It is dropped if
// the Set is closed or too many records wait.
func (s *Set) RecordOutcome(shard int, o Outcome) {
	if sh := s.use(shard); sh != nil {
		sh.RecordOutcome(o)
	}
}

// Stats returns the sum of the Stats of all shards, including stopped ones.
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
	s.RecordsRead += other.RecordsRead
	s.Keys += other.Keys
	s.ResponseBytes += other.ResponseBytes
	return s
}
