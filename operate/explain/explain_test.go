package explain

import (
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
