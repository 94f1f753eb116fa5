package feed

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// Record is one value of a key. A nil Value means that the key was removed.
type Record struct {
	Key    string `json:"k"`
	Value  []byte `json:"v,omitempty"`
	Offset int64  `json:"o"`
}

// ErrExpired is returned by Read if the requested records are gone.
var ErrExpired = errors.New("records expired")

// errNewEra is the result of a read whose response came from a newer era of the log.
var errNewEra = errors.New("the log came back from an older copy")

// errNewerRecords is the result of a long poll that ObserveOffset cancelled.
var errNewerRecords = errors.New("another process has newer records")

// Page is the result of one read of a topic.
type Page struct {
	Records []Record
	Next    int64 // offset to read on from
	// Era rises each time that the log comes back from an older copy. Records that were
	// written since that copy are lost, and their offsets are given out again.
	Era int64
}

// UnknownEra is the Era of a Page whose log did not tell it.
const UnknownEra = -1

// Source reads one keyed topic.
type Source interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (Page, error)
	// Read returns the records from an offset on. With a wait it blocks up to that long
	// if there are none. It returns ErrExpired if the log does not have the offset.
	Read(ctx context.Context, from int64, wait time.Duration) (Page, error)
}

// Batch is the result of one read.
type Batch struct {
	From     int64    `json:"from"` // offset at which the read began
	Next     int64    `json:"next"` // offset to read on from
	Records  []Record `json:"records"`
	Snapshot bool     `json:"whole,omitempty"` // Records holds all keys; others were removed
	// Gap means that the process that read cannot tell whether the log was away since its last read: it
	// did not reach the log, or stood still.
	Gap bool  `json:"gap,omitempty"`
	Era int64 `json:"era,omitempty"` // of the log
	// Rewound means that the snapshot is the first of a new era: it may lack records that
	// were applied before, and hold older ones of their keys.
	Rewound bool `json:"-"`
	// Relayed means that another process read the batch.
	Relayed bool `json:"-"`
}

// Config is how a topic is read.
type Config struct {
	Name string
	// LongPoll returns how long a read waits at the log for the next record.
	LongPoll func() time.Duration
	// Timeout bounds a read, and LongPollTimeout one beyond its long poll; 0 is Timeout.
	Timeout, LongPollTimeout time.Duration
	// MinInterval returns the minimum time between two reads, so that records which
	// arrive one by one are read together. nil is none.
	MinInterval func() time.Duration
	// ProbesReachability makes the follower detect for all others of the process
	// whether the log is reachable. An unresponsive log is detected within its LongPoll
	// plus LongPollTimeout.
	ProbesReachability bool
	// IsReader returns whether this process reads the log for others. One that does not
	// takes the batches that it is offered and reads only what it missed. nil is always.
	IsReader func() bool
	// OnEra is called after the first read of a new era. May be nil.
	OnEra func(era int64)
	// OnLost is called when the log was found to be unreachable. May be nil.
	OnLost func()
	// OnConfirmed is called after removals were applied that had been relayed after a gap of their
	// reader and that this process has read without one. May be nil.
	OnConfirmed func()
	// Publish sends a batch that was read to other processes. May be nil.
	Publish func(Batch)
}

const (
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
	// readerCheckInterval is the time between checks whether this process is a reader.
	readerCheckInterval = 250 * time.Millisecond
	// relayTimeout is how long to wait for a record that another process has before it
	// is read from the log.
	relayTimeout = 300 * time.Millisecond
)

// Follower follows one topic. Its methods are safe for concurrent use. Follower.mu
// is held while a batch is applied.
type Follower struct {
	cfg          Config
	reachability *Reachability
	source       Source
	apply        func(Batch)
	log          logr.Logger
	newerRecords chan struct{} // signals that another process has newer records

	mu             sync.Mutex
	next           int64
	era            int64
	everLoaded     bool
	offsets        map[string]int64   // newest offset seen of each key
	loaded         bool               // the newest records were read
	lastReadAt     time.Time          // last successful read
	unreachable    bool               // the last read failed
	lossesSeen     int                // losses of the log, by whichever follower, up to the last successful read
	behindSince    time.Time          // since when another process has newer records; zero if none
	cancelLongPoll context.CancelFunc // ends the current long poll; nil without one
	continuity     continuity
}

// New returns a follower that passes each batch to apply. Followers of one log
// share its Reachability.
func New(cfg Config, reachability *Reachability, source Source, log logr.Logger, apply func(Batch)) *Follower {
	return &Follower{cfg: cfg, reachability: reachability, source: source, apply: apply, log: log.WithValues("topic", cfg.Name),
		newerRecords: make(chan struct{}, 1), offsets: make(map[string]int64)}
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := minRetryPause
	for ctx.Err() == nil {
		if !f.cfg.ProbesReachability {
			f.reachability.awaitReachable(ctx)
		}
		if !f.waitUntilDue(ctx) {
			continue
		}
		err := f.readOnce(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			pause = minRetryPause
			f.readSucceeded()
			if f.cfg.MinInterval != nil {
				interval, began := f.cfg.MinInterval(), time.Now()
				sleep(ctx, interval)
				f.checkPause(began, interval)
			}
		case errors.Is(err, errNewerRecords), errors.Is(err, errNewEra), errors.Is(err, errStoodStill): // read again at once, without a long poll
		case errors.Is(err, ErrExpired):
			f.log.Info("records expired; reading the newest of each key", "from", f.Next())
			f.mu.Lock()
			f.loaded = false
			f.mu.Unlock()
		default:
			f.readFailed(err)
			sleep(ctx, pause)
			pause = min(2*pause, maxRetryPause)
		}
	}
}

// waitUntilDue reports whether to read the log now. In a process that does not read
// for others it first blocks for a while or until another process has newer records.
func (f *Follower) waitUntilDue(ctx context.Context) bool {
	if f.isReader() || f.mustRead(time.Now()) {
		return true
	}
	select {
	case <-ctx.Done():
	case <-f.newerRecords:
	case <-time.After(readerCheckInterval):
	}
	return f.mustRead(time.Now())
}

// mustRead reports whether this process has to read even if others do.
func (f *Follower) mustRead(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.loaded || f.unreachable || len(f.continuity.doubtful) > 0 || !f.behindSince.IsZero() && now.Sub(f.behindSince) >= relayTimeout
}

// Next returns the offset to read on from.
func (f *Follower) Next() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// Era returns the era of the last read.
func (f *Follower) Era() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

// Reachable reports whether the last read of the log succeeded; false before the
// first.
func (f *Follower) Reachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded && !f.unreachable
}

// Offer applies a batch that another process read. A batch that does not continue
// the records known here is dropped; ObserveOffset then leads to a read.
func (f *Follower) Offer(b Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b.Era > f.era {
		f.reload()
		return
	}
	if b.Era < f.era || !f.loaded || b.Snapshot || b.From > f.next || b.Next <= f.next {
		return
	}
	b.Relayed = true
	if b.Gap {
		f.log.Info("records of a reader that had lost the store", "from", b.From, "next", b.Next, "known", f.next,
			"last_own_read_ms", time.Since(f.lastReadAt).Milliseconds(), "reachable", !f.unreachable)
	}
	f.accept(b)
	if b.Gap {
		f.doubt(b)
	}
}

// reload makes Run read the newest record of each key at once.
func (f *Follower) reload() {
	f.loaded = false
	f.catchUp()
}

// ObserveOffset records that another process has all records of an era before next. If
// they have not arrived relayTimeout after the first such call, the next such call starts a read.
func (f *Follower) ObserveOffset(now time.Time, era, next int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case era > f.era && f.everLoaded:
		f.reload()
	case era < f.era || next <= f.next:
		return
	case f.behindSince.IsZero():
		f.behindSince = now
	case now.Sub(f.behindSince) >= relayTimeout:
		f.catchUp()
	}
}

// ReadNow reads the log at once, since a process that read it for this one no longer
// reaches it. When many processes lose the log, this one reads once in Timeout: by then, all
// that cannot reach it have found out.
func (f *Follower) ReadNow(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.lastReadAt) < f.cfg.Timeout {
		return
	}
	f.behindSince = now.Add(-relayTimeout)
	f.catchUp()
}

// catchUp makes Run read at once, without a long poll. The connection of one in progress
// may be unresponsive.
func (f *Follower) catchUp() {
	if f.cancelLongPoll != nil {
		f.cancelLongPoll()
	}
	f.wake()
}

// wake makes Run check at once whether to read, if it waits for that.
func (f *Follower) wake() {
	select {
	case f.newerRecords <- struct{}{}:
	default:
	}
}

// readOnce makes one read. After a failed read, or to catch up, it does not long-poll.
func (f *Follower) readOnce(ctx context.Context) error {
	f.mu.Lock()
	losses := f.reachability.lossCount()
	from, loaded, gap := f.next, f.loaded, f.hasGap(losses)
	wait := f.cfg.LongPoll()
	if gap || f.isBehind() || !f.isReader() {
		wait = 0
	}
	timeout := f.cfg.Timeout
	if wait > 0 && f.cfg.LongPollTimeout > 0 {
		timeout = f.cfg.LongPollTimeout
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	if wait > 0 {
		f.cancelLongPoll = cancel
	}
	f.mu.Unlock()
	b := Batch{From: from, Snapshot: !loaded, Gap: gap}
	var page Page
	var err error
	var confirmed bool
	if loaded {
		if !f.cfg.ProbesReachability {
			readCtx, stop := f.reachability.untilChange(ctx)
			defer stop()
			ctx = readCtx
		}
		page, err = f.source.Read(ctx, from, wait)
	} else {
		page, err = f.source.Newest(ctx)
	}
	b.Records, b.Next, b.Era = page.Records, page.Next, page.Era
	f.mu.Lock()
	if b.Era == UnknownEra {
		b.Era = f.era
	}
	f.cancelLongPoll = nil
	late := elapsed(began) - wait - timeout // over the time that the read may take
	newEra := f.everLoaded && b.Era > f.era
	switch {
	case err == nil && newEra && !b.Snapshot:
		f.loaded = false
		err = errNewEra
	case err == nil && b.Era < f.era:
		err = errors.Errorf("response of era %d after era %d", b.Era, f.era)
	case err == nil:
		b.Gap = b.Gap || late > maxUnobserved
		confirmed = f.acceptOwn(b, began)
		f.lossesSeen = losses
	case wait > 0 && (!f.behindSince.IsZero() || !f.loaded) && errors.Is(err, context.Canceled):
		err = errNewerRecords
	case late > maxTimerDelay && !f.continuity.stoodStill && errors.Is(err, context.DeadlineExceeded):
		f.continuity.stoodStill = true
		f.log.Info("stood still during a read", "late_ms", late.Milliseconds(), "next", f.next)
		err = errStoodStill
	}
	f.mu.Unlock()
	if confirmed && f.cfg.OnConfirmed != nil {
		f.cfg.OnConfirmed()
	}
	if err != nil {
		return errors.Wrapf(err, "read took %d ms of %d", time.Since(began).Milliseconds(), (wait + timeout).Milliseconds())
	}
	if newEra && f.cfg.OnEra != nil {
		f.cfg.OnEra(b.Era)
	}
	if f.cfg.Publish != nil && !b.Snapshot && len(b.Records) > 0 {
		f.cfg.Publish(b)
	}
	return nil
}

// isBehind reports whether the next read is to end at once.
func (f *Follower) isBehind() bool {
	return !f.loaded || !f.behindSince.IsZero() || len(f.continuity.doubtful) > 0
}

// acceptOwn is accept for a batch that this process read from the given time on. It reports whether the batch
// confirms removals of before.
func (f *Follower) acceptOwn(b Batch, began time.Time) bool {
	f.lastReadAt, f.loaded = time.Now(), true
	f.accept(b)
	confirmed := f.observe(b, began)
	if len(confirmed) == 0 {
		return false
	}
	f.log.Info("removals confirmed", "count", len(confirmed), "next", b.Next)
	f.apply(Batch{From: b.From, Next: b.Next, Records: confirmed, Era: b.Era})
	return true
}

// accept passes on the records that are newer than those seen before.
func (f *Follower) accept(b Batch) {
	if f.everLoaded && b.Era > f.era {
		f.rewind(&b)
	}
	f.era, f.everLoaded = b.Era, true
	fresh := make([]Record, 0, len(b.Records))
	present := make(map[string]bool, len(b.Records))
	for _, r := range b.Records {
		present[r.Key] = true
		if seen, ok := f.offsets[r.Key]; ok && r.Offset <= seen {
			continue
		}
		f.offsets[r.Key] = r.Offset
		if b.Rewound && r.Value == nil {
			delete(f.offsets, r.Key) // it may be written again at any offset
		}
		fresh = append(fresh, r)
	}
	if b.Snapshot {
		for key, seen := range f.offsets {
			if !present[key] && seen < b.Next {
				fresh = append(fresh, Record{Key: key, Offset: b.Next})
				delete(f.offsets, key)
			}
		}
		// In the order of their writes, whatever their keys.
		slices.SortStableFunc(fresh, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	}
	f.next = max(f.next, b.Next)
	f.behindSince = time.Time{}
	if len(fresh) == 0 && !b.Snapshot {
		return
	}
	b.Records = fresh
	f.apply(b)
}

// rewind prepares the first snapshot of a new era: offsets of before say nothing any
// more, and keys that the older copy lacks are removed with its records.
func (f *Follower) rewind(b *Batch) {
	f.log.Info("the store came back from an older copy", "era", b.Era, "next", b.Next, "next_before", f.next)
	present := make(map[string]bool, len(b.Records))
	for _, r := range b.Records {
		present[r.Key] = true
	}
	for key := range f.offsets {
		if !present[key] {
			b.Records = append(b.Records, Record{Key: key, Offset: b.Next})
		}
	}
	f.offsets, f.next = make(map[string]int64), b.Next
	b.Gap, b.Rewound = true, true
}

func (f *Follower) readFailed(err error) {
	if f.cfg.ProbesReachability {
		f.reachability.setUnreachable(true)
	}
	f.mu.Lock()
	lost := !f.unreachable
	f.unreachable = true
	next, last := f.next, f.lastReadAt
	f.mu.Unlock()
	if !lost {
		return
	}
	f.log.Info("lost the store", "error", err.Error(), "next", next, "last_read_ms", time.Since(last).Milliseconds())
	if f.cfg.OnLost != nil {
		f.cfg.OnLost()
	}
}

func (f *Follower) readSucceeded() {
	if f.cfg.ProbesReachability {
		f.reachability.setUnreachable(false)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable {
		f.unreachable = false
		f.log.Info("reached the store again", "next", f.next)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
