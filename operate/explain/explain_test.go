package explain

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// A refusal for want of room says whether the endpoints were full or the request
// gave way.
func TestCauseOfARefusalUnderLoad(t *testing.T) {
	c := qt.New(t)
	full := Line{Code: int(outcome.EndpointAtCap), Status: 503, Load: 9.5, Limit: 10, Rank: 1}
	c.Assert(cause(full), qt.Matches, ".*full.*9.5 requests of at most 10.0.")
	gaveWay := Line{Code: int(outcome.EndpointAtCap), Status: 503, Load: 7, Limit: 10, Rank: 2}
	c.Assert(cause(gaveWay), qt.Matches, ".*more urgent or shorter.*rank was 2.")
}
