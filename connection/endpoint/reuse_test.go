package endpoint

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestDrainedAnswerLeavesItsConnectionForReuse(t *testing.T) {
	c := qt.New(t)
	address := serve(c, echo(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
		_ = http.NewResponseController(w).Flush()
	}))
	client := NewClient(nil)
	request := booking(address, "{}")
	request.NonIdempotent = false
	reused := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }}
	for range 2 {
		answer, refusal := client.Do(httptrace.WithClientTrace(context.Background(), trace), request)
		c.Assert(refusal == nil, qt.IsTrue)
		_, err := io.ReadFull(answer.Body, make([]byte, len("data: [DONE]\n\n")))
		c.Assert(err, qt.IsNil)
		answer.Drain()
		c.Assert(answer.Body.Close(), qt.IsNil)
	}
	c.Check(reused, qt.IsTrue)
}
