package forward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/version/routing"
)

// A request that cannot go on elsewhere waits longer for an endpoint that falls silent.
func TestSilenceOfEndpointIsBorneByRequestsThatCannotGoOnElsewhere(t *testing.T) {
	c := qt.New(t)
	for _, kind := range []struct {
		route routing.Route
		want  time.Duration
	}{
		{routing.Route{Kind: routing.NonIdempotent}, onlyAckTimeout},
		{routing.Route{Kind: routing.Stream}, onlyAckTimeout},
		{routing.Route{Kind: routing.Idempotent}, repeatableAckTimeout},
		{routing.Route{Kind: routing.Stream, Resumable: true}, repeatableAckTimeout},
	} {
		j := job{route: &kind.route}
		c.Assert(j.ackTimeout(), qt.Equals, kind.want)
	}
}
