package forward

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/connection/http1"
)

// Guards against a request that is sent again on a connection which has refused so many others since that it has forgotten it.
func TestRequestKnowsTheConnectionsThatAnsweredIt(t *testing.T) {
	c := qt.New(t)
	conn, other := &http1.Conn{}, &http1.Conn{}
	j := &job{req: Request{ID: "own"}}
	j.recordAnswered(conn)
	for request := range uint64(1000) {
		conn.RecordAnswered(request)
	}
	c.Assert(conn.HasAnswered(j.requestHash()), qt.IsFalse)
	c.Assert(j.usable()(conn), qt.IsFalse)
	c.Assert(j.usable()(other), qt.IsTrue)
}
