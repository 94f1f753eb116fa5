package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/standin/engine"
	"github.com/stoatmount/stoatmount/standin/fault"
)

// chat is one request of a test.
type chat struct {
	id, session, text string
	priority          int
	maxTokens         int
	stream            bool
}

func (q chat) messages() []protocol.Message {
	return []protocol.Message{{Role: "user", Content: q.text}}
}

func start(c *qt.C, options engine.Options) *engine.Engine {
	e, err := engine.Start("", options)
	c.Assert(err, qt.IsNil)
	c.Cleanup(e.Close)
	return e
}

func (q chat) send(c *qt.C, e *engine.Engine) (*http.Response, error) {
	body, err := json.Marshal(protocol.ChatRequest{Messages: q.messages(), MaxTokens: q.maxTokens, Stream: q.stream})
	c.Assert(err, qt.IsNil)
	req, err := http.NewRequest(http.MethodPost, e.URL()+protocol.PathChat, bytes.NewReader(body))
	c.Assert(err, qt.IsNil)
	req.Header.Set(protocol.HeaderRequestID, q.id)
	req.Header.Set(protocol.HeaderSession, q.session)
	req.Header.Set(protocol.HeaderPriority, strconv.Itoa(q.priority))
	return http.DefaultClient.Do(req)
}

// complete sends q and returns the text and headers of the response.
func (q chat) complete(c *qt.C, e *engine.Engine) (string, http.Header) {
	resp, err := q.send(c, e)
	c.Assert(err, qt.IsNil)
	defer closeBody(c, resp)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	var response protocol.ChatResponse
	c.Assert(json.NewDecoder(resp.Body).Decode(&response), qt.IsNil)
	return response.Choices[0].Message.Content, resp.Header
}

func closeBody(c *qt.C, resp *http.Response) {
	c.Check(resp.Body.Close(), qt.IsNil)
}

// readStream returns the text of a stream and whether it had its end marker.
func readStream(c *qt.C, body io.Reader) (text string, whole bool) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case data == protocol.StreamEnd:
			whole = true
		default:
			var chunk protocol.Chunk
			c.Assert(json.Unmarshal([]byte(data), &chunk), qt.IsNil)
			text += chunk.Choices[0].Delta.Content
		}
	}
	return text, whole
}

// await waits until condition holds.
func await(c *qt.C, what string, condition func() bool) {
	limit := time.Now().Add(time.Minute)
	for !condition() {
		c.Assert(time.Now().Before(limit), qt.IsTrue, qt.Commentf("waiting for %s", what))
		time.Sleep(time.Millisecond)
	}
}

func TestResponsesMatchExpectedResponse(t *testing.T) {
	c := qt.New(t)
	e := start(c, engine.Options{Model: "m"})
	q := chat{id: "r1", text: "hello", maxTokens: 5}
	text, header := q.complete(c, e)
	c.Check(text, qt.Equals, engine.ExpectedResponse(q.messages(), 5))
	c.Check(header.Get(protocol.HeaderRequestID), qt.Equals, "r1")
	q.stream, q.id = true, "r2"
	resp, err := q.send(c, e)
	c.Assert(err, qt.IsNil)
	defer closeBody(c, resp)
	text, whole := readStream(c, resp.Body)
	c.Check(text, qt.Equals, engine.ExpectedResponse(q.messages(), 5))
	c.Check(whole, qt.IsTrue)
	c.Check(e.ArrivalsByRequestID("r2"), qt.Equals, 1)
	c.Check(engine.ExpectedResponse(q.messages(), 5), qt.Not(qt.Equals), engine.ExpectedResponse(chat{text: "hallo"}.messages(), 5))
}

func TestPrefixCacheServesChatsUntilEvicted(t *testing.T) {
	c := qt.New(t)
	e := start(c, engine.Options{CacheTokens: 150}) // one cached chat fits, two do not
	long := strings.Repeat("word", 100)
	_, header := chat{session: "a", text: long}.complete(c, e)
	c.Check(header.Get(protocol.HeaderCached), qt.Equals, "0")
	_, header = chat{session: "a", text: long + "more"}.complete(c, e)
	c.Check(header.Get(protocol.HeaderCached), qt.Equals, "102")
	c.Check(header.Get(protocol.HeaderPrompt), qt.Equals, "102")
	chat{session: "b", text: long}.complete(c, e)
	c.Check(e.Cached("a"), qt.Equals, 0)
	c.Check(e.Cached("b") > 0, qt.IsTrue)
}

func TestColdEngineCountsOverrunsAndWarmsUpWithWork(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	e := start(c, engine.Options{Clock: clock, Capacity: 4, ColdCapacity: 1, WarmAfter: 3, TokenTime: time.Second})
	responded := make(chan struct{})
	for i := range 2 {
		go func() {
			chat{id: strconv.Itoa(i), text: "x", maxTokens: 1}.complete(c, e)
			responded <- struct{}{}
		}()
	}
	await(c, "both requests", func() bool { return e.Stats().Arrivals == 2 })
	c.Check(e.Stats().WorstColdOverrun, qt.Equals, 1)
	c.Check(e.Overruns()[0].Capacity, qt.Equals, 1)
	stop := advance(clock, time.Second)
	defer stop()
	<-responded
	<-responded
	c.Check(e.Stats().Completed, qt.Equals, 2)
	chat{id: "3", text: "x", maxTokens: 1}.complete(c, e)
	chat{id: "4", text: "x", maxTokens: 1}.complete(c, e)
	arrivals := e.Arrivals()
	c.Check(arrivals[2].Capacity, qt.Equals, 3)
	c.Check(arrivals[3].Capacity, qt.Equals, 4)
	e.TurnCold()
	c.Check(e.Incarnation(), qt.Equals, arrivals[3].Incarnation)
	chat{id: "5", text: "x", maxTokens: 1}.complete(c, e)
	c.Check(e.Arrivals()[4].Capacity, qt.Equals, 1)
}

// advance repeatedly advances clock by step until stop is called.
func advance(clock *clockwork.FakeClock, step time.Duration) (stop func()) {
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
				clock.Advance(step)
			}
		}
	}()
	return func() { close(done); <-ended }
}

func TestQueueRunsHigherPriorityFirst(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	e := start(c, engine.Options{Clock: clock, Capacity: 1, TokenTime: time.Second})
	order := make(chan string, 3)
	for i, q := range []chat{{id: "first"}, {id: "low"}, {id: "high", priority: 5}} {
		q.text, q.maxTokens = "x", 1
		go func() {
			q.complete(c, e)
			order <- q.id
		}()
		await(c, q.id, func() bool { return e.Stats().Arrivals == i+1 })
		if i == 0 {
			await(c, "the first to run", func() bool { return e.Load().Running == 1 })
		}
	}
	for completed, want := range []string{"first", "high", "low"} {
		advanceUntil(clock, time.Second, func() bool { return e.Stats().Completed > completed })
		c.Check(<-order, qt.Equals, want) // the next one cannot end before the clock goes on
	}
}

// advanceUntil advances clock by step, whenever the engine waits for it, until condition holds.
func advanceUntil(clock *clockwork.FakeClock, step time.Duration, condition func() bool) {
	for !condition() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		if clock.BlockUntilContext(ctx, 1) == nil && !condition() {
			clock.Advance(step)
		}
		cancel()
	}
}

func TestStreamsCanBeResumedAndCancelled(t *testing.T) {
	c := qt.New(t)
	e := start(c, engine.Options{ResumeGrace: time.Hour, KeepFinished: time.Hour})
	q := chat{id: "r", text: "x", maxTokens: 10, stream: true}
	c.Assert(e.Faults().On(fault.Fault{Name: fault.Cut, Count: 1}), qt.IsNil)
	resp, err := q.send(c, e)
	c.Assert(err, qt.IsNil)
	text, whole := readStream(c, resp.Body)
	c.Check(whole, qt.IsFalse)
	closeBody(c, resp)
	got := strings.Count(text, " ")
	c.Check(got, qt.Equals, 5)
	resp, err = http.Get(e.URL() + protocol.PathRequests + "r/stream?offset=" + strconv.Itoa(got))
	c.Assert(err, qt.IsNil)
	rest, whole := readStream(c, resp.Body)
	closeBody(c, resp)
	c.Check(whole, qt.IsTrue)
	c.Check(text+rest, qt.Equals, engine.ExpectedResponse(q.messages(), 10))
	c.Check(e.ArrivalsByRequestID("r"), qt.Equals, 1)

	slow := start(c, engine.Options{TokenTime: time.Hour})
	ended := make(chan int)
	go func() {
		resp, err := chat{id: "long", text: "x"}.send(c, slow)
		c.Check(err, qt.IsNil)
		c.Check(resp.Body.Close(), qt.IsNil)
		ended <- resp.StatusCode
	}()
	await(c, "the request", func() bool { return slow.Stats().Arrivals == 1 })
	cancel, err := http.NewRequest(http.MethodDelete, slow.URL()+protocol.PathRequests+"long", nil)
	c.Assert(err, qt.IsNil)
	resp, err = http.DefaultClient.Do(cancel)
	c.Assert(err, qt.IsNil)
	closeBody(c, resp)
	c.Check(<-ended, qt.Equals, http.StatusConflict)
	c.Check(slow.Stats().Cancelled, qt.Equals, 1)
}

func TestClosedConnectionCancels(t *testing.T) {
	c := qt.New(t)
	e := start(c, engine.Options{TokenTime: 10 * time.Millisecond})
	resp, err := chat{id: "r", text: "x", maxTokens: 1 << 14, stream: true}.send(c, e)
	c.Assert(err, qt.IsNil)
	closeBody(c, resp)
	await(c, "the cancel", func() bool { return e.Stats().Cancelled == 1 })
	c.Check(e.Stats().Completed, qt.Equals, 0)
}
