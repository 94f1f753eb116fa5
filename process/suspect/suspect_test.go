package suspect

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
)

var testNow = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

const crashLimit = 3

func newTable(c *qt.C) *Table {
	t, err := New(100, crashLimit)
	c.Assert(err, qt.IsNil)
	t.SetAuthority(testNow, true)
	return t
}

func ask(t *Table, now time.Time, f Fingerprint, endpoint string) *peerpb.SuspectReply {
	return t.Handle(now, &peerpb.Suspect{Fingerprint: uint64(f), Endpoint: endpoint}).Reply
}

func crashMessage(f Fingerprint, endpoint string, incarnation uint64, alone bool) *peerpb.Suspect {
	return &peerpb.Suspect{Fingerprint: uint64(f), Endpoint: endpoint, Boot: incarnation, Crashed: true, Alone: alone}
}

func clearMessage(f Fingerprint, endpoint string, alone bool) *peerpb.Suspect {
	return &peerpb.Suspect{Fingerprint: uint64(f), Endpoint: endpoint, Cleared: true, Alone: alone}
}

func TestCopiesShareOneEndpointUntilTrusted(t *testing.T) {
	c := qt.New(t)
	table := newTable(c)
	c.Check(ask(table, testNow, 7, "a").Endpoint, qt.Equals, "a")
	c.Check(ask(table, testNow, 7, "b").Endpoint, qt.Equals, "a")
	for range trustedRuns {
		table.Handle(testNow, clearMessage(7, "a", false))
	}
	c.Check(ask(table, testNow, 7, "b").Endpoint, qt.Equals, "")
}

func TestCrashingBodyIsBlockedAndHarmlessBodyCleared(t *testing.T) {
	c := qt.New(t)
	table := newTable(c)
	running := NewRunning()
	running.Start(1, 7, "a", 5, false)
	running.Start(2, 8, "a", 5, false)
	running.Start(3, 9, "a", 6, false)
	lost := running.EndpointLost("a", 5)
	c.Assert(lost, qt.HasLen, 2)
	for _, m := range lost {
		result := table.Handle(testNow, m)
		c.Check(Verdict(result.Reply.Verdict), qt.Equals, Suspected)
		c.Check(result.Forward, qt.Equals, ForwardToNextHome)
	}
	c.Check(running.End(1, "a", false), qt.IsNil)

	c.Check(ask(table, testNow, 7, "b").Endpoint, qt.Equals, "b")
	c.Check(ask(table, testNow, 7, "c").WaitMs > 0, qt.IsTrue, qt.Commentf("one at a time"))
	c.Check(ask(table, testNow, 8, "c").Endpoint, qt.Equals, "c")
	result := table.Handle(testNow, clearMessage(8, "c", true))
	c.Check(Verdict(result.Reply.Verdict), qt.Equals, None)
	result = table.Handle(testNow, crashMessage(7, "b", 1, true))
	c.Check(Verdict(result.Reply.Verdict), qt.Equals, Blocked)
	c.Check(result.Forward, qt.Equals, ForwardToAll)

	other := newTable(c)
	other.ApplyNotice(testNow, result.Notice)
	c.Check(other.Verdict(testNow, 7), qt.Equals, Blocked)
	c.Check(other.Verdict(testNow, 8), qt.Equals, None)
}

func TestBlockEndsInOneLastTrialRun(t *testing.T) {
	c := qt.New(t)
	table := newTable(c)
	table.Handle(testNow, crashMessage(7, "a", 1, false))
	table.Handle(testNow, crashMessage(7, "b", 1, true))
	c.Check(Verdict(ask(table, testNow, 7, "c").Verdict), qt.Equals, Blocked)
	later := testNow.Add(blockFor)
	reply := ask(table, later, 7, "c")
	c.Check(Verdict(reply.Verdict), qt.Equals, Suspected)
	c.Check(reply.Endpoint, qt.Equals, "c")
	table.Handle(later, crashMessage(7, "c", 1, true))
	for range 100 { // each request renews the block
		later = later.Add(blockForLong)
		c.Assert(Verdict(ask(table, later, 7, "d").Verdict), qt.Equals, Blocked)
	}
}

func TestHomeWithoutAuthorityRunsNoSuspect(t *testing.T) {
	c := qt.New(t)
	table := newTable(c)
	table.Handle(testNow, crashMessage(7, "a", 1, false))
	table.SetAuthority(testNow, false)
	c.Check(ask(table, testNow, 7, "b").WaitMs > 0, qt.IsTrue)
	table.SetAuthority(testNow.Add(time.Second), true)
	c.Check(ask(table, testNow, 7, "b").WaitMs > 0, qt.IsTrue)
	c.Check(ask(table, testNow.Add(time.Second), 7, "b").WaitMs, qt.Equals, uint32(0))
}

func TestStandbyRunsNoSuspect(t *testing.T) {
	c := qt.New(t)
	table := newTable(c)
	question := &peerpb.Suspect{Fingerprint: 7, Endpoint: "a"}
	c.Check(table.HandleAsStandby(testNow, question).Reply.Endpoint, qt.Equals, "a")
	table.ApplyNotice(testNow, crashMessage(7, "a", 1, false))
	c.Check(table.HandleAsStandby(testNow, question).Reply.WaitMs > 0, qt.IsTrue)
	table.ApplyNotice(testNow, crashMessage(7, "b", 1, true))
	c.Check(Verdict(table.HandleAsStandby(testNow, question).Reply.Verdict), qt.Equals, Blocked)
}

func TestFloodOfBodiesDoesNotEvictBlockedBody(t *testing.T) {
	c := qt.New(t)
	table := newTable(c)
	table.Handle(testNow, crashMessage(7, "a", 1, true))
	for f := range Fingerprint(1000) {
		ask(table, testNow, f+100, "a")
	}
	c.Check(table.Verdict(testNow, 7), qt.Equals, Blocked)
}

func TestLostZoneDoesNotBlockTrustedBody(t *testing.T) {
	c := qt.New(t)
	table := newTable(c)
	for range trustedRuns {
		ask(table, testNow, 7, "a")
		table.Handle(testNow, clearMessage(7, "a", false))
	}
	for _, endpoint := range []string{"a", "b", "c", "d"} {
		result := table.Handle(testNow, crashMessage(7, endpoint, 1, false))
		c.Check(Verdict(result.Reply.Verdict), qt.Equals, Suspected)
	}
	c.Check(ask(table, testNow, 7, "e").Endpoint, qt.Equals, "e")
	result := table.Handle(testNow, clearMessage(7, "e", true))
	c.Check(Verdict(result.Reply.Verdict), qt.Equals, None)
}

func TestFingerprintSeparatesItsParts(t *testing.T) {
	c := qt.New(t)
	a := FingerprintOf("ab", "c", "", []byte("x"))
	c.Check(FingerprintOf("a", "bc", "", []byte("x")), qt.Not(qt.Equals), a)
	c.Check(FingerprintOf("ab", "c", "x", nil), qt.Not(qt.Equals), a)
	c.Check(FingerprintOf("ab", "c", "", []byte("x")), qt.Equals, a)
}

func TestRouterThatStartedLaterLearnsOfSuspects(t *testing.T) {
	c := qt.New(t)
	table, started := newTable(c), newTable(c)
	table.Handle(testNow, crashMessage(1, "a", 1, false))
	table.Handle(testNow, crashMessage(2, "a", 1, false))
	table.Handle(testNow, crashMessage(2, "b", 1, true))
	for range trustedRuns {
		ask(table, testNow, 3, "a")
		table.Handle(testNow, clearMessage(3, "a", false))
	}
	for _, endpoint := range []string{"a", "b", "c"} {
		table.Handle(testNow, crashMessage(3, endpoint, 1, false))
	}
	for range 2 {
		for _, m := range table.Notices(testNow) {
			started.ApplyNotice(testNow, m)
		}
	}
	c.Check(started.Verdict(testNow, 1), qt.Equals, Suspected)
	c.Check(started.Verdict(testNow, 2), qt.Equals, Blocked)
	c.Check(started.Verdict(testNow, 3), qt.Equals, None)
	c.Check(started.Verdict(testNow, 4), qt.Equals, None)
}
