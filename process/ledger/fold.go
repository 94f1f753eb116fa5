package ledger

import (
	"container/heap"
	"slices"
	"time"

	"github.com/stoatmount/stoatmount/connection/platformclient"
)

const (
	// maxReleased is the number of attempts with one key that may be given up;
	// further claims for the key are refused.
	maxReleased = 16
	// DefaultResponseBytes bounds the stored answers of one shard.
	DefaultResponseBytes = 2 << 20
)

// entry is what is known of one key.
type entry struct {
	key         Key
	expires     time.Time // by the log's clock
	held        bool      // holder is set
	winner      AttemptID // the last that won
	holder      AttemptID
	fingerprint uint64
	until       time.Time // when the holder must have ended
	outcome     op        // of the holder: opDone, opLost or empty
	answer      *StoredResponse
	released    []AttemptID // given up; can never win
}

// Fold is the state of one shard that its records lead to. It is a pure
// function of the records from its start on, and not safe for concurrent use.
//
// Two folds of one stream that start at different offsets or have different
// windows may differ only in that one refuses what the other settles: each
// refuses the keys of which it cannot know all claims.
type Fold struct {
	window      time.Duration
	answerBytes int

	next    platformclient.Offset
	now     time.Time // time of the newest record, by the log's clock
	since   time.Time // claims before it are not known; zero: all are known
	floor   time.Time // keys created by then are refused
	keys    map[Key]*entry
	byTime  expiryHeap
	answers []*entry // entries with an answer, oldest first
	stored  int      // bytes of all stored answers
}

// NewFold returns the fold of a shard's records from offset first on. Records
// before first are not known.
func NewFold(first platformclient.Offset, window time.Duration, answerBytes int) *Fold {
	return &Fold{window: window, answerBytes: answerBytes, next: max(first, 1), keys: make(map[Key]*entry)}
}

// Next returns the offset of the first record that has not been applied.
func (f *Fold) Next() platformclient.Offset { return f.next }

// Len returns the number of keys that are held.
func (f *Fold) Len() int { return len(f.keys) }

// Event tells what a record did to a claim.
type Event struct {
	Claim   bool // the record was a claim
	Key     Key
	Attempt AttemptID
	Result  Result // of the claim
	// DuplicateWinner says that the claim won although an earlier winner with the same
	// key was not given up. It never holds unless the fold is broken.
	DuplicateWinner bool
}

// Apply applies the record at Next. Earlier ones are ignored, and a gap makes
// all that went before unknown.
func (f *Fold) Apply(r platformclient.Record) (Event, bool) {
	if r.Offset < f.next {
		return Event{}, false
	}
	if r.Offset > f.next || f.now.IsZero() && r.Offset > 1 {
		f.forget(r.At)
	}
	f.next = r.Offset + 1
	f.advance(r.At)
	rec, ok := decode(r.Data)
	if !ok {
		return Event{}, false
	}
	if rec.Op != opClaim {
		f.finish(rec)
		return Event{Key: rec.Key, Attempt: rec.Attempt}, true
	}
	event := Event{Claim: true, Key: rec.Key, Attempt: rec.Attempt, Result: f.claim(rec)}
	event.DuplicateWinner = event.Result.State == Won && f.noteWinner(rec)
	return event, true
}

// noteWinner notes the winner of a claim. It reports whether there is another
// that was not given up.
func (f *Fold) noteWinner(rec record) bool {
	e := f.keys[rec.Key]
	last := e.winner
	e.winner = rec.Attempt
	return last != AttemptID{} && last != rec.Attempt && !slices.Contains(e.released, last)
}

// forget notes that claims before at are not known.
func (f *Fold) forget(at time.Time) {
	f.since = at
	if at.After(f.floor) {
		f.floor = at
	}
}

// advance moves the fold's clock and drops the keys that have expired.
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
		f.dropAnswer(dropped)
		delete(f.keys, dropped.key)
	}
	f.trimAnswers()
}

// claim judges a claim. The first for a key wins.
func (f *Fold) claim(rec record) Result {
	e := f.keys[rec.Key]
	if e == nil {
		if refused := f.admit(rec.Key); refused != Unsettled {
			return Result{State: refused}
		}
		e = f.insert(rec.Key)
	}
	if e.held || slices.Contains(e.released, rec.Attempt) || len(e.released) >= maxReleased {
		return f.result(e, rec.Attempt, rec.Fingerprint)
	}
	e.held = true
	e.holder = rec.Attempt
	e.fingerprint = rec.Fingerprint
	e.until = f.now.Add(time.Duration(rec.HoldsMs) * time.Millisecond)
	return Result{State: Won}
}

// admit refuses keys of which an earlier claim may be unknown.
func (f *Fold) admit(key Key) State {
	created, ok := key.Created()
	switch {
	case !ok && !f.since.IsZero() && f.now.Before(f.since.Add(f.window)):
		return KeyTooOld
	case !ok:
		return Unsettled
	case !created.After(f.floor):
		return KeyTooOld
	case created.After(f.now.Add(maxAhead)):
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

// finish takes the outcome of an attempt. Only the holder's counts, but any
// attempt may be given up, also before its claim is there.
func (f *Fold) finish(rec record) {
	e := f.keys[rec.Key]
	if e == nil {
		if rec.Op != opRelease || f.admit(rec.Key) != Unsettled {
			return
		}
		e = f.insert(rec.Key)
	}
	holds := e.held && e.holder == rec.Attempt
	switch {
	case rec.Op == opRelease:
		f.release(e, rec.Attempt, holds)
	case holds && e.outcome != opDone:
		e.outcome = rec.Op
		f.keepAnswer(e, rec.Answer)
	}
}

func (f *Fold) release(e *entry, attempt AttemptID, holds bool) {
	if holds && e.outcome != "" || slices.Contains(e.released, attempt) {
		return
	}
	if !holds && len(e.released) >= maxReleased {
		return
	}
	e.released = append(e.released, attempt)
	if holds {
		e.held = false
	}
}

// has reports whether the outcome rec has been taken or would have no effect.
func (f *Fold) has(rec record) bool {
	e := f.keys[rec.Key]
	switch {
	case e == nil:
		return rec.Op != opRelease || f.admit(rec.Key) != Unsettled
	case rec.Op == opRelease:
		return slices.Contains(e.released, rec.Attempt) || len(e.released) >= maxReleased ||
			e.holder == rec.Attempt && e.outcome != ""
	default:
		return !e.held || e.holder != rec.Attempt || e.outcome != ""
	}
}

// Lookup returns what is known of key for attempt. It returns Unsettled if no
// claim for the key has been judged.
func (f *Fold) Lookup(key Key, attempt AttemptID, fingerprint uint64) Result {
	e := f.keys[key]
	if e == nil {
		return Result{}
	}
	return f.result(e, attempt, fingerprint)
}

// repeatAfter is when a repeat of a key in progress is worthwhile. Most
// attempts end, or are released, long before their deadline.
const repeatAfter = 500 * time.Millisecond

func (f *Fold) result(e *entry, attempt AttemptID, fingerprint uint64) Result {
	switch {
	case slices.Contains(e.released, attempt) || !e.held && len(e.released) >= maxReleased:
		return Result{State: Abandoned, NeverRun: !e.held}
	case !e.held:
		return Result{}
	case e.fingerprint != fingerprint:
		return Result{State: KeyReused}
	case e.outcome == opDone:
		return Result{State: Done, Response: e.answer}
	case e.outcome == opLost:
		return Result{State: Lost}
	case e.holder == attempt:
		return Result{State: Won}
	case f.now.After(e.until):
		return Result{State: Lost}
	default:
		return Result{State: InProgress, RetryAfter: min(e.until.Sub(f.now), repeatAfter)}
	}
}

// keepAnswer stores answer and drops the oldest ones if there are too many
// bytes.
func (f *Fold) keepAnswer(e *entry, answer *StoredResponse) {
	if answer == nil || len(answer.Body) > f.answerBytes {
		return
	}
	e.answer = answer
	f.answers = append(f.answers, e)
	f.stored += len(answer.Body)
	for f.stored > f.answerBytes {
		f.dropAnswer(f.answers[0])
		f.trimAnswers()
	}
}

// trimAnswers drops entries without an answer from the front of the list.
func (f *Fold) trimAnswers() {
	for len(f.answers) > 0 && f.answers[0].answer == nil {
		f.answers[0] = nil
		f.answers = f.answers[1:]
	}
}

func (f *Fold) dropAnswer(e *entry) {
	if e.answer != nil {
		f.stored -= len(e.answer.Body)
		e.answer = nil
	}
}

// expiryHeap orders entries by the time of their expiry.
type expiryHeap []*entry

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
