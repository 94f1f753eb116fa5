package feed

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// Record is the newest value of a key. A nil Value says that the key was
// removed.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// ErrExpired is returned by Read when the records asked for are gone.
var ErrExpired = errors.New("records expired")

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
	Records []Record
	Whole   bool // Records holds all keys; others were removed
	Gap     bool // the log was out of reach before
}

// Config says how a topic is read.
type Config struct {
	Name string
	// Wait is how long a read waits at the log for the next record.
	Wait time.Duration
	// Timeout ends a read, beyond the time that it waits at the log.
	Timeout time.Duration
	// Pause is the least time between two reads, so that records which come one
	// by one are read together.
	Pause time.Duration
	// Sentinel makes the follower find out for all others whether the log is in
	// reach. Its Wait bounds how long a silent log goes unnoticed.
	Sentinel bool
}

const (
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
)

// Follower follows one topic.
type Follower struct {
	cfg    Config
	link   *Link
	source Source
	apply  func(Batch)
	log    logr.Logger

	next    int64
	offsets map[string]int64 // newest offset seen of each key
	loaded  bool             // the newest records were read once
	goodAt  time.Time        // last good read
	lost    bool             // the last read failed
}

// New returns a follower that hands each batch to apply. Followers of one log
// share its link.
func New(cfg Config, link *Link, source Source, log logr.Logger, apply func(Batch)) *Follower {
	return &Follower{cfg: cfg, link: link, source: source, apply: apply, log: log.WithValues("topic", cfg.Name),
		offsets: make(map[string]int64)}
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := retryFirst
	for ctx.Err() == nil {
		if !f.cfg.Sentinel {
			f.link.await(ctx)
		}
		err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			pause = retryFirst
			f.regained()
			sleep(ctx, f.cfg.Pause)
		case errors.Is(err, ErrExpired):
			f.log.Info("records expired; reading the newest", "from", f.next)
			f.loaded = false
		default:
			f.failed(err)
			sleep(ctx, pause)
			pause = min(2*pause, retryMost)
		}
	}
}

// step makes one read. After a failed one it does not wait at the log, so that
// it learns soon whether the log answers again.
func (f *Follower) step(ctx context.Context) error {
	gap := f.lost
	if !f.loaded {
		ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout)
		defer cancel()
		records, next, err := f.source.Newest(ctx)
		if err != nil {
			return err
		}
		f.take(records, next, true, gap)
		return nil
	}
	wait := f.cfg.Wait
	if f.lost {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+f.cfg.Timeout)
	defer cancel()
	if !f.cfg.Sentinel {
		up, done := f.link.whileUp(ctx)
		defer done()
		ctx = up
	}
	records, next, err := f.source.Read(ctx, f.next, wait)
	if err != nil {
		return err
	}
	f.take(records, next, false, gap)
	return nil
}

// take hands on the records that are newer than those seen before.
func (f *Follower) take(records []Record, next int64, whole, gap bool) {
	f.goodAt, f.loaded = time.Now(), true
	fresh := make([]Record, 0, len(records))
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = true
		if seen, ok := f.offsets[r.Key]; ok && r.Offset <= seen {
			continue
		}
		f.offsets[r.Key] = r.Offset
		fresh = append(fresh, r)
	}
	if whole {
		for key, seen := range f.offsets {
			if !present[key] && seen < next {
				fresh = append(fresh, Record{Key: key, Offset: next})
				delete(f.offsets, key)
			}
		}
	}
	f.next = max(f.next, next)
	f.apply(Batch{Records: fresh, Whole: whole, Gap: gap})
}

func (f *Follower) failed(err error) {
	if f.cfg.Sentinel {
		f.link.set(true)
	}
	if !f.lost {
		f.lost = true
		f.log.Info("lost the store", "error", err.Error(), "next", f.next, "last_read_ms", time.Since(f.goodAt).Milliseconds())
	}
}

func (f *Follower) regained() {
	if f.cfg.Sentinel {
		f.link.set(false)
	}
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
