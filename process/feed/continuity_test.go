package feed

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// certainty records which removals were applied as certain, and how often readers confirmed some.
type certainty struct {
	view
	certain   map[string]bool
	confirmed atomic.Int64
}

func (v *certainty) apply(b Batch) {
	v.view.apply(b)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.certain == nil {
		v.certain = make(map[string]bool)
	}
	for _, r := range b.Records {
		if !b.Gap && r.Value == nil {
			v.certain[r.Key] = true
		}
	}
}

func (v *certainty) isCertain(key string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.certain[key]
}

// pausedReader returns a running follower that has read its log and now pauses between two reads, until the
// returned function is called.
func pausedReader(c *qt.C, l *log, v *certainty, isReader func() bool) (f *Follower, resume func()) {
	l.put("a", "1")
	var interval atomic.Int64
	interval.Store(int64(300 * time.Millisecond))
	f = New(Config{Name: "x", LongPoll: constant(20 * time.Millisecond), Timeout: 200 * time.Millisecond, ProbesReachability: true,
		MinInterval: func() time.Duration { return time.Duration(interval.Load()) }, IsReader: isReader,
		OnConfirmed: func() { v.confirmed.Add(1) }}, NewReachability(), l, logr.Discard(), v.apply)
	run(c, f)
	eventually(c, func() bool { return v.get("a") == "1" })
	return f, func() { interval.Store(0) }
}

func yes() bool { return true }

// relayAfterGap offers what is new in the log as a reader does that had lost it.
func relayAfterGap(f *Follower, l *log) {
	from := f.Next()
	page, _ := l.Read(context.Background(), from, 0)
	f.Offer(Batch{From: from, Next: page.Next, Records: page.Records, Gap: true, Era: page.Era})
}

// Guards against one reader's trouble that makes all others keep an endpoint that has left.
func TestReaderConfirmsRemovalsRelayedAfterAGap(t *testing.T) {
	c := qt.New(t)
	l, v := newLog(), &certainty{}
	f, resume := pausedReader(c, l, v, yes)
	l.put("a", "")
	relayAfterGap(f, l)
	c.Assert(v.get("a"), qt.Equals, "")
	resume()
	eventually(c, func() bool { return v.isCertain("a") })
	c.Assert(v.confirmed.Load(), qt.Equals, int64(1))
}

// Guards against removals that are confirmed by a process which cannot tell: its own reads failed as well,
// it does not read for others, the entry is back, or the log came back from an older copy.
func TestOthersDoNotConfirmRemovalsRelayedAfterAGap(t *testing.T) {
	lose := func(c *qt.C, f *Follower, l *log) {
		l.set(func(context.Context) error { return errors.New("refused") })
		eventually(c, func() bool { return !f.Reachable() })
	}
	for name, form := range map[string]struct {
		isReader      func() bool
		before, after func(c *qt.C, f *Follower, l *log)
	}{
		"log was away":         {yes, lose, func(_ *qt.C, _ *Follower, l *log) { l.set(nil) }},
		"log away after relay": {yes, nil, func(c *qt.C, f *Follower, l *log) { lose(c, f, l); l.set(nil) }},
		"no reader":            {func() bool { return false }, nil, nil},
		"entry back":           {yes, nil, func(_ *qt.C, _ *Follower, l *log) { l.put("a", "2") }},
		"new era":              {yes, nil, func(_ *qt.C, _ *Follower, l *log) { l.rewind(1, func() {}) }},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l, v := newLog(), &certainty{}
			f, resume := pausedReader(c, l, v, form.isReader)
			if form.before != nil {
				form.before(c, f, l)
			}
			l.put("a", "")
			relayAfterGap(f, l)
			if form.after != nil {
				form.after(c, f, l)
			}
			resume()
			l.put("b", "1")
			if name == "no reader" {
				eventually(c, func() bool { f.ObserveOffset(time.Now(), 0, 3); return v.get("b") == "1" })
			}
			eventually(c, func() bool { return v.get("b") == "1" })
			c.Assert(v.isCertain("a"), qt.IsFalse)
			c.Assert(v.confirmed.Load(), qt.Equals, int64(0))
		})
	}
}

// Guards against removals that are confirmed by a read which began after the log was back, while the long poll before
// it had been given up and could not tell.
func TestLongPollThatWasGivenUpConfirmsNothing(t *testing.T) {
	c := qt.New(t)
	l, v := newLog(), &certainty{}
	l.put("a", "1")
	f := New(Config{Name: "x", LongPoll: constant(time.Hour), Timeout: time.Second, ProbesReachability: true,
		OnConfirmed: func() { v.confirmed.Add(1) }}, NewReachability(), l, logr.Discard(), v.apply)
	run(c, f)
	eventually(c, func() bool { return v.get("a") == "1" })
	l.mu.Lock()
	l.records = append(l.records, Record{Key: "a", Offset: 1}) // the long poll is not woken
	l.mu.Unlock()
	time.Sleep(f.maxPause() + 50*time.Millisecond)
	f.Offer(Batch{From: 1, Next: 2, Gap: true, Records: []Record{{Key: "a", Offset: 1}}})
	f.ReadNow(time.Now())
	l.put("b", "1")
	eventually(c, func() bool { return v.get("b") == "1" })
	c.Assert(v.isCertain("a"), qt.IsFalse)
	c.Assert(v.confirmed.Load(), qt.Equals, int64(0))
}

// Guards against a standstill of this process that is told to the others as a loss of the log, and against records
// that are taken for followed although the log may have been away meanwhile.
func TestStandstillIsNoLossOfTheLog(t *testing.T) {
	for _, late := range []time.Duration{2 * maxTimerDelay, 4 * maxTimerDelay} {
		c := qt.New(t)
		l, v := newLog(), &view{}
		l.put("a", "1")
		var lost atomic.Int64
		gaps := make(chan bool, 10)
		run(c, New(Config{Name: "x", LongPoll: constant(20 * time.Millisecond), Timeout: 50 * time.Millisecond, ProbesReachability: true,
			OnLost: func() { lost.Add(1) }, Publish: func(b Batch) { gaps <- b.Gap }}, NewReachability(), l, logr.Discard(), v.apply))
		eventually(c, func() bool { return v.get("a") == "1" })
		l.set(func(ctx context.Context) error {
			<-ctx.Done()
			time.Sleep(late) // nothing of the process runs
			l.put("a", "")
			l.mu.Lock()
			l.fault = nil
			l.mu.Unlock()
			return ctx.Err()
		})
		c.Assert(<-gaps, qt.IsTrue)
		eventually(c, func() bool { return v.get("a") == "" })
		l.put("b", "1")
		c.Assert(<-gaps, qt.IsFalse)
		c.Assert(lost.Load(), qt.Equals, int64(0))
	}
}

// Guards against a process whose deadlines are always noticed late and that never tells that it lost the log.
func TestSecondStandstillInARowIsALoss(t *testing.T) {
	c := qt.New(t)
	l, v := newLog(), &view{}
	l.put("a", "1")
	lost := make(chan struct{}, 10)
	f := New(Config{Name: "x", LongPoll: constant(20 * time.Millisecond), Timeout: 50 * time.Millisecond, ProbesReachability: true,
		OnLost: func() { lost <- struct{}{} }}, NewReachability(), l, logr.Discard(), v.apply)
	run(c, f)
	eventually(c, func() bool { return v.get("a") == "1" })
	l.set(func(ctx context.Context) error {
		<-ctx.Done()
		time.Sleep(2 * maxTimerDelay)
		return ctx.Err()
	})
	select {
	case <-lost:
	case <-time.After(10 * time.Second):
		c.Fatal("no loss was told")
	}
	c.Assert(f.Reachable(), qt.IsFalse)
}
