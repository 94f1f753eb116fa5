package ledger

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/process/invariant"
	"github.com/stoatmount/stoatmount/request/outcome"
)

const runNot = outcome.RunNot

// seekMargin is how much older than the window the first record that is
// replayed may be.
const seekMargin = 2 * maxAhead

// Run follows and appends until ctx ends.
func (s *Shard) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { s.runTail(ctx) })
	wg.Go(func() { s.runFlush(ctx) })
	wg.Wait()
}

func (s *Shard) runTail(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.Tail(ctx, s.opt.Poll); err != nil && ctx.Err() == nil {
			s.opt.Logger.V(1).Info("ledger cannot be read", "stream", s.stream, "error", err.Error())
			s.pause(ctx, retryAfter)
		}
	}
}

// runFlush commits as soon as there is something to append, but not more often
// than once per FlushEvery.
func (s *Shard) runFlush(ctx context.Context) {
	var last time.Time
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.kick:
		case <-s.opt.Clock.After(s.opt.Poll):
		}
		if rest := s.opt.FlushEvery - s.opt.Clock.Since(last); rest > 0 {
			s.pause(ctx, rest)
		}
		last = s.opt.Clock.Now()
		s.flushOnce(ctx)
	}
}

// flushOnce makes one group commit and asks for another if records are left.
func (s *Shard) flushOnce(ctx context.Context) {
	tried, err := s.Flush(ctx)
	if err != nil {
		s.opt.Logger.V(1).Info("ledger append failed", "stream", s.stream, "error", err.Error())
		s.pause(ctx, retryAfter)
	}
	if tried {
		s.signalKick()
	}
}

func (s *Shard) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.opt.Clock.After(d):
	}
}

// Tail reads the shard's stream once, from where the fold is to the end, and
// waits up to wait for records.
func (s *Shard) Tail(ctx context.Context, wait time.Duration) error {
	if err := s.open(ctx); err != nil {
		return err
	}
	for {
		asked := s.opt.Clock.Now()
		page, err := s.opt.Log.Read(ctx, s.stream, s.next(), readLimit, wait)
		if errors.Is(err, platformclient.ErrExpired) {
			s.restart(page.First)
			continue
		}
		if err != nil {
			return err
		}
		atEnd, err := s.take(page, asked)
		if err != nil || atEnd {
			return err
		}
		wait = 0
	}
}

func (s *Shard) next() platformclient.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.Next()
}

// restart begins a fold at first, as older records have expired.
func (s *Shard) restart(first platformclient.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = false
	s.fold = NewFold(first, s.opt.Window, s.opt.ResponseBytes)
}

// open finds the offset from which the records of one window are replayed.
func (s *Shard) open(ctx context.Context) error {
	s.mu.Lock()
	opened := s.fold != nil
	s.mu.Unlock()
	if opened {
		return nil
	}
	first, err := s.seek(ctx)
	if err != nil {
		return err
	}
	s.restart(first)
	return nil
}

// seek searches for the newest record that is older than the window, or the
// oldest one if none is.
func (s *Shard) seek(ctx context.Context) (platformclient.Offset, error) {
	page, err := s.opt.Log.Read(ctx, s.stream, 1, 1, 0)
	if err != nil && !errors.Is(err, platformclient.ErrExpired) {
		return 0, err
	}
	low, high := max(page.First, 1), page.End
	newest, err := s.timeAt(ctx, high-1, low)
	if err != nil || newest.IsZero() {
		return low, err
	}
	oldest := newest.Add(-s.opt.Window - seekMargin)
	for low+1 < high {
		middle := low + (high-low)/2
		at, err := s.timeAt(ctx, middle, low)
		if err != nil {
			return 0, err
		}
		if at.Before(oldest) {
			low = middle
		} else {
			high = middle
		}
	}
	return low, nil
}

// timeAt returns when the record at offset was taken by the log, or the zero
// time if there is no record from low on or it has expired meanwhile.
func (s *Shard) timeAt(ctx context.Context, offset, low platformclient.Offset) (time.Time, error) {
	if offset < low {
		return time.Time{}, nil
	}
	page, err := s.opt.Log.Read(ctx, s.stream, offset, 1, 0)
	if errors.Is(err, platformclient.ErrExpired) || err == nil && len(page.Records) == 0 {
		return time.Time{}, nil
	}
	if err != nil {
		return time.Time{}, err
	}
	return page.Records[0].At, nil
}

// take applies a page that was asked for at asked. It reports whether the end
// was reached.
func (s *Shard) take(page platformclient.Page, asked time.Time) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range page.Records {
		if r.Offset > s.fold.Next() {
			return false, errors.Wrapf(errGap, "%s at %d", s.stream, r.Offset)
		}
		s.applyLocked(r)
	}
	if s.fold.Next() < page.End {
		return false, nil
	}
	s.ready = true
	s.end = asked
	s.settleSentLocked(asked)
	s.markLocked()
	return true, nil
}

// markLocked appends a record without effect if all records have expired. Its
// time tells from when on the claims are known.
func (s *Shard) markLocked() {
	if s.marked || !s.fold.now.IsZero() || s.fold.Next() == 1 {
		return
	}
	s.marked = true
	s.enqueue(&waiting{record: record{Op: opMark}})
}

func (s *Shard) applyLocked(r platformclient.Record) {
	event, ok := s.fold.Apply(r)
	s.stats.Replayed++
	if !ok || !event.Claim {
		return
	}
	result := event.Result
	if event.DuplicateWinner {
		s.fail(event)
		result = Result{State: Lost}
	}
	for _, t := range s.waiters[event.Attempt] {
		t.settle(result)
	}
	delete(s.waiters, event.Attempt)
}

// fail reports a second winner for a key.
func (s *Shard) fail(event Event) {
	s.opt.Checker.Check(false, invariant.AtMostOnce, func() string {
		return fmt.Sprintf("%s: attempt %x won key %s, as another had", s.stream, event.Attempt, event.Key)
	})
}

// settleSentLocked drops the records that are known to be in the log and
// appends those again of which the log's end, read at asked, shows that they
// are not.
func (s *Shard) settleSentLocked(asked time.Time) {
	kept := s.sent[:0]
	for _, w := range s.sent {
		switch {
		case !w.sent.Before(asked):
			kept = append(kept, w)
		case !s.recordedLocked(w):
			s.stats.Reappended++
			s.enqueue(w)
		}
	}
	clear(s.sent[len(kept):])
	s.sent = kept
}

// recordedLocked reports whether w needs not be appended again, as it is in
// the log or would have no effect.
func (s *Shard) recordedLocked(w *waiting) bool {
	if w.ticket != nil {
		return w.ticket.Result().State != Unsettled
	}
	if w.record.Op == opMark {
		return !s.fold.now.IsZero()
	}
	return s.fold.has(w.record)
}
