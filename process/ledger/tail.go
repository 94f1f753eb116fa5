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

// seekMargin: replay starts with a record at least Window+seekMargin older than the newest, if any.
const seekMargin = 2 * maxClockAhead

// Run reads from and appends to the stream until ctx ends.
func (s *Shard) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { s.runTail(ctx) })
	wg.Go(func() { s.runFlush(ctx) })
	wg.Wait()
}

func (s *Shard) runTail(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.Tail(ctx, s.opt.PollWait); err != nil && ctx.Err() == nil {
			s.opt.Logger.V(1).Info("ledger read failed", "stream", s.stream, "error", err.Error())
			s.pause(ctx, retryAfter)
		}
	}
}

// runFlush commits as soon as there is something to append, and tries every
// PollWait, but at most once per FlushEvery.
func (s *Shard) runFlush(ctx context.Context) {
	var last time.Time
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.flushWake:
		case <-s.opt.Clock.After(s.opt.PollWait):
		}
		if rest := s.opt.FlushEvery - s.opt.Clock.Since(last); rest > 0 {
			s.pause(ctx, rest)
		}
		last = s.opt.Clock.Now()
		s.flushOnce(ctx)
	}
}

// flushOnce makes one group commit and schedules another after it, as records may be left.
func (s *Shard) flushOnce(ctx context.Context) {
	tried, err := s.Flush(ctx)
	if err != nil {
		s.opt.Logger.V(1).Info("ledger append failed", "stream", s.stream, "error", err.Error())
		s.pause(ctx, retryAfter)
	}
	if tried {
		s.signalFlush()
	}
}

func (s *Shard) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.opt.Clock.After(d):
	}
}

// Tail reads the stream once, from the next record to apply to the end. It waits
// up to wait for records.
func (s *Shard) Tail(ctx context.Context, wait time.Duration) error {
	if err := s.open(ctx); err != nil {
		return err
	}
	for {
		requestedAt := s.opt.Clock.Now()
		page, err := s.opt.Log.Read(ctx, s.stream, s.next(), readLimit, wait)
		if errors.Is(err, platformclient.ErrExpired) {
			s.startFold(page.First)
			continue
		}
		if err != nil {
			return err
		}
		atEnd, err := s.applyPage(page, requestedAt)
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

// startFold begins a new Fold at offset first.
func (s *Shard) startFold(first platformclient.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = false
	s.fold = NewFold(first, s.opt.Window, s.opt.ResponseBytes)
}

// open starts the replay at the first call, from the offset that seek finds.
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
	s.startFold(first)
	return nil
}

// seek searches for the newest record that is older than the last one by more
// than the window and seekMargin, or the oldest one if none is.
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

// timeAt returns the time of the record at offset by the log's clock. It returns
// the zero time if offset is below low or there is no such record any more.
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

// applyPage applies a page that was requested at requestedAt. It reports whether
// the end of the stream was reached.
func (s *Shard) applyPage(page platformclient.Page, requestedAt time.Time) (bool, error) {
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
	s.requeueLostLocked(requestedAt)
	s.enqueueMarkLocked()
	return true, nil
}

// enqueueMarkLocked enqueues a mark if all records have expired. The Fold learns
// the log's time from it and knows all claims after that time.
func (s *Shard) enqueueMarkLocked() {
	if s.markEnqueued || !s.fold.now.IsZero() || s.fold.Next() == 1 {
		return
	}
	s.markEnqueued = true
	s.enqueue(&pendingRecord{record: record{Op: opMark}})
}

func (s *Shard) applyLocked(r platformclient.Record) {
	event, ok := s.fold.Apply(r)
	s.stats.RecordsRead++
	if !ok || !event.Claim {
		return
	}
	result := event.Result
	if event.DuplicateWinner {
		s.reportDuplicateWinner(event)
		result = Result{State: Lost}
	}
	for _, p := range s.waiters[event.Attempt] {
		p.resolve(result)
	}
	delete(s.waiters, event.Attempt)
}

// reportDuplicateWinner reports a second winner of a key as a violated invariant.
func (s *Shard) reportDuplicateWinner(event Event) {
	s.opt.Checker.Check(false, invariant.AtMostOnce, func() string {
		return fmt.Sprintf("%s: attempt %x won key %s, which another attempt had won", s.stream, event.Attempt, event.Key)
	})
}

// requeueLostLocked drops the sent records that are in the log. requestedAt is
// when a read that reached the end of the log began. A record that was sent
// before it and was not found is enqueued again.
func (s *Shard) requeueLostLocked(requestedAt time.Time) {
	kept := s.sent[:0]
	for _, w := range s.sent {
		switch {
		case !w.sentAt.Before(requestedAt):
			kept = append(kept, w)
		case !s.isRecordedLocked(w):
			s.stats.Reappended++
			s.enqueue(w)
		}
	}
	clear(s.sent[len(kept):])
	s.sent = kept
}

// isRecordedLocked reports whether w need not be appended again, because it is in
// the log or would have no effect.
func (s *Shard) isRecordedLocked(w *pendingRecord) bool {
	if w.claim != nil {
		return w.claim.Result().State != Unsettled
	}
	if w.record.Op == opMark {
		return !s.fold.now.IsZero()
	}
	return s.fold.isRecorded(w.record)
}
