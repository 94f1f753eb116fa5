package explain

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// A refusal under overload distinguishes full endpoints from a request that was shed for its rank.
func TestCauseOfRefusalUnderOverload(t *testing.T) {
	c := qt.New(t)
	full := Line{Code: int(outcome.EndpointAtCap), Status: 503, Load: 9.5, Limit: 10, Rank: 1}
	c.Assert(cause(full), qt.Matches, ".*full.*9.5 requests of at most 10.0.")
	shed := Line{Code: int(outcome.EndpointAtCap), Status: 503, Load: 7, Limit: 10, Rank: 2}
	c.Assert(cause(shed), qt.Matches, ".*more urgent or shorter.*rank was 2.")
}

// Guards against an explanation that takes a router's belief about an endpoint's load for the load itself.
func TestCauseOfALateRequestNamesTheLoadThatItsEndpointReported(t *testing.T) {
	c := qt.New(t)
	late := Line{Code: int(outcome.OK), Status: 200, Running: 2, Reported: 21}
	c.Check(latenessCause(late), qt.Equals, "Late at an endpoint that ran 2 other requests when it was chosen, as far as known; with its response it had 21.")
}

// Guards against two attempts on one connection that look like attempts on two.
func TestExplanationOfARequestThatWasSentTwiceOnOneConnection(t *testing.T) {
	c := qt.New(t)
	outcomeOf := func(connections ...string) string {
		return describeOutcome(Line{Connections: connections, ResponsesDiscarded: 2})
	}
	c.Check(outcomeOf("a:1->b:2", "", "", "a:1->b:2"), qt.Contains, "2 responses to other requests discarded, sent twice on connection a:1->b:2")
	c.Check(outcomeOf("a:1->b:2", "", "", "a:3->b:2"), qt.Not(qt.Contains), "twice")
}

// Guards against a cut stream whose explanation does not tell a wrong expectation from a slow or silent endpoint.
func TestExplanationOfALateStreamThatWasCut(t *testing.T) {
	c := qt.New(t)
	const text = `{"time":"2026-01-02T03:04:05Z","level":"info","msg":"request","host":"h","request":"x","route":"r","config":7,"result":"caller_gone",` +
		`"code":1013,"took_ms":4400,"events":37,"draining_ms":3210,"left_ms":4390,"bound_ms":2800,` +
		`"failed":[{"endpoint":"e","failure":"abandoned","run":"unknown","ended_by":"process","silent_ms":12,"events":37,"event_ms":90.5}]}`
	lines, err := Read(strings.NewReader(text))
	c.Assert(err, qt.IsNil)
	got, err := Explain(lines, "x")
	c.Assert(err, qt.IsNil)
	c.Assert(got.Steps, qt.HasLen, 3)
	c.Check(got.Steps[0].Text, qt.Equals,
		`arrived; route "r" of configuration 7, 3210 ms after the router's SIGTERM, expected to take at most 2800 ms with 4390 ms left`)
	c.Check(got.Steps[1].Text, qt.Contains, "ended by the process 12 ms after the endpoint's last bytes, 37 events, one each 90.5 ms")
}
