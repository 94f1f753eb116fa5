package forward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/connection/frontend"
	"github.com/stoatmount/stoatmount/version/routing"
)

// A request that cannot go on elsewhere, or whose body may fill the endpoint's window, waits longer for an endpoint that falls silent.
func TestSilenceOfEndpointIsBorneByRequestsThatCannotGoOnElsewhere(t *testing.T) {
	c := qt.New(t)
	for _, kind := range []struct {
		route       routing.Route
		body        int
		want, taken time.Duration
	}{
		{routing.Route{Kind: routing.NonIdempotent}, 0, longAckTimeout, longAckTimeout},
		{routing.Route{Kind: routing.Stream}, 0, longAckTimeout, longAckTimeout},
		{routing.Route{Kind: routing.Idempotent}, 0, repeatableAckTimeout, repeatableAckTimeout},
		{routing.Route{Kind: routing.Stream, Resumable: true}, 0, repeatableAckTimeout, repeatableAckTimeout},
		{routing.Route{Kind: routing.Stream, Resumable: true}, leastWindow + 1, longAckTimeout, repeatableAckTimeout},
	} {
		j := job{route: &kind.route, x: &frontend.Exchange{Body: make([]byte, kind.body)}}
		c.Assert(j.ackTimeout(false), qt.Equals, kind.want)
		c.Assert(j.ackTimeout(true), qt.Equals, kind.taken)
	}
}
