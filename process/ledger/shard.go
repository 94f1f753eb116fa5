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

// Options says how the ledger works. Zero values stand for the defaults.
type Options struct {
	Log     platformclient.Log
	Clock   clockwork.Clock
	Checker *invariant.Checker
	Logger  logr.Logger

	Window        time.Duration // age up to which repeats are recognised
	FlushEvery    time.Duration // time between two group commits of a shard
	Poll          time.Duration // wait of one read of the log
	ResponseBytes int           // bound of a shard's stored answers

	// SoleAppender reports whether no other router can have been asked for claims of a
	// shard after since, as all known routers take this one for the appender. It lets
	// a refusal during an outage say that the request was not run. It may be
	// nil.
	SoleAppender func(shard int, since time.Time) bool
}

// Defaults of Options.
const (
	defaultWindow     = 10 * time.Minute
	defaultFlushEvery = 80 * time.Millisecond
	defaultPoll       = time.Second
)

func (o Options) withDefaults() Options {
	if o.Checker == nil {
		o.Checker = invariant.New(o.Logger)
	}
	setDefault(&o.Window, defaultWindow)
	setDefault(&o.FlushEvery, defaultFlushEvery)
	setDefault(&o.Poll, defaultPoll)
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
	// maxPending bounds the records that wait to be appended. With more,
	// claims are refused and outcomes are dropped.
	maxPending = 8192
	// readLimit is the number of records asked for in one read.
	readLimit = 1000
	// retryAfter is the pause after a call to the log that failed.
	retryAfter = 200 * time.Millisecond
)

// MaxWait is the longest time that a claim waits for the log. A claim that
// another appender was asked for is settled or given up by then.
const MaxWait = 30 * time.Second

// Stream returns the name of a shard's stream.
func Stream(shard int) string {
	return platformclient.StreamLedger + strconv.Itoa(shard)
}

// Ticket is a claim that waits for its result.
type Ticket struct {
	claim  Claim
	done   chan struct{}
	result Result // valid once done is closed
}

// Done is closed when the result is known.
func (t *Ticket) Done() <-chan struct{} { return t.done }

// Result returns the claim's result, or Unsettled.
func (t *Ticket) Result() Result {
	select {
	case <-t.done:
		return t.result
	default:
		return Result{}
	}
}

// waiting is a record that is not yet known to be in the log.
type waiting struct {
	record record
	ticket *Ticket   // nil: nobody waits for it
	sent   time.Time // when the append that may have taken effect ended
}

// Shard appends to one shard and follows it. It is safe for concurrent use.
type Shard struct {
	opt    Options
	number int
	stream string
	kick   chan struct{} // there is something to append

	mu      lock.Mutex[lock.LedgerShard] // before member.Table.mu, through Options.Quiet
	fold    *Fold
	ready   bool      // the log's end was read at least once
	marked  bool      // a mark was entered
	end     time.Time // when the log's end was last read
	queue   []*waiting
	sent    []*waiting // appended or maybe appended, not yet read back
	stats   Stats
	waiters map[AttemptID][]*Ticket
}

// Stats counts what a shard did.
type Stats struct {
	Appends       int64 // group commits tried
	Records       int64 // records in them
	Reappended    int64 // records appended again after a lost reply
	Dropped       int64 // outcomes that were not recorded
	Replayed      int64 // records read
	Keys          int   // keys held
	ResponseBytes int   // bytes of stored answers
}

// NewShard returns the shard with number shard. Run or its steps Tail and Flush
// must be called.
func NewShard(o Options, shard int) *Shard {
	return &Shard{
		opt:     o.withDefaults(),
		number:  shard,
		stream:  Stream(shard),
		kick:    make(chan struct{}, 1),
		waiters: make(map[AttemptID][]*Ticket),
	}
}

// Stats returns what the shard did so far.
func (s *Shard) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	if s.fold != nil {
		stats.Keys = s.fold.Len()
		stats.ResponseBytes = s.fold.stored
	}
	return stats
}

// Submit enters a claim. What is already settled for its key is answered at once.
func (s *Shard) Submit(c Claim) *Ticket {
	t := &Ticket{claim: c, done: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ready {
		if r := s.fold.Lookup(c.Key, c.Attempt, c.Fingerprint); r.State != Unsettled {
			t.settle(s.newestLocked(c, r))
			return t
		}
	}
	if len(s.queue)+len(s.sent) >= maxPending {
		t.settle(s.unsettledLocked(c))
		return t
	}
	s.waiters[c.Attempt] = append(s.waiters[c.Attempt], t)
	s.enqueue(&waiting{record: c.record(), ticket: t})
	return t
}

// newestLocked returns r, or the outcome of the request in progress if its
// holder has told it and it only waits for the log.
func (s *Shard) newestLocked(c Claim, r Result) Result {
	if r.State != InProgress {
		return r
	}
	holder := s.fold.keys[c.Key].holder
	for _, list := range [][]*waiting{s.queue, s.sent} {
		for _, w := range list {
			if w.record.Op == opDone && w.record.Key == c.Key && w.record.Attempt == holder {
				return Result{State: Done, Response: w.record.Answer}
			}
		}
	}
	return r
}

func (t *Ticket) settle(r Result) {
	t.result = r
	close(t.done)
}

func (s *Shard) enqueue(w *waiting) {
	s.queue = append(s.queue, w)
	s.signalKick()
}

func (s *Shard) signalKick() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// Claim enters a claim and waits for its result until ctx ends. A claim that is
// not settled by then, or after MaxWait, is given up.
func (s *Shard) Claim(ctx context.Context, c Claim) Result {
	ctx, cancel := clockwork.WithTimeout(ctx, s.opt.Clock, MaxWait)
	defer cancel()
	t := s.Submit(c)
	select {
	case <-t.Done():
		return t.Result()
	case <-ctx.Done():
		return s.Abandon(t)
	}
}

// Abandon gives up a claim that is not settled. Its attempt can never win
// afterwards.
func (s *Shard) Abandon(t *Ticket) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := t.Result(); r.State != Unsettled {
		return r
	}
	r := s.unsettledLocked(t.claim)
	s.removeLocked(t)
	t.settle(r)
	return r
}

// removeLocked takes a claim out of the queue, or records its release if it
// may be in the log.
func (s *Shard) removeLocked(t *Ticket) {
	s.dropWaiter(t)
	for i, w := range s.queue {
		if w.ticket == t && w.sent.IsZero() {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			return
		}
	}
	release := Outcome{Key: t.claim.Key, Attempt: t.claim.Attempt, Run: runNot}
	s.enqueue(&waiting{record: release.record()})
}

func (s *Shard) dropWaiter(t *Ticket) {
	kept := s.waiters[t.claim.Attempt][:0]
	for _, other := range s.waiters[t.claim.Attempt] {
		if other != t {
			kept = append(kept, other)
		}
	}
	if len(kept) == 0 {
		delete(s.waiters, t.claim.Attempt)
		return
	}
	s.waiters[t.claim.Attempt] = kept
}

// unsettledLocked returns the result of a claim that could not be recorded.
func (s *Shard) unsettledLocked(c Claim) Result {
	alone := s.ready && s.fold.keys[c.Key] == nil && s.fold.admit(c.Key) != KeyTooOld
	for _, w := range append(s.queue[:len(s.queue):len(s.queue)], s.sent...) {
		if w.record.Key == c.Key && w.record.Attempt != c.Attempt && w.mayRun() {
			alone = false
		}
	}
	never := alone && s.opt.SoleAppender != nil && s.opt.SoleAppender(s.number, s.end.Add(-MaxWait))
	return Result{State: LogUnavailable, NeverRun: never}
}

// mayRun reports whether the attempt of w may run or have run. One whose claim
// was answered without having won never will.
func (w *waiting) mayRun() bool {
	if w.ticket == nil {
		return w.record.Op != opRelease
	}
	state := w.ticket.Result().State
	return state == Unsettled || state == Won
}

// RecordOutcome records what became of an attempt, as soon as the log takes it.
func (s *Shard) RecordOutcome(f Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue)+len(s.sent) >= maxPending {
		s.stats.Dropped++
		return
	}
	s.enqueue(&waiting{record: f.record()})
}

// Flush makes one group commit of the records that wait. It reports whether
// there was anything to append.
func (s *Shard) Flush(ctx context.Context) (bool, error) {
	batch, data := s.takeBatch()
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
		w.sent = now
	}
	s.sent = append(s.sent, batch...)
	return true, err
}

// takeBatch takes the records of the next group commit from the queue.
func (s *Shard) takeBatch() ([]*waiting, [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var data [][]byte
	size, taken := 0, 0
	for taken < len(s.queue) && taken < commitRecords && size < commitBytes {
		encoded, err := s.queue[taken].record.encode()
		if err != nil {
			s.opt.Logger.Error(err, "ledger record cannot be written")
			encoded = []byte("{}")
		}
		data = append(data, encoded)
		size += len(encoded)
		taken++
	}
	batch := s.queue[:taken:taken]
	s.queue = s.queue[taken:]
	return batch, data
}

// errGap says that the log's page does not begin where it was asked for.
var errGap = errors.New("ledger records are missing")
