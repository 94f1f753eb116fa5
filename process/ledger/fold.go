package ledger

import (
	"container/heap"
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/connection/platformclient"
)

const (
	// maxAbandoned is the number of abandoned attempts with one key after which
	// further claims for the key are refused.
	maxAbandoned = 16
	// DefaultResponseBytes bounds the stored responses of one shard.
	DefaultResponseBytes = 2 << 20
)

// entry is the state of one key.
type entry struct {
	key         Key
	expires     time.Time // by the log's clock
	held        bool      // an attempt holds the key
	winner      AttemptID // last attempt that won, to detect a second winner
	holder      AttemptID // attempt that holds the key, or held it last
	fingerprint uint64
	deadline    time.Time // when the request of the holder must have ended
	outcome     op        // of the holder: opDone, opLost or empty
	response    *StoredResponse
	abandoned   []AttemptID // abandoned attempts; they can never win
}

// Fold is the replicated state machine of one shard. Its state depends only on
// the records applied since its start. It is not safe for concurrent use.
//
// Two Folds of one stream that start at different offsets or have different
// windows may differ only in that one refuses a claim that the other decides:
// each refuses the keys for which it may lack earlier claims.
type Fold struct {
	window           time.Duration
	maxResponseBytes int

	next          platformclient.Offset
	now           time.Time // time of the newest record, by the log's clock
	since         time.Time // earlier claims are unknown; zero: all are known
	floor         time.Time // keys created at or before it are refused
	keys          map[Key]*entry
	byTime        expiryHeap
	responses     []*entry // entries with a response, oldest first
	responseBytes int      // bytes of all stored responses
}

// NewFold returns a Fold of a shard's records from offset first on. Records
// before first are treated as unknown.
func NewFold(first platformclient.Offset, window time.Duration, maxResponseBytes int) *Fold {
	return &Fold{window: window, maxResponseBytes: maxResponseBytes, next: max(first, 1), keys: make(map[Key]*entry)}
}

// Next returns the offset of the first record that has not been applied.
func (f *Fold) Next() platformclient.Offset { return f.next }

// Len returns the number of keys in the Fold.
func (f *Fold) Len() int { return len(f.keys) }

// Event is the effect of a record on a claim.
type Event struct {
	Claim   bool // the record was a claim
	Key     Key
	Attempt AttemptID
	Result  Result // of the claim
	// DuplicateWinner says that the claim won although an earlier winner with the
	// same key was not abandoned. It is never set unless the Fold has a bug.
	DuplicateWinner bool
}

// Apply applies the record at Next. A gap before the record makes all earlier
// claims unknown. It returns false for an earlier record, which is ignored, and
// for one without a key.
func (f *Fold) Apply(r platformclient.Record) (Event, bool) {
	if r.Offset < f.next {
		return Event{}, false
	}
	if r.Offset > f.next || f.now.IsZero() && r.Offset > 1 { // the first record read may follow others
		f.forgetClaimsBefore(r.At)
	}
	f.next = r.Offset + 1
	f.advance(r.At)
	rec, ok := decode(r.Data)
	if !ok {
		return Event{}, false
	}
	if rec.Op != opClaim {
		f.applyOutcome(rec)
		return Event{Key: rec.Key, Attempt: rec.Attempt}, true
	}
	event := Event{Claim: true, Key: rec.Key, Attempt: rec.Attempt, Result: f.claim(rec)}
	event.DuplicateWinner = event.Result.State == Won && f.recordWinner(rec)
	return event, true
}

// recordWinner records the winner of a claim. It reports whether there is another
// winner that was not abandoned.
func (f *Fold) recordWinner(rec record) bool {
	e := f.keys[rec.Key]
	last := e.winner
	e.winner = rec.Attempt
	return last != AttemptID{} && last != rec.Attempt && !slices.Contains(e.abandoned, last)
}

// forgetClaimsBefore marks the claims before at as unknown.
func (f *Fold) forgetClaimsBefore(at time.Time) {
	f.since = at
	if at.After(f.floor) {
		f.floor = at
	}
}

// advance sets the clock of the Fold to at and drops expired keys.
func (f *Fold) advance(at time.Time) {
	if !at.After(f.now) {
		return
	}
	f.now = at
	if floor := at.Add(-f.window); floor.After(f.floor) {
		f.floor = floor
	}
	for len(f.byTime) > 0 && f.byTime[0].expires.Before(at) {
		dropped := heap.Pop(&f.byTime).(*entry)
		f.dropResponse(dropped)
		delete(f.keys, dropped.key)
	}
	f.trimResponses()
}

// claim decides on a claim. The first claim for a key wins.
func (f *Fold) claim(rec record) Result {
	e := f.keys[rec.Key]
	if e == nil {
		if refused := f.admit(rec.Key); refused != Unsettled {
			return Result{State: refused}
		}
		e = f.insert(rec.Key)
	}
	if e.held || slices.Contains(e.abandoned, rec.Attempt) || len(e.abandoned) >= maxAbandoned {
		return f.result(e, rec.Attempt, rec.Fingerprint)
	}
	e.held = true
	e.holder = rec.Attempt
	e.fingerprint = rec.Fingerprint
	e.deadline = f.now.Add(time.Duration(rec.MaxDurationMs) * time.Millisecond)
	return Result{State: Won}
}

// admit refuses keys for which an earlier claim may be unknown, and keys from
// the future. It returns Unsettled if it does not refuse the key.
func (f *Fold) admit(key Key) State {
	created, ok := key.Created()
	switch {
	case !ok && !f.since.IsZero() && f.now.Before(f.since.Add(f.window)):
		return KeyTooOld
	case !ok:
		return Unsettled
	case !created.After(f.floor):
		return KeyTooOld
	case created.After(f.now.Add(maxClockAhead)):
		return KeyInFuture
	}
	return Unsettled
}

func (f *Fold) insert(key Key) *entry {
	from, ok := key.Created()
	if !ok {
		from = f.now
	}
	e := &entry{key: key, expires: from.Add(f.window)}
	f.keys[key] = e
	heap.Push(&f.byTime, e)
	return e
}

// applyOutcome applies the outcome of an attempt. Only that of the holder counts,
// but any attempt may be abandoned, even before its claim is in the log.
func (f *Fold) applyOutcome(rec record) {
	e := f.keys[rec.Key]
	if e == nil {
		if rec.Op != opAbandoned || f.admit(rec.Key) != Unsettled {
			return
		}
		e = f.insert(rec.Key)
	}
	holds := e.held && e.holder == rec.Attempt
	switch {
	case rec.Op == opAbandoned:
		f.abandon(e, rec.Attempt, holds)
	case holds && e.outcome != opDone:
		e.outcome = rec.Op
		f.storeResponse(e, rec.Response)
	}
}

func (f *Fold) abandon(e *entry, attempt AttemptID, holds bool) {
	if holds && e.outcome != "" || slices.Contains(e.abandoned, attempt) {
		return
	}
	if !holds && len(e.abandoned) >= maxAbandoned {
		return
	}
	e.abandoned = append(e.abandoned, attempt)
	if holds {
		e.held = false
	}
}

// isRecorded reports whether the outcome rec has been applied or would have no effect.
func (f *Fold) isRecorded(rec record) bool {
	e := f.keys[rec.Key]
	switch {
	case e == nil:
		return rec.Op != opAbandoned || f.admit(rec.Key) != Unsettled
	case rec.Op == opAbandoned:
		return slices.Contains(e.abandoned, rec.Attempt) || len(e.abandoned) >= maxAbandoned ||
			e.holder == rec.Attempt && e.outcome != ""
	default:
		return !e.held || e.holder != rec.Attempt || e.outcome != ""
	}
}

// Lookup returns the result of a claim for key by attempt. It returns Unsettled
// if no claim for the key has been decided.
func (f *Fold) Lookup(key Key, attempt AttemptID, fingerprint uint64) Result {
	e := f.keys[key]
	if e == nil {
		return Result{}
	}
	return f.result(e, attempt, fingerprint)
}

// maxRetryAfter bounds the suggested time until a retry while a request with
// the key is in progress. Most attempts end or are abandoned long before their
// deadline.
const maxRetryAfter = 500 * time.Millisecond

func (f *Fold) result(e *entry, attempt AttemptID, fingerprint uint64) Result {
	switch {
	case slices.Contains(e.abandoned, attempt) || !e.held && len(e.abandoned) >= maxAbandoned:
		return Result{State: Abandoned, NeverRun: !e.held}
	case !e.held:
		return Result{}
	case e.fingerprint != fingerprint:
		return Result{State: KeyReused}
	case e.outcome == opDone:
		return Result{State: Done, Response: e.response}
	case e.outcome == opLost:
		return Result{State: Lost}
	case e.holder == attempt:
		return Result{State: Won}
	case f.now.After(e.deadline):
		return Result{State: Lost}
	default:
		return Result{State: InProgress, RetryAfter: min(e.deadline.Sub(f.now), maxRetryAfter)}
	}
}

// storeResponse stores a response. It drops the oldest ones if the stored
// responses exceed their bound.
func (f *Fold) storeResponse(e *entry, response *StoredResponse) {
	if response == nil || len(response.Body) > f.maxResponseBytes {
		return
	}
	e.response = response
	f.responses = append(f.responses, e)
	f.responseBytes += len(response.Body)
	for f.responseBytes > f.maxResponseBytes {
		f.dropResponse(f.responses[0])
		f.trimResponses()
	}
}

// trimResponses drops entries without a response from the front of the list.
func (f *Fold) trimResponses() {
	for len(f.responses) > 0 && f.responses[0].response == nil {
		f.responses[0] = nil
		f.responses = f.responses[1:]
	}
}

func (f *Fold) dropResponse(e *entry) {
	if e.response != nil {
		f.responseBytes -= len(e.response.Body)
		e.response = nil
	}
}

// expiryHeap orders entries by the time of their expiry. It implements heap.Interface.
type expiryHeap []*entry

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*entry)) }

func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
