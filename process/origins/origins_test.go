package origins

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	t0 = time.Unix(1_700_000_000, 0)
	v1 = Origin{Service: "s", Version: "v1"}
	v2 = Origin{Service: "s", Version: "v2"}

	services = []string{"s"}
)

func TestFirstOriginOfStreamIsKept(t *testing.T) {
	c := qt.New(t)
	table := New(t0)
	table.Begin(t0, 1, v1)
	table.Merge(t0, []Begun{{Origin: v2, Streams: []Key{1, 2}}})
	c.Assert(*table.Answer(t0, 1, services).Origin, qt.Equals, v1)
	c.Assert(*table.Answer(t0, 2, services).Origin, qt.Equals, v2)
	table.Begin(t0.Add(2*minRetention), 3, v1)
	c.Assert(table.Answer(t0.Add(2*minRetention), 1, services).Origin, qt.IsNil)
	c.Assert(table.origins, qt.HasLen, 1)
}

func TestEachBeginIsSentTwice(t *testing.T) {
	c := qt.New(t)
	table := New(t0)
	table.Begin(t0, 1, v1)
	table.Begin(t0, 2, v2)
	first := table.TakeBegun()
	table.Begin(t0, 3, v1)
	c.Assert(first, qt.DeepEquals, []Begun{{v1, []Key{1}}, {v2, []Key{2}}})
	c.Assert(table.TakeBegun(), qt.DeepEquals, []Begun{{v1, []Key{1}}, {v2, []Key{2}}, {v1, []Key{3}}})
	c.Assert(table.TakeBegun(), qt.DeepEquals, []Begun{{v1, []Key{3}}})
	c.Assert(table.TakeBegun(), qt.HasLen, 0)
}

func TestTableIsBounded(t *testing.T) {
	c := qt.New(t)
	table := New(t0)
	for i := range Key(2 * maxStreams) {
		table.Merge(t0, []Begun{{Origin: v1, Streams: []Key{i}}})
	}
	c.Assert(table.origins, qt.HasLen, maxStreams)
	c.Assert(len(table.order), qt.Equals, maxStreams)
	c.Assert(table.Answer(t0, 2*maxStreams-1, services).Origin, qt.Not(qt.IsNil))
}

// A stream that no router knows goes on only where its version is certain.
func TestUnknownStreamNeedsSingleVersion(t *testing.T) {
	seen := func(complete bool, list ...Origin) Answer { return Answer{Complete: complete, Seen: list} }
	for name, test := range map[string]struct {
		answers []Answer
		want    Origin
	}{
		"one version for long":                 {[]Answer{seen(true, v1), seen(false, v1)}, v1},
		"one version, by a router that joined": {[]Answer{seen(false, v1)}, Origin{}},
		"two versions":                         {[]Answer{seen(true, v1, v2)}, Origin{}},
		"routers saw different versions":       {[]Answer{seen(true, v1), seen(true, v2)}, Origin{}},
		"none":                                 {[]Answer{seen(true)}, Origin{}},
		"a router knows it":                    {[]Answer{seen(true, v1, v2), {Origin: &v2}}, v2},
		"no answer":                            {nil, Origin{}},
	} {
		got, ok := Combine(test.answers)
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf("%s", name))
		qt.Check(t, ok, qt.Equals, test.want != Origin{}, qt.Commentf("%s", name))
	}
}

func TestVersionCountsUntilItsStreamsHaveEnded(t *testing.T) {
	c := qt.New(t)
	table := New(t0)
	table.Observe(t0, []Origin{v1})
	now := t0.Add(time.Minute)
	table.Observe(now, []Origin{v1, v2, {Service: "other", Version: "v9"}})
	c.Assert(table.Answer(now, 1, services).Seen, qt.DeepEquals, []Origin{v1, v2})
	for range 31 {
		now = now.Add(time.Second)
		table.Observe(now, []Origin{v2})
	}
	c.Assert(table.Answer(now, 1, services), qt.DeepEquals, Answer{Seen: []Origin{v2}, Complete: true})
}

func TestHistoryCoversRestartOfAllRouters(t *testing.T) {
	for _, test := range []struct {
		away time.Duration // until the history is read
		sole bool
	}{{3 * time.Second, true}, {-2 * time.Second, true}, {time.Minute, false}, {-time.Minute, false}} {
		c := qt.New(t)
		before := New(t0)
		before.Observe(t0.Add(time.Minute), []Origin{v1})
		now := t0.Add(time.Minute + test.away)
		after := New(now)
		after.Restore(now, before.History(t0.Add(time.Minute)))
		after.Observe(now, []Origin{v1})
		_, ok := Combine([]Answer{after.Answer(now, 1, services)})
		c.Assert(ok, qt.IsFalse) // another version may have come since the history was saved
		after.ConfirmRestored()
		_, ok = Combine([]Answer{after.Answer(now, 1, services)})
		c.Assert(ok, qt.Equals, test.sole, qt.Commentf("%v", test.away))
		after.Observe(now, []Origin{v2})
		_, ok = Combine([]Answer{after.Answer(now, 1, services)})
		c.Assert(ok, qt.IsFalse)
	}
}

func BenchmarkBegin(b *testing.B) {
	table := New(t0)
	for n := range b.N {
		table.Begin(t0.Add(time.Duration(n)*10*time.Millisecond), KeyOf(fmt.Sprint(n)), v1)
		if n%100 == 0 {
			table.TakeBegun()
		}
	}
}

func TestLongStreamsAreKept(t *testing.T) {
	c := qt.New(t)
	table := New(t0)
	table.SetStreamTime(2 * minRetention)
	table.Observe(t0, []Origin{v1})
	table.Begin(t0, 1, v1)
	now := t0.Add(2 * minRetention)
	table.Begin(now, 2, v2)
	table.Observe(now, []Origin{v2})
	c.Assert(*table.Answer(now, 1, services).Origin, qt.Equals, v1)
	c.Assert(table.Answer(now, 3, services).Seen, qt.DeepEquals, []Origin{v1, v2})
}

func TestFirstProcessKnowsAllVersions(t *testing.T) {
	c := qt.New(t)
	table := New(t0)
	table.Observe(t0, []Origin{v1})
	c.Assert(table.Answer(t0, 1, services).Complete, qt.IsFalse)
	table.SetFirst(t0)
	c.Assert(table.Answer(t0, 1, services), qt.DeepEquals, Answer{Seen: []Origin{v1}, Complete: true})
	later := t0.Add(5 * time.Second)
	after := New(later)
	after.Restore(later, table.History(t0))
	c.Assert(after.Answer(later, 1, services).Complete, qt.IsFalse)
	// A process that is lost before it read the saved streams passes its history on.
	again := New(later)
	again.Restore(later, after.History(later))
	again.ConfirmRestored()
	c.Assert(again.Answer(later, 1, services).Complete, qt.IsTrue)
	after.ConfirmRestored()
	c.Assert(after.Answer(later, 1, services).Complete, qt.IsTrue)
}

// While a service has several versions, the streams of it that all routers began are saved once, those
// of before the second version came included.
func TestStreamsAreSavedWhileSeveralVersionsServe(t *testing.T) {
	c := qt.New(t)
	table := New(t0)
	other := Origin{Service: "other", Version: "v1"}
	table.Observe(t0, []Origin{v1, other})
	table.Begin(t0, 1, v1)
	table.Begin(t0, 2, other)
	list, _, _ := table.Unsaved(t0)
	c.Assert(list, qt.HasLen, 0)
	c.Assert(table.TakeOwn(), qt.HasLen, 0)

	table.Begin(t0, 3, v2)
	table.Merge(t0, []Begun{{v1, []Key{4}}})
	table.MergeSaved(t0, []Begun{{v1, []Key{5}}})
	c.Assert(table.SeveralVersions(v1.Service), qt.IsTrue)
	c.Assert(table.SeveralVersions(other.Service), qt.IsFalse)
	c.Assert(table.TakeOwn(), qt.DeepEquals, []Begun{{v2, []Key{3}}})
	c.Assert(table.TakeOwn(), qt.HasLen, 0)
	want := []Begun{{v1, []Key{1, 4}}, {v2, []Key{3}}}
	list, end, rest := table.Unsaved(t0)
	c.Assert(list, qt.DeepEquals, want)
	c.Assert(rest, qt.IsFalse)
	list, _, _ = table.Unsaved(t0) // the write failed
	c.Assert(list, qt.DeepEquals, want)
	table.Begin(t0, 6, v2) // during the write
	table.Saved(end)
	list, end, _ = table.Unsaved(t0)
	c.Assert(list, qt.DeepEquals, []Begun{{v2, []Key{6}}})
	table.Saved(end)

	table.SaveAgain()
	list, _, _ = table.Unsaved(t0)
	c.Assert(list, qt.DeepEquals, []Begun{{v1, []Key{1, 4, 5}}, {v2, []Key{3, 6}}})
}

// Streams that were dropped shift no position, and a long list is returned in parts.
func TestUnsavedStreamsComeInParts(t *testing.T) {
	c := qt.New(t)
	table := New(t0)
	table.Observe(t0, []Origin{v1, v2})
	const streams = maxStreams + maxStreams/2
	for k := range Key(streams) {
		table.Merge(t0, []Begun{{v1, []Key{k}}})
	}
	seen := make(map[Key]bool)
	for more := true; more; {
		var list []Begun
		var end int64
		list, end, more = table.Unsaved(t0)
		for _, b := range list {
			c.Assert(len(b.Streams) <= maxUnsaved, qt.IsTrue)
			for _, k := range b.Streams {
				c.Assert(seen[k], qt.IsFalse)
				seen[k] = true
			}
		}
		table.Saved(end)
	}
	c.Assert(seen, qt.HasLen, maxStreams)
	c.Assert(seen[streams-1], qt.IsTrue)
	list, _, _ := table.Unsaved(t0.Add(2 * minRetention))
	c.Assert(list, qt.HasLen, 0)
}
