package node_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/connection/caller"
	"github.com/stoatmount/stoatmount/lab/fleet"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// chatResult is how a chat completion ended that is no stream.
type chatResult struct {
	status  int
	refusal caller.ErrorResponse
	err     error
	early   bool // the response came before the end of the grace period
}

func askChat(f *fleet.Fleet, tokens string) (r chatResult) {
	body := `{"messages":[{"role":"user","content":"` + tokens + `"}],"max_tokens":` + tokens + `}`
	request, err := http.NewRequest(http.MethodPost, "http://"+f.CallerAddresses()[0]+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return chatResult{err: err}
	}
	request.Header.Set(caller.HeaderWorkspace, "w")
	request.Header.Set(caller.HeaderKind, "chat")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return chatResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	r.status = response.StatusCode
	r.err = json.NewDecoder(response.Body).Decode(&r.refusal)
	return r
}

// Guards against requests that are taken until the end of the grace period, and cut without a response there.
func TestEndOfTheGracePeriodIsAnswered(t *testing.T) {
	c := qt.New(t)
	const grace = 4 * time.Second
	f := startFleet(c)
	router := f.Routers[0].Node
	before, late := make(chan chatResult, 1), make(chan chatResult, 1)
	go func() { before <- askChat(f, "10000") }()
	waitFor(c, "the first request", func() bool { return f.Site.Stats().Executions == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	time.AfterFunc(grace*5/8, func() {
		r := askChat(f, "9999")
		r.early = ctx.Err() == nil
		late <- r
	})
	router.Shutdown(ctx)

	r := <-before
	c.Assert(r.err, qt.IsNil)
	c.Check(r.refusal.Code, qt.Equals, outcome.Draining)
	c.Check(r.refusal.Run, qt.Not(qt.Equals), outcome.RunNot)
	r = <-late
	c.Assert(r.err, qt.IsNil)
	c.Check(r.refusal.Code, qt.Equals, outcome.Draining)
	c.Check(r.refusal.Run, qt.Equals, outcome.RunNot)
	c.Check(r.early, qt.IsTrue)
}

// Guards against requests that a process takes while it is being stopped, though another one could, and ends before they are complete.
func TestStoppingProcessTakesNoRequestThatItMayHaveToEnd(t *testing.T) {
	c := qt.New(t)
	const grace = 4 * time.Second
	f := startRouters(c, 2)
	waitFor(c, "a request", func() bool { return askChat(f, "1").status == http.StatusOK })
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	late := make(chan chatResult, 1)
	time.AfterFunc(grace/8, func() { late <- askChat(f, "9999") })
	f.Routers[0].Node.Shutdown(ctx)
	r := <-late
	c.Assert(r.err, qt.IsNil)
	c.Check(r.refusal.Code, qt.Equals, outcome.Draining)
	c.Check(r.refusal.Run, qt.Equals, outcome.RunNot)
	c.Check(r.refusal.Address, qt.Equals, f.CallerAddresses()[1])
}
