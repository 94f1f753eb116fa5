package feed

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// Record is the newest value of a key. A nil Value says that the key was
// removed.
type Record struct {
	Key    string `json:"k"`
	Value  []byte `json:"v,omitempty"`
	Offset int64  `json:"o"`
}

// ErrExpired is returned by Read when the records asked for are gone.
var ErrExpired = errors.New("records expired")

// errBehind ends a read that waited while another process got newer records.
var errBehind = errors.New("another process has newer records")

// Source reads one keyed topic.
type Source interface {
	// Newest returns the newest record of each key and the offset to read on from.
	Newest(ctx context.Context) (records []Record, next int64, err error)
	// Read returns the records from an offset on and the next offset. With a
	// wait it blocks for that long if there is none. It returns ErrExpired if
	// the records are gone.
	Read(ctx context.Context, from int64, wait time.Duration) (records []Record, next int64, err error)
}

// Batch is what one read brought.
type Batch struct {
	From     int64    `json:"from"` // offset that the read began at
	Next     int64    `json:"next"` // offset to read on from
	Records  []Record `json:"records"`
	Snapshot bool     `json:"whole,omitempty"` // Records holds all keys; others were removed
	Gap      bool     `json:"gap,omitempty"`   // the log was out of reach before
}

// Config says how a topic is read.
type Config struct {
	Name string
	// LongPoll returns how long a read waits at the log for the next record.
	LongPoll func() time.Duration
	// Timeout ends a read, beyond the time that it waits at the log.
	Timeout time.Duration
	// MinInterval returns the least time between two reads, so that records which come
	// one by one are read together. nil is none.
	MinInterval func() time.Duration
	// ProbesReachability makes the follower find out for all others of the process whether
	// the log is in reach. Its Wait bounds how long a silent log goes unnoticed.
	ProbesReachability bool
	// IsReader says whether this process reads the log for others. One that does not
	// takes what it is offered and reads only what it missed. nil is always.
	IsReader func() bool
	// Publish hands on what was read, to be offered to other processes. May be nil.
	Publish func(Batch)
}

const (
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// rolePause is the pause between looks at whether this process reads.
	rolePause = 250 * time.Millisecond
	// missedAfter is how long a record that another process has is awaited
	// before it is read at the log.
	missedAfter = 300 * time.Millisecond
)

// Follower follows one topic. Its methods are safe for concurrent use.
// Follower.mu is held while a batch is applied.
type Follower struct {
	cfg    Config
	link   *Reachability
	source Source
	apply  func(Batch)
	log    logr.Logger
	behind chan struct{} // another process has records that this one lacks

	mu      sync.Mutex
	next    int64
	offsets map[string]int64   // newest offset seen of each key
	loaded  bool               // the newest records were read
	goodAt  time.Time          // last good read
	lost    bool               // the last read failed
	lateAt  time.Time          // since when another process has newer records; zero if none
	endWait context.CancelFunc // ends a read that waits at the log; nil without one
}

// New returns a follower that hands each batch to apply. Followers of one log
// share its link.
func New(cfg Config, link *Reachability, source Source, log logr.Logger, apply func(Batch)) *Follower {
	return &Follower{cfg: cfg, link: link, source: source, apply: apply, log: log.WithValues("topic", cfg.Name),
		behind: make(chan struct{}, 1), offsets: make(map[string]int64)}
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := retryFirst
	for ctx.Err() == nil {
		if !f.cfg.ProbesReachability {
			f.link.await(ctx)
		}
		if !f.due(ctx) {
			continue
		}
		err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			pause = retryFirst
			f.regained()
			if f.cfg.MinInterval != nil {
				sleep(ctx, f.cfg.MinInterval())
			}
		case errors.Is(err, errBehind): // read again at once, without a wait
		case errors.Is(err, ErrExpired):
			f.log.Info("records expired; reading the newest", "from", f.Next())
			f.mu.Lock()
			f.loaded = false
			f.mu.Unlock()
		default:
			f.failed(err)
			sleep(ctx, pause)
			pause = min(2*pause, retryMost)
		}
	}
}

// due reports whether to read the log now. A process that does not read for
// others blocks here until it is behind them.
func (f *Follower) due(ctx context.Context) bool {
	if f.cfg.IsReader == nil || f.cfg.IsReader() || f.mustRead(time.Now()) {
		return true
	}
	select {
	case <-ctx.Done():
	case <-f.behind:
	case <-time.After(rolePause):
	}
	return f.mustRead(time.Now())
}

// mustRead reports whether this process has to read whoever else does.
func (f *Follower) mustRead(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.loaded || f.lost || !f.lateAt.IsZero() && now.Sub(f.lateAt) >= missedAfter
}

// Next returns the offset to read on from.
func (f *Follower) Next() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// Reachable reports whether the last read of the log, if any, was good.
func (f *Follower) Reachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded && !f.lost
}

// Offer takes a batch that another process read. One that does not continue
// what is known here is left out; Announce then leads to a read.
func (f *Follower) Offer(b Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded || b.Snapshot || b.From > f.next || b.Next <= f.next {
		return
	}
	f.take(b, false)
}

// ObserveOffset says that another process has all records before next.
func (f *Follower) ObserveOffset(now time.Time, next int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case next <= f.next:
		return
	case f.lateAt.IsZero():
		f.lateAt = now
	case now.Sub(f.lateAt) >= missedAfter:
		if f.endWait != nil {
			f.endWait() // its connection may have gone silent
		}
		select {
		case f.behind <- struct{}{}:
		default:
		}
	}
}

// step makes one read. After a failed one, or to catch up, it does not wait at
// the log.
func (f *Follower) step(ctx context.Context) error {
	f.mu.Lock()
	from, loaded, gap := f.next, f.loaded, f.lost
	wait := f.cfg.LongPoll()
	if !loaded || gap || !f.lateAt.IsZero() || f.cfg.IsReader != nil && !f.cfg.IsReader() {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+f.cfg.Timeout)
	defer cancel()
	if wait > 0 {
		f.endWait = cancel
	}
	f.mu.Unlock()
	b := Batch{From: from, Snapshot: !loaded, Gap: gap}
	var err error
	if loaded {
		if !f.cfg.ProbesReachability {
			up, done := f.link.whileUp(ctx)
			defer done()
			ctx = up
		}
		b.Records, b.Next, err = f.source.Read(ctx, from, wait)
	} else {
		b.Records, b.Next, err = f.source.Newest(ctx)
	}
	f.mu.Lock()
	f.endWait = nil
	if err == nil {
		f.take(b, true)
	} else if wait > 0 && !f.lateAt.IsZero() && errors.Is(err, context.Canceled) {
		err = errBehind
	}
	f.mu.Unlock()
	if err != nil {
		return err
	}
	if f.cfg.Publish != nil && !b.Snapshot && len(b.Records) > 0 {
		f.cfg.Publish(b)
	}
	return nil
}

// take hands on the records that are newer than those seen before. own says
// that this process read them.
func (f *Follower) take(b Batch, own bool) {
	if own {
		f.goodAt, f.loaded = time.Now(), true
	}
	fresh := make([]Record, 0, len(b.Records))
	present := make(map[string]bool, len(b.Records))
	for _, r := range b.Records {
		present[r.Key] = true
		if seen, ok := f.offsets[r.Key]; ok && r.Offset <= seen {
			continue
		}
		f.offsets[r.Key] = r.Offset
		fresh = append(fresh, r)
	}
	if b.Snapshot {
		for key, seen := range f.offsets {
			if !present[key] && seen < b.Next {
				fresh = append(fresh, Record{Key: key, Offset: b.Next})
				delete(f.offsets, key)
			}
		}
	}
	f.next = max(f.next, b.Next)
	f.lateAt = time.Time{}
	if len(fresh) == 0 && !b.Snapshot {
		return
	}
	b.Records = fresh
	f.apply(b)
}

func (f *Follower) failed(err error) {
	if f.cfg.ProbesReachability {
		f.link.set(true)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lost {
		f.lost = true
		f.log.Info("lost the store", "error", err.Error(), "next", f.next, "last_read_ms", time.Since(f.goodAt).Milliseconds())
	}
}

func (f *Follower) regained() {
	if f.cfg.ProbesReachability {
		f.link.set(false)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost {
		f.lost = false
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
