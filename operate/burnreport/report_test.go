package burnreport

import (
	"bytes"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/connection/operator"
	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/process/burn"
	"github.com/stoatmount/stoatmount/version/config"
)

var at = time.Date(2026, 3, 1, 18, 30, 0, 0, time.UTC)

// counted returns the record of a router that counted n requests a minute from started
// to ended. About badPerThousand(minute) of 1000 get a random result other than in time.
func counted(host string, started, ended time.Time, n int, badPerThousand func(minute time.Time) int) burn.Record {
	recorder := burn.NewRecorder(host, 1, "a", started)
	random := rand.New(rand.NewPCG(1, uint64(len(host))))
	for minute := started; minute.Before(ended); minute = minute.Add(time.Minute) {
		for range n {
			result := burn.InTime
			if random.IntN(1000) < badPerThousand(minute) {
				result = burn.Result(1 + random.IntN(4))
			}
			recorder.Count(minute, "booth-booking", result)
		}
	}
	return recorder.Snapshot(ended, started)
}

// gathered returns the counters that a router gathers from records. live names
// the routers that are still running.
func gathered(records []burn.Record, live ...string) api.Burn {
	union := burn.MergeAll(records)
	counters := api.Burn{At: at, Kinds: operator.SumCounts(slices.Clone(configured), union)}
	for _, r := range union {
		counters.Processes = append(counters.Processes, api.Process{
			Host: r.Host, Incarnation: r.Incarnation, Started: r.Started, Final: r.Final, Live: slices.Contains(live, r.Host),
		})
	}
	return counters
}

func always(n int) func(time.Time) int { return func(time.Time) int { return n } }

func kind(c *qt.C, r Report, name string) Kind {
	for _, k := range r.Kinds {
		if k.Kind == name {
			return k
		}
	}
	c.Fatalf("no kind %q", name)
	return Kind{}
}

var configured = []api.KindCounts{{Kind: "booth-booking", Objective: 0.99}, {Kind: "quiet", Objective: 0.9}}

func TestBurnOverPairsOfWindows(t *testing.T) {
	c := qt.New(t)
	// Half of the requests fail in the last ten minutes, none before: a burn of
	// 50 over 5 minutes, but little over six hours.
	badPerThousand := func(minute time.Time) int {
		if at.Sub(minute) <= 10*time.Minute {
			return 500
		}
		return 0
	}
	record := counted("entry-1", at.Add(-7*time.Hour), at.Add(time.Second), 20, badPerThousand)
	r := New(gathered([]burn.Record{record}, "entry-1"), nil)
	k := kind(c, r, "booth-booking")
	c.Check(k.Windows[0].Length, qt.Equals, 5*time.Minute)
	c.Check(k.Windows[0].Burn > 40 && k.Windows[0].Burn < 60, qt.IsTrue, qt.Commentf("%v", k.Windows))
	c.Check(k.Windows[0].Requests, qt.Equals, uint64(100))
	c.Check(k.Windows[3].Complete, qt.IsTrue)
	c.Check(k.Pairs[0].Burning, qt.Equals, k.Windows[2].Burn > 14.4)
	c.Check(k.Pairs[1].Burning, qt.IsFalse)
	c.Check(k.Requests, qt.Equals, uint64(421*20))
	c.Check(VerdictOf(kind(c, r, "quiet")), qt.Equals, VerdictNoRequests)
}

func TestEveryProcessCountsOnceAcrossReplicas(t *testing.T) {
	c := qt.New(t)
	live := counted("entry-1", at.Add(-time.Hour), at, 5, always(0))
	lost := counted("entry-22", at.Add(-time.Hour), at.Add(-time.Minute), 5, always(0))
	ended := lost
	ended.Incarnation, ended.Final = 2, true
	counters := gathered([]burn.Record{live, lost, ended, lost, live}, "entry-1")
	counters.Unresponsive, counters.Unknown = []string{"entry-3"}, []string{"entry-3"}
	r := New(counters, nil)
	c.Check(kind(c, r, "booth-booking").Requests, qt.Equals, uint64(5*(60+59+59)))
	c.Check(r.Routers, qt.Equals, Routers{Live: 1, Unresponsive: 1, Ended: 1, Lost: 1})
	notes := strings.Join(r.Caveats, "\n")
	c.Check(notes, qt.Contains, "One router process ended without a final report")
	c.Check(notes, qt.Contains, "No counts of these live routers are known: entry-3")
	c.Check(kind(c, r, "booth-booking").Windows[3].Complete, qt.IsFalse)
}

func TestOutagesFromHistoryAndMarks(t *testing.T) {
	c := qt.New(t)
	zone := &config.Target{Scope: config.ScopeZone, Name: "xela-b"}
	host := config.Target{Scope: config.ScopeHost, Name: "entry-1"}
	changes := []api.Change{ // newest first
		{At: at.Add(-time.Hour), Target: zone, Accepted: true},
		{At: at.Add(-90 * time.Minute), Target: zone, Out: true},
		{At: at.Add(-2 * time.Hour), Target: zone, Out: true, Accepted: true, Author: "ana"},
		{At: at.Add(-8 * time.Hour), Target: zone, Accepted: true},
		{At: at.Add(-9 * time.Hour), Target: zone, Out: true, Accepted: true},
	}
	marks := []config.OutOfService{{Target: host, Since: at.Add(-time.Minute), Author: "luis"}}
	c.Check(outages(changes, marks, at), qt.DeepEquals, []Outage{
		{Target: *zone, From: at.Add(-2 * time.Hour), To: at.Add(-time.Hour), By: "ana"},
		{Target: host, From: at.Add(-time.Minute), By: "luis"},
	})
}

func TestPageIsSelfContained(t *testing.T) {
	c := qt.New(t)
	badPerThousand := func(minute time.Time) int {
		if gap := at.Sub(minute); gap > 60*time.Minute && gap < 95*time.Minute {
			return 120
		}
		return 3
	}
	record := counted("entry-1", at.Add(-5*time.Hour), at, 40, badPerThousand)
	zone := config.Target{Scope: config.ScopeZone, Name: "xela-b"}
	changes := []api.Change{
		{At: at.Add(-60 * time.Minute), Target: &zone, Accepted: true},
		{At: at.Add(-95 * time.Minute), Target: &zone, Out: true, Accepted: true, Author: "<b>ana"},
	}
	var page bytes.Buffer
	r := New(gathered([]burn.Record{record}), changes)
	c.Assert(HTML(&page, r), qt.IsNil)
	for _, outside := range []string{"http:", "https:", "<script", "<link", "src=", "<b>ana", "ZgotmplZ"} {
		c.Check(strings.Contains(page.String(), outside), qt.IsFalse, qt.Commentf("%s", outside))
	}
	c.Check(strings.Count(page.String(), "<svg"), qt.Equals, 2)
	c.Check(strings.Count(page.String(), "xela-b out</text>"), qt.Equals, 2)
	if file := os.Getenv("STOATMOUNT_TEST_PAGE"); file != "" { // to look at the page
		c.Assert(os.WriteFile(file, page.Bytes(), 0o600), qt.IsNil)
	}
}
