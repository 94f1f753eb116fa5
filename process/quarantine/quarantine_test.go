package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/process/suspect"
)

var t0 = time.Unix(1_700_000_000, 0)

func newTable() *Table {
	return New(func(Change) {}, func(suspect.Fingerprint) bool { return true })
}

// crash records a run of body f that began and crashed its endpoint.
func crash(t *Table, now time.Time, f suspect.Fingerprint) {
	sent, _ := t.Check(now, f)
	t.Crashed(now, f, sent, "e", now)
}

func refused(t *Table, now time.Time, f suspect.Fingerprint) bool {
	_, wait := t.Check(now, f)
	return wait > 0
}

func TestConsecutiveCrashesQuarantineBody(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	for range crashLimit {
		c.Assert(refused(table, t0, 1), qt.IsFalse)
		crash(table, t0, 1)
	}
	c.Assert(refused(table, t0, 1), qt.IsTrue)
	c.Assert(refused(table, t0, 2), qt.IsFalse)
}

func TestEndpointsLostTogetherCountAsOneCrash(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	sent, _ := table.Check(t0, 1)
	for i := range 3 * crashLimit {
		table.Crashed(t0, 1, sent, fmt.Sprint("e", i), t0)
	}
	c.Assert(refused(table, t0, 1), qt.IsFalse)
}

// Copies that were sent before the first crash was known, but are lost one by one.
func TestEndpointsLostOneByOneCount(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	sent, _ := table.Check(t0, 1)
	for i := range crashLimit {
		c.Assert(refused(table, t0, 1), qt.IsFalse)
		table.Crashed(t0.Add(time.Duration(i)*crashSpacing), 1, sent, fmt.Sprint("e", i), t0)
	}
	c.Assert(refused(table, t0, 1), qt.IsTrue)
}

// Copies that are sent at once crash several endpoints before any router knows of the body.
func TestCopiesLostTogetherCountOnceALaterCopyCrashes(t *testing.T) {
	c := qt.New(t)
	tables := []*Table{newTable(), newTable(), newTable()}
	for i, table := range tables {
		sent, _ := table.Check(t0, 1)
		table.Crashed(t0, 1, sent, fmt.Sprint("e", i), t0)
	}
	for _, from := range tables {
		for _, to := range tables {
			to.Merge(t0, from.Reports(t0))
		}
	}
	now := t0.Add(time.Second)
	c.Assert(refused(tables[0], now, 1), qt.IsFalse)
	crash(tables[0], now, 1)
	c.Assert(refused(tables[0], now, 1), qt.IsTrue)
}

// A rack goes down within the crash spacing while a router retries copies.
func TestRetriesDuringALossOfManyEndpointsDoNotCount(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	sent, _ := table.Check(t0, 1)
	for i := range 3 * crashLimit {
		table.Crashed(t0, 1, sent, fmt.Sprint("e", i), t0)
	}
	sent, _ = table.Check(t0, 1)
	table.Crashed(t0.Add(crashSpacing/2), 1, sent, "retry", t0.Add(crashSpacing/3))
	c.Assert(refused(table, t0.Add(crashSpacing), 1), qt.IsFalse)
}

func TestCompletedRunClearsBody(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	for range 5 * crashLimit {
		sent, _ := table.Check(t0, 1)
		table.Crashed(t0, 1, sent, "e", t0)
		table.Completed(t0, 1)
		table.Crashed(t0, 1, sent, "e", t0) // of a copy that was sent before the completed run
		c.Assert(refused(table, t0, 1), qt.IsFalse)
	}
}

// Copies of a quarantined body arrive all the time: one at a time runs as a trial, ever
// more rarely, until one completes.
func TestQuarantinedBodyIsTriedRarely(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	for range crashLimit {
		crash(table, t0, 1)
	}
	trials, now := 0, t0
	for ; now.Sub(t0) < 8*time.Hour; now = now.Add(time.Second) {
		sent, wait := table.Check(now, 1)
		if wait == 0 {
			trials++
			c.Assert(refused(table, now, 1), qt.IsTrue)
			table.Crashed(now, 1, sent, "e", now)
		}
	}
	c.Assert(trials, qt.Equals, 11) // after 2, 4, 8, 16, 32 minutes and then each 64 minutes
	_, wait := table.Check(now, 1)
	now = now.Add(wait)
	c.Assert(refused(table, now, 1), qt.IsFalse)
	table.Completed(now, 1)
	c.Assert(refused(table, now, 1), qt.IsFalse)
}

func TestOnlyOneRouterRunsTrials(t *testing.T) {
	c := qt.New(t)
	table := New(func(Change) {}, func(suspect.Fingerprint) bool { return false })
	for range crashLimit {
		crash(table, t0, 1)
	}
	c.Assert(refused(table, t0.Add(quietTime/2), 1), qt.IsTrue)
}

func TestBodyIsForgottenWhenNoCopyArrives(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	for range crashLimit {
		crash(table, t0, 1)
	}
	c.Assert(refused(table, t0.Add(quietTime), 1), qt.IsFalse)
	c.Assert(table.Empty(), qt.IsTrue)
}

// Routers agree whatever reports get lost, come twice or come in another order.
func TestReportsConverge(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tables := []*Table{newTable(), newTable(), newTable()}
		var sentReports [][]Report
		for range 60 {
			table := tables[rng.IntN(len(tables))]
			f := suspect.Fingerprint(1 + rng.IntN(2))
			switch {
			case f == 1 || rng.IntN(3) > 0:
				if !refused(table, t0, f) {
					crash(table, t0, f)
				}
			default:
				table.Completed(t0, f)
			}
			sentReports = append(sentReports, table.Reports(t0))
			if len(sentReports) > 0 && rng.IntN(3) > 0 {
				tables[rng.IntN(len(tables))].Merge(t0, sentReports[rng.IntN(len(sentReports))])
			}
		}
		for range 2 {
			for _, from := range tables {
				for _, to := range tables {
					to.Merge(t0, from.Reports(t0))
				}
			}
		}
		for f := suspect.Fingerprint(1); f <= 2; f++ {
			want, _ := tables[0].Check(t0, f)
			for _, table := range tables[1:] {
				got, _ := table.Check(t0, f)
				c.Assert(got, qt.Equals, want, qt.Commentf("seed %d, body %d", seed, f))
			}
		}
		c.Assert(refused(tables[0], t0, 1), qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}

func TestQuarantinedBodyIsReportedAmongMany(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	for range crashLimit {
		crash(table, t0, 1)
	}
	for f := range suspect.Fingerprint(2 * maxRecords) {
		crash(table, t0.Add(time.Second), f+2)
	}
	reports := table.Reports(t0.Add(time.Second))
	c.Assert(reports, qt.HasLen, maxReports)
	c.Assert(reports[0].Fingerprint, qt.Equals, suspect.Fingerprint(1))
	other := newTable()
	other.Merge(t0, reports)
	c.Assert(refused(other, t0, 1), qt.IsTrue)
	c.Assert(len(table.records) <= maxRecords, qt.IsTrue)
}

func TestEachOfManyQuarantinedBodiesIsToldAndFreed(t *testing.T) {
	c := qt.New(t)
	from, to := newTable(), newTable()
	now := t0
	tell := func() {
		for range 4 {
			now = now.Add(250 * time.Millisecond)
			to.Merge(now, from.Reports(now))
		}
	}
	const bodies = suspect.Fingerprint(3 * maxReports)
	for f := range bodies {
		for range crashLimit {
			crash(from, t0, f)
		}
	}
	tell()
	for f := range bodies {
		c.Assert(refused(to, now, f), qt.IsTrue, qt.Commentf("body %d was not told", f))
	}
	now = now.Add(firstTrial)
	from.Completed(now, bodies/2)
	tell()
	c.Assert(refused(to, now, bodies/2), qt.IsFalse)
	state, _ := to.Check(now, bodies/2)
	c.Assert(state, qt.Equals, State{Resets: 1})
}

// Copies of a body that completes all the time run at each endpoint, so that each crash takes one along,
// whatever caused it. While no endpoint of the service is there for 2 s, none completes.
func TestCrashesOfAServiceDoNotBlameABodyThatCompletes(t *testing.T) {
	c := qt.New(t)
	tables := []*Table{newTable(), newTable()}
	exchange := func(now time.Time) {
		tables[0].Merge(now, tables[1].Reports(now))
		tables[1].Merge(now, tables[0].Reports(now))
	}
	for _, table := range tables {
		table.Completed(t0, 1)
	}
	now := t0
	for i := range 6 {
		now = t0.Add(time.Duration(i) * 400 * time.Millisecond)
		crash(tables[i%2], now, 1)
		exchange(now)
		if now.Sub(t0) < provenBodyTime {
			c.Assert(refused(tables[0], now, 1) || refused(tables[1], now, 1), qt.IsFalse, qt.Commentf("crash %d", i+1))
		}
	}
	// It goes on to crash endpoints and never completes again.
	c.Assert(refused(tables[0], now, 1) && refused(tables[1], now, 1), qt.IsTrue)
}

func TestFourCrashesOfABodyThatCompletedDoNotBlameIt(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	table.Completed(t0, 1)
	for i := range provenBodyCrashes - 1 {
		crash(table, t0.Add(time.Duration(i)*time.Second), 1)
	}
	c.Assert(refused(table, t0.Add(time.Minute), 1), qt.IsFalse)
	crash(table, t0.Add(time.Minute), 1)
	c.Assert(refused(table, t0.Add(time.Minute), 1), qt.IsTrue)
}

// A request crashes all endpoints of its service within a moment after the start. A sound body that many callers
// send is lost with each of them before any router has seen a copy complete. Whichever is tried first, the crashing
// one takes one endpoint more at the most.
func TestSoundBodyThatIsLostBesideACrashingOneIsFreeSoon(t *testing.T) {
	const sound, crashing = suspect.Fingerprint(1), suspect.Fingerprint(2)
	for _, order := range [][]suspect.Fingerprint{{sound, crashing}, {crashing, sound}} {
		c := qt.New(t)
		tables := []*Table{newTable(), newTable()}
		exchange := func(now time.Time) {
			tables[0].Merge(now, tables[1].Reports(now))
			tables[1].Merge(now, tables[0].Reports(now))
		}
		now := t0
		for i := range crashLimit {
			now = now.Add(40 * time.Millisecond)
			for _, f := range order {
				table := tables[int(f)%2]
				sent, _ := table.Check(now, f)
				table.Crashed(now, f, sent, fmt.Sprint("e", i), now)
			}
			exchange(now)
		}
		c.Assert(refused(tables[0], now, sound), qt.IsTrue)
		trials := make(map[suspect.Fingerprint]int)
		for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(100 * time.Millisecond) {
			for _, f := range order {
				sent, wait := tables[0].Check(now, f)
				if wait > 0 {
					continue
				}
				trials[f]++
				if f == sound {
					tables[0].Completed(now, f)
				} else {
					tables[0].Crashed(now, f, sent, fmt.Sprint("e", trials[f]), now)
				}
				exchange(now)
			}
			if now.Sub(t0) > 2*time.Second {
				c.Assert(refused(tables[1], now, sound), qt.IsFalse)
				c.Assert(refused(tables[1], now, crashing), qt.IsTrue)
			}
		}
		c.Assert(trials[crashing] <= 1, qt.IsTrue, qt.Commentf("%d trials", trials[crashing]))
		c.Assert(trials[sound] > 1, qt.IsTrue)
	}
}
