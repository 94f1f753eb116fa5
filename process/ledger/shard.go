package ledger

import (
	"context"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/process/invariant"
	"github.com/stoatmount/stoatmount/process/lock"
)

// Options configures the ledger. Zero values select the defaults.
type Options struct {
	Log     platformclient.Log
	Clock   clockwork.Clock
	Checker *invariant.Checker
	Logger  logr.Logger

	Window        time.Duration // age up to which retries of a key are recognised
	FlushEvery    time.Duration // shortest time between two group commits of a shard
	PollWait      time.Duration // long-poll wait of one read of the log
	ResponseBytes int           // bound of the stored responses of a shard
}

// Defaults of Options.
const (
	defaultWindow     = 10 * time.Minute
	defaultFlushEvery = 80 * time.Millisecond
	defaultPollWait   = time.Second
)

func (o Options) withDefaults() Options {
	if o.Checker == nil {
		o.Checker = invariant.New(o.Logger)
	}
	setDefault(&o.Window, defaultWindow)
	setDefault(&o.FlushEvery, defaultFlushEvery)
	setDefault(&o.PollWait, defaultPollWait)
	setDefault(&o.ResponseBytes, DefaultResponseBytes)
	return o
}

func setDefault[T time.Duration | int](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

const (
	// commitRecords bounds the records of one group commit.
	commitRecords = 512
	// commitBytes bounds the bytes of one group commit.
	commitBytes = 1 << 20
	// maxPending bounds the records that wait to be appended. Beyond it, claims
	// are refused and outcomes are dropped.
	maxPending = 8192
	// readLimit bounds the records of one read.
	readLimit = 1000
	// retryAfter is the pause after a failed call to the log.
	retryAfter = 200 * time.Millisecond
)

// MaxWait is the longest time that a claim waits for the log. By then, a claim
// that was sent to another appender is decided or abandoned.
const MaxWait = 30 * time.Second

// Stream returns the name of a shard's stream.
func Stream(shard int) string {
	return platformclient.StreamLedger + strconv.Itoa(shard)
}

// PendingClaim is a submitted claim that waits for its result.
type PendingClaim struct {
	claim  Claim
	done   chan struct{}
	result Result // valid once done is closed
}

// Done returns a channel that is closed when the result is available.
func (p *PendingClaim) Done() <-chan struct{} { return p.done }

// Result returns the result of the claim, or Unsettled while there is none.
func (p *PendingClaim) Result() Result {
	select {
	case <-p.done:
		return p.result
	default:
		return Result{}
	}
}

// pendingRecord is a record that has not been read back from the log yet.
type pendingRecord struct {
	record record
	claim  *PendingClaim // nil: no claim waits for it
	sentAt time.Time     // when the append that may have taken effect ended
}

// Shard appends to the stream of one shard and applies its records. It is safe for concurrent use.
type Shard struct {
	opt       Options
	number    int
	stream    string
	flushWake chan struct{} // there is something to append

	mu           lock.Mutex[lock.LedgerShard] // leaf
	fold         *Fold
	ready        bool // the end of the stream was read at least once
	markEnqueued bool // a mark was enqueued
	queue        []*pendingRecord
	sent         []*pendingRecord // possibly appended, not read back yet
	stats        Stats
	waiters      map[AttemptID][]*PendingClaim
}

// Stats counts what a shard did.
type Stats struct {
	Appends       int64 // attempted group commits
	Records       int64 // records in these commits
	Reappended    int64 // records appended again, as the first append had not taken effect
	Dropped       int64 // outcomes that were not recorded
	RecordsRead   int64 // records read
	Keys          int   // keys in the Fold
	ResponseBytes int   // bytes of stored responses
}

// NewShard returns the shard with the given number. It makes progress in Run, or
// in explicit calls of Tail and Flush.
func NewShard(o Options, shard int) *Shard {
	return &Shard{
		opt:       o.withDefaults(),
		number:    shard,
		stream:    Stream(shard),
		flushWake: make(chan struct{}, 1),
		waiters:   make(map[AttemptID][]*PendingClaim),
	}
}

// Stats returns the counters of the shard.
func (s *Shard) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	if s.fold != nil {
		stats.Keys = s.fold.Len()
		stats.ResponseBytes = s.fold.responseBytes
	}
	return stats
}

// Submit enqueues a claim. If the key is already decided, the result is available immediately.
func (s *Shard) Submit(c Claim) *PendingClaim {
	p := &PendingClaim{claim: c, done: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ready {
		if r := s.fold.Lookup(c.Key, c.Attempt, c.Fingerprint); r.State != Unsettled {
			p.resolve(s.withPendingOutcomeLocked(c, r))
			return p
		}
	}
	if len(s.queue)+len(s.sent) >= maxPending {
		p.resolve(Result{State: LogUnavailable})
		return p
	}
	s.waiters[c.Attempt] = append(s.waiters[c.Attempt], p)
	s.enqueue(&pendingRecord{record: c.record(), claim: p})
	return p
}

// withPendingOutcomeLocked returns r, or Done if the outcome of the request in
// progress is enqueued here and only waits to be recorded in the log.
func (s *Shard) withPendingOutcomeLocked(c Claim, r Result) Result {
	if r.State != InProgress {
		return r
	}
	holder := s.fold.keys[c.Key].holder
	for _, list := range [][]*pendingRecord{s.queue, s.sent} {
		for _, w := range list {
			if w.record.Op == opDone && w.record.Key == c.Key && w.record.Attempt == holder {
				return Result{State: Done, Response: w.record.Response}
			}
		}
	}
	return r
}

func (p *PendingClaim) resolve(r Result) {
	p.result = r
	close(p.done)
}

func (s *Shard) enqueue(w *pendingRecord) {
	s.queue = append(s.queue, w)
	s.signalFlush()
}

func (s *Shard) signalFlush() {
	select {
	case s.flushWake <- struct{}{}:
	default:
	}
}

// Claim submits a claim and waits for its result until ctx ends. A claim that is
// not decided by then, or after MaxWait, is abandoned.
func (s *Shard) Claim(ctx context.Context, c Claim) Result {
	ctx, cancel := clockwork.WithTimeout(ctx, s.opt.Clock, MaxWait)
	defer cancel()
	p := s.Submit(c)
	select {
	case <-p.Done():
		return p.Result()
	case <-ctx.Done():
		return s.Abandon(p)
	}
}

// Abandon abandons a claim that is not decided. Its attempt can never win afterwards.
func (s *Shard) Abandon(p *PendingClaim) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := p.Result(); r.State != Unsettled {
		return r
	}
	// Another appender may hold claims for the key: only the log knows whether one ran.
	r := Result{State: LogUnavailable}
	s.removeLocked(p)
	p.resolve(r)
	return r
}

// removeLocked removes a claim from the queue. If the claim may already be in
// the log, it enqueues a record that abandons the attempt.
func (s *Shard) removeLocked(p *PendingClaim) {
	s.dropWaiter(p)
	for i, w := range s.queue {
		if w.claim == p && w.sentAt.IsZero() {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			return
		}
	}
	abandoned := Outcome{Key: p.claim.Key, Attempt: p.claim.Attempt, Run: runNot}
	s.enqueue(&pendingRecord{record: abandoned.record()})
}

func (s *Shard) dropWaiter(p *PendingClaim) {
	kept := s.waiters[p.claim.Attempt][:0]
	for _, other := range s.waiters[p.claim.Attempt] {
		if other != p {
			kept = append(kept, other)
		}
	}
	if len(kept) == 0 {
		delete(s.waiters, p.claim.Attempt)
		return
	}
	s.waiters[p.claim.Attempt] = kept
}

// RecordOutcome enqueues the outcome of an attempt. It is dropped if too many records wait.
func (s *Shard) RecordOutcome(o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue)+len(s.sent) >= maxPending {
		s.stats.Dropped++
		return
	}
	s.enqueue(&pendingRecord{record: o.record()})
}

// Flush makes one group commit of the enqueued records. It reports whether there
// was anything to append.
func (s *Shard) Flush(ctx context.Context) (bool, error) {
	batch, data := s.nextBatch()
	if len(batch) == 0 {
		return false, nil
	}
	_, err := s.opt.Log.Append(ctx, s.stream, data)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Appends++
	s.stats.Records += int64(len(batch))
	if err != nil && !platformclient.MayHaveAppended(err) {
		s.queue = append(batch, s.queue...)
		return true, err
	}
	now := s.opt.Clock.Now()
	for _, w := range batch {
		w.sentAt = now
	}
	s.sent = append(s.sent, batch...)
	return true, err
}

// nextBatch removes the records of the next group commit from the queue.
func (s *Shard) nextBatch() ([]*pendingRecord, [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var data [][]byte
	size, taken := 0, 0
	for taken < len(s.queue) && taken < commitRecords && size < commitBytes {
		encoded, err := s.queue[taken].record.encode()
		if err != nil {
			s.opt.Logger.Error(err, "ledger record encoding failed")
			encoded = []byte("{}") // has no effect
		}
		data = append(data, encoded)
		size += len(encoded)
		taken++
	}
	batch := s.queue[:taken:taken]
	s.queue = s.queue[taken:]
	return batch, data
}

// errGap is returned when a page of the log begins after the requested offset.
var errGap = errors.New("ledger records are missing")
