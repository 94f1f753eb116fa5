package feed

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// log is an in-memory topic.
type log struct {
	mu      sync.Mutex
	records []Record
	first   int64
	era     int64
	fault   func(ctx context.Context) error
	reads   int
	changed chan struct{}
}

func newLog() *log { return &log{changed: make(chan struct{})} }

func (l *log) put(key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Record{Key: key, Offset: l.first + int64(len(l.records))}
	if value != "" {
		r.Value = []byte(value)
	}
	l.records = append(l.records, r)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *log) set(fault func(ctx context.Context) error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
}

func (l *log) begin(ctx context.Context) error {
	l.mu.Lock()
	l.reads++
	fault := l.fault
	l.mu.Unlock()
	if fault != nil {
		return fault(ctx)
	}
	return nil
}

func (l *log) Newest(ctx context.Context) (Page, error) {
	if err := l.begin(ctx); err != nil {
		return Page{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := make(map[string]Record)
	for _, r := range l.records {
		newest[r.Key] = r
	}
	var list []Record
	for _, r := range newest {
		if r.Value != nil {
			list = append(list, r)
		}
	}
	return Page{list, l.first + int64(len(l.records)), l.era}, nil
}

func (l *log) Read(ctx context.Context, from int64, wait time.Duration) (Page, error) {
	if err := l.begin(ctx); err != nil {
		return Page{}, err
	}
	deadline := time.After(wait)
	for {
		l.mu.Lock()
		end, changed, era := l.first+int64(len(l.records)), l.changed, l.era
		if from < l.first || from > end {
			l.mu.Unlock()
			return Page{}, ErrExpired
		}
		if from < end || wait == 0 {
			list := append([]Record(nil), l.records[from-l.first:]...)
			l.mu.Unlock()
			return Page{list, end, era}, nil
		}
		l.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			return Page{nil, end, era}, nil
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
}

// view holds the values that a follower passed on.
type view struct {
	mu   sync.Mutex
	keys map[string]string
	gaps int
}

func (v *view) apply(b Batch) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.keys == nil {
		v.keys = make(map[string]string)
	}
	if b.Gap {
		v.gaps++
	}
	for _, r := range b.Records {
		if r.Value == nil {
			delete(v.keys, r.Key)
		} else {
			v.keys[r.Key] = string(r.Value)
		}
	}
}

func (v *view) get(key string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.keys[key]
}

func eventually(c *qt.C, f func() bool) {
	c.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if f() {
			return
		}
	}
	c.Fatal("condition not met")
}

func run(c *qt.C, f *Follower) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	c.Cleanup(func() { cancel(); <-done })
}

func TestFollowsNewRecords(t *testing.T) {
	c := qt.New(t)
	l, v := newLog(), &view{}
	l.put("a", "1")
	run(c, New(Config{Name: "x", LongPoll: constant(time.Minute), Timeout: time.Second, ProbesReachability: true}, NewReachability(), l, logr.Discard(), v.apply))
	eventually(c, func() bool { return v.get("a") == "1" })
	l.put("a", "2")
	l.put("b", "1")
	eventually(c, func() bool { return v.get("a") == "2" && v.get("b") == "1" })
	l.put("b", "")
	eventually(c, func() bool { return v.get("b") == "" })
}

// Guards against an older record that is taken for newer because of its key.
func TestNewestRecordsAreAppliedInTheOrderOfTheirWrites(t *testing.T) {
	c := qt.New(t)
	var got []Record
	f := New(Config{Name: "x"}, NewReachability(), nil, logr.Discard(), func(b Batch) { got = append(got, b.Records...) })
	value := []byte("1")
	f.acceptOwn(Batch{Snapshot: true, Next: 9, Records: []Record{{"a", value, 7}, {"b", value, 2}, {"c", value, 5}}}, time.Now())
	c.Assert(got, qt.DeepEquals, []Record{{"b", value, 2}, {"c", value, 5}, {"a", value, 7}})
	got = nil
	f.acceptOwn(Batch{Snapshot: true, Next: 12, Records: []Record{{"a", value, 11}, {"c", value, 10}}}, time.Now())
	c.Assert(got, qt.DeepEquals, []Record{{"c", value, 10}, {"a", value, 11}, {"b", nil, 12}})
}

// A log that becomes unresponsive during a long poll is detected by the probing
// follower, which wakes the others; none keeps waiting once the log responds again.
func TestUnresponsiveLogDuringLongPoll(t *testing.T) {
	c := qt.New(t)
	l, other := newLog(), newLog()
	v, w := &view{}, &view{}
	reachability := NewReachability()
	run(c, New(Config{Name: "x", LongPoll: constant(100 * time.Millisecond), Timeout: 100 * time.Millisecond, ProbesReachability: true}, reachability, l, logr.Discard(), v.apply))
	run(c, New(Config{Name: "y", LongPoll: constant(time.Hour), Timeout: 100 * time.Millisecond}, reachability, other, logr.Discard(), w.apply))
	l.put("a", "1")
	eventually(c, func() bool { return v.get("a") == "1" })
	other.put("b", "0")
	eventually(c, func() bool { return w.get("b") == "0" })
	unresponsive := func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
	l.set(unresponsive)
	other.set(unresponsive) // the current long poll gets no response either
	other.mu.Lock()
	other.changed = make(chan struct{})
	other.mu.Unlock()
	time.Sleep(400 * time.Millisecond)
	l.set(nil)
	other.set(nil)
	l.put("a", "2")
	other.put("b", "1")
	back := time.Now()
	eventually(c, func() bool { return v.get("a") == "2" && w.get("b") == "1" })
	c.Assert(time.Since(back) < 3*time.Second, qt.IsTrue)
	v.mu.Lock()
	defer v.mu.Unlock()
	c.Assert(v.gaps > 0, qt.IsTrue)
}

// Guards against entries that expired with the log and are taken for removed, by a follower that
// made no read itself while another one found the log unreachable.
func TestFollowerThatWaitedForTheLogHasAGap(t *testing.T) {
	c := qt.New(t)
	l, v := newLog(), &view{}
	l.put("a", "1")
	reachability := NewReachability()
	pausing := make(chan struct{}, 1)
	run(c, New(Config{Name: "x", LongPoll: constant(20 * time.Millisecond), Timeout: time.Second, MinInterval: func() time.Duration {
		select {
		case pausing <- struct{}{}:
		default:
		}
		return 100 * time.Millisecond
	}}, reachability, l, logr.Discard(), v.apply))
	eventually(c, func() bool { return v.get("a") == "1" })
	<-pausing
	<-pausing
	reachability.setUnreachable(true)
	time.Sleep(300 * time.Millisecond) // until it waits
	l.put("a", "")
	reachability.setUnreachable(false)
	eventually(c, func() bool { return v.get("a") == "" })
	v.mu.Lock()
	gaps := v.gaps
	v.mu.Unlock()
	c.Assert(gaps > 0, qt.IsTrue)
	l.put("a", "2")
	eventually(c, func() bool { return v.get("a") == "2" })
	v.mu.Lock()
	defer v.mu.Unlock()
	c.Assert(v.gaps, qt.Equals, gaps)
}

// After the history expired, the newest records replace everything; a key does not
// go back to an older record, and missing keys were removed.
func TestExpiredHistoryAndStaleReads(t *testing.T) {
	c := qt.New(t)
	v := &view{}
	f := New(Config{Name: "x", Timeout: time.Second, ProbesReachability: true}, NewReachability(), nil, logr.Discard(), v.apply)
	f.acceptOwn(Batch{Snapshot: true, Next: 10, Records: []Record{{Key: "a", Value: []byte("new"), Offset: 9}, {Key: "b", Value: []byte("x"), Offset: 3}}}, time.Now())
	f.acceptOwn(Batch{Snapshot: true, Next: 6, Records: []Record{{Key: "a", Value: []byte("old"), Offset: 4}, {Key: "b", Value: []byte("x"), Offset: 3}}}, time.Now())
	c.Assert(v.get("a"), qt.Equals, "new")
	c.Assert(f.Next(), qt.Equals, int64(10))
	f.acceptOwn(Batch{Snapshot: true, Next: 12, Records: []Record{{Key: "a", Value: []byte("new"), Offset: 9}}}, time.Now())
	c.Assert(v.get("b"), qt.Equals, "")

	l, w := newLog(), &view{}
	l.put("a", "1")
	g := New(Config{Name: "x", LongPoll: constant(20 * time.Millisecond), Timeout: time.Second, ProbesReachability: true}, NewReachability(), l, logr.Discard(), w.apply)
	run(c, g)
	eventually(c, func() bool { return w.get("a") == "1" })
	l.mu.Lock()
	l.first, l.records = 50, []Record{{Key: "c", Value: []byte("3"), Offset: 50}}
	l.mu.Unlock()
	eventually(c, func() bool { return w.get("c") == "3" && w.get("a") == "" })
}

// A process that does not read the log applies offered batches, and reads what it
// missed.
func TestRelayedRecords(t *testing.T) {
	c := qt.New(t)
	l := newLog()
	l.put("a", "1")
	v, w := &view{}, &view{}
	no := func() bool { return false }
	var follower *Follower
	relay := true
	var mu sync.Mutex
	reader := New(Config{Name: "x", LongPoll: constant(time.Minute), Timeout: time.Second, ProbesReachability: true, Publish: func(b Batch) {
		mu.Lock()
		defer mu.Unlock()
		if relay {
			follower.Offer(b)
		}
	}}, NewReachability(), l, logr.Discard(), v.apply)
	follower = New(Config{Name: "x", LongPoll: constant(time.Minute), Timeout: time.Second, ProbesReachability: true, IsReader: no}, NewReachability(), l, logr.Discard(), w.apply)
	run(c, follower)
	run(c, reader)
	eventually(c, func() bool { return v.get("a") == "1" && w.get("a") == "1" })
	l.mu.Lock()
	before := l.reads
	l.mu.Unlock()
	l.put("a", "2")
	eventually(c, func() bool { return w.get("a") == "2" })
	l.mu.Lock()
	c.Assert(l.reads-before <= 2, qt.IsTrue)
	l.mu.Unlock()
	mu.Lock()
	relay = false // lost datagrams
	mu.Unlock()
	l.put("a", "3")
	l.put("b", "1")
	eventually(c, func() bool { return v.get("b") == "1" })
	c.Assert(w.get("a"), qt.Equals, "2")
	eventually(c, func() bool {
		follower.ObserveOffset(time.Now(), 0, reader.Next())
		return w.get("a") == "3" && w.get("b") == "1"
	})
	follower.Offer(Batch{From: 100, Next: 101, Records: []Record{{Key: "z", Value: []byte("1"), Offset: 100}}})
	c.Assert(w.get("z"), qt.Equals, "") // does not continue the known records
}

// A failed read is retried with backoff.
func TestFailedReadsAreRetriedWithBackoff(t *testing.T) {
	c := qt.New(t)
	l, v := newLog(), &view{}
	l.set(func(context.Context) error { return errors.New("refused") })
	f := New(Config{Name: "x", LongPoll: constant(time.Minute), Timeout: time.Second, ProbesReachability: true}, NewReachability(), l, logr.Discard(), v.apply)
	run(c, f)
	time.Sleep(500 * time.Millisecond)
	l.mu.Lock()
	c.Assert(l.reads > 1 && l.reads < 6, qt.IsTrue)
	l.mu.Unlock()
	c.Assert(f.Reachable(), qt.IsFalse)
	l.put("a", "1")
	l.set(nil)
	eventually(c, func() bool { return v.get("a") == "1" && f.Reachable() })
}

// The first read is no long poll: a log that is unresponsive while a process starts
// is read again soon.
func TestFirstReadIsNoLongPoll(t *testing.T) {
	c := qt.New(t)
	l, v := newLog(), &view{}
	l.put("a", "1")
	l.set(func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
	run(c, New(Config{Name: "x", LongPoll: constant(time.Hour), Timeout: 50 * time.Millisecond, ProbesReachability: true}, NewReachability(), l, logr.Discard(), v.apply))
	time.Sleep(100 * time.Millisecond)
	l.set(nil)
	eventually(c, func() bool { return v.get("a") == "1" })
}

// A process that does not read the log reads it at once when it is told to, and one that
// does gives up a long poll whose connection may be unresponsive.
func TestReadNow(t *testing.T) {
	const timeout = 500 * time.Millisecond
	for _, reader := range []bool{false, true} {
		c := qt.New(t)
		l, v := newLog(), &view{}
		l.put("a", "1")
		f := New(Config{Name: "x", LongPoll: constant(time.Hour), Timeout: timeout, ProbesReachability: true, IsReader: func() bool { return reader }}, NewReachability(), l, logr.Discard(), v.apply)
		run(c, f)
		eventually(c, func() bool { return v.get("a") == "1" })
		time.Sleep(timeout + 50*time.Millisecond) // lets the long poll of a reader begin
		l.mu.Lock()
		l.records = append(l.records, Record{Key: "a", Value: []byte("2"), Offset: 1}) // no long poll is woken
		l.mu.Unlock()
		f.ReadNow(time.Now())
		eventually(c, func() bool { return v.get("a") == "2" })
		c.Assert(f.Reachable(), qt.IsTrue)
		l.mu.Lock()
		reads := l.reads
		l.mu.Unlock()
		for range 100 {
			f.ReadNow(f.lastReadTime().Add(timeout - 1))
		}
		time.Sleep(10 * time.Millisecond)
		l.mu.Lock()
		c.Assert(l.reads-reads <= 1, qt.IsTrue, qt.Commentf("%d reads", l.reads-reads)) // that of a reader that goes on
		l.mu.Unlock()
	}
}

// lastReadTime returns when f read the log last.
func (f *Follower) lastReadTime() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastReadAt
}

// A log that falls silent is found out LongPollTimeout after the long poll, once.
func TestLostLogIsTold(t *testing.T) {
	c := qt.New(t)
	l, v := newLog(), &view{}
	l.put("a", "1")
	lost := make(chan struct{}, 10)
	run(c, New(Config{Name: "x", LongPoll: constant(20 * time.Millisecond), Timeout: time.Hour, LongPollTimeout: 50 * time.Millisecond,
		ProbesReachability: true, OnLost: func() { lost <- struct{}{} }}, NewReachability(), l, logr.Discard(), v.apply))
	eventually(c, func() bool { return v.get("a") == "1" })
	l.set(func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
	<-lost
	time.Sleep(100 * time.Millisecond)
	c.Assert(lost, qt.HasLen, 0)
}

// A long poll whose connection has become unresponsive for good, while others work,
// ends when another process reports newer records.
func TestUnresponsiveConnectionDuringLongPoll(t *testing.T) {
	c := qt.New(t)
	l, v := newLog(), &view{}
	l.put("a", "1")
	f := New(Config{Name: "x", LongPoll: constant(time.Hour), Timeout: time.Second, ProbesReachability: true}, NewReachability(), l, logr.Discard(), v.apply)
	run(c, f)
	eventually(c, func() bool { return v.get("a") == "1" })
	l.mu.Lock()
	reads := l.reads
	l.mu.Unlock()
	eventually(c, func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.reads >= reads })
	time.Sleep(20 * time.Millisecond) // lets the long poll begin
	l.mu.Lock()
	l.records = append(l.records, Record{Key: "a", Value: []byte("2"), Offset: 1}) // the long poll is not woken
	l.mu.Unlock()
	eventually(c, func() bool {
		f.ObserveOffset(time.Now(), 0, 2)
		return v.get("a") == "2"
	})
	c.Assert(f.Reachable(), qt.IsTrue)
}

func constant(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// rewind brings the log back from a copy that has its first n records. It calls before ahead
// of the first read that sees the copy.
func (l *log) rewind(n int, before func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = l.records[:n:n]
	l.era++
	close(l.changed)
	l.changed = make(chan struct{})
	before()
}

// A log that comes back from an older copy gives offsets out again: their new records
// count, those of the earlier era do not, and the reads do not spin.
func TestLogFromOlderCopy(t *testing.T) {
	c := qt.New(t)
	l := newLog()
	l.put("a", "1")
	l.put("b", "1")
	var mu sync.Mutex
	var batches []Batch
	eras := make(chan int64, 10)
	f := New(Config{Name: "t", LongPoll: func() time.Duration { return 200 * time.Millisecond }, Timeout: time.Second,
		OnEra: func(era int64) { eras <- era }}, NewReachability(), l, logr.Discard(), func(b Batch) {
		mu.Lock()
		defer mu.Unlock()
		batches = append(batches, b)
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	await := func(next, era int64) {
		c.Helper()
		for range 1000 {
			if f.Next() == next && f.Era() == era {
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
		c.Fatalf("next %d in era %d", f.Next(), f.Era())
	}
	await(2, 0)
	l.put("c", "1")
	l.put("d", "1")
	await(4, 0)
	l.rewind(2, func() {})
	await(2, 1)
	c.Assert(<-eras, qt.Equals, int64(1))
	mu.Lock()
	last := batches[len(batches)-1]
	mu.Unlock()
	c.Assert(last.Rewound && last.Gap && last.Snapshot, qt.IsTrue)
	removed := 0
	for _, r := range last.Records {
		if r.Value == nil {
			removed++
		}
	}
	c.Assert(removed, qt.Equals, 2) // c and d
	l.put("c", "2")
	await(3, 1)
	f.Offer(Batch{From: 3, Next: 4, Records: []Record{{Key: "d", Value: []byte("1"), Offset: 3}}}) // relayed in the earlier era
	f.ObserveOffset(time.Now(), 0, 9)
	c.Assert(f.Next(), qt.Equals, int64(3))
	l.mu.Lock()
	before := l.reads
	l.mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	l.mu.Lock()
	c.Assert(l.reads-before <= 5, qt.IsTrue, qt.Commentf("%d reads", l.reads-before))
	l.mu.Unlock()
	l.rewind(1, func() { // by one that saw the era first
		f.Offer(Batch{From: 1, Next: 2, Era: 2, Records: []Record{{Key: "e", Value: []byte("1"), Offset: 1}}})
	})
	await(1, 2)
}
