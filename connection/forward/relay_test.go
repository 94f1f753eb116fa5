package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/stoatmount/stoatmount/connection/frontend"
	"github.com/stoatmount/stoatmount/connection/http1"
	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/routing"
)

// relayCodec reads the ids of responses.
type relayCodec struct{ Codec }

func (relayCodec) DecodeResponse(h *http1.Head) Response {
	return Response{RequestID: h.Get("X-Request-Id")}
}

func (relayCodec) EncodeRefusal(string, time.Duration) []http1.Field { return nil }

func (relayCodec) EncodeRelay(*http1.Head, RelayOptions, int64, []http1.Field) []byte {
	return []byte("GET / HTTP/1.1\r\n\r\n")
}

// relayed returns a request, and an attempt at a router that responds as given and keeps the connection.
func relayed(c *qt.C, response string) (*job, *attempt) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, response)
		_, _ = io.Copy(io.Discard, conn) // until it is closed
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	c.Cleanup(cancel)
	j := &job{s: &Server{RelayPool: http1.NewPool(time.Second), Codec: relayCodec{}}, x: &frontend.Exchange{Head: &http1.Head{Method: "GET"}}, req: Request{ID: "own"},
		requestCtx: ctx, deadline: time.Now().Add(5 * time.Second), route: &routing.Route{Kind: routing.NonIdempotent}, rec: &Record{}}
	return j, &attempt{grant: &balance.Grant{Addr: l.Addr().String()}, ctx: ctx, relayed: true}
}

// Guards against a connection that is used again while its response is due: the next request would get that one.
func TestConnectionToARouterIsNotKeptAfterAResponseToAnotherRequest(t *testing.T) {
	for id, kept := range map[string]bool{"own": true, "other": false} {
		c := qt.New(t)
		j, a := relayed(c, "HTTP/1.1 204 No Content\r\nX-Request-Id: "+id+"\r\n\r\n")
		c.Assert(j.connect(a), qt.IsNil)
		c.Check(j.readRelayHead(a) == nil, qt.Equals, kept)
		j.closeRelay(a)
		c.Check(j.s.RelayPool.Get(a.grant.Addr, time.Now(), nil) != nil, qt.Equals, kept)
	}
}

// Guards against a stream that is cut because one router does not know which software began it.
func TestBegunStreamGoesOnAfterARouterThatDoesNotKnowIt(t *testing.T) {
	c := qt.New(t)
	j, a := relayed(c, "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: own\r\n"+relayFieldCode+": "+strconv.Itoa(int(outcome.OriginUnknown))+"\r\nContent-Length: 0\r\n\r\n")
	j.route, j.rec.HeadSent, j.lastEventID, j.mayHaveRun = &routing.Route{Kind: routing.Stream, Resumable: true}, true, 3, true
	ended := make(chan bool)
	s := &frontend.Server{Log: logr.Discard(), Limits: func() frontend.Limits { return frontend.Limits{} }, Handler: handlerFunc(func(x *frontend.Exchange) {
		j.x = x
		ended <- j.sendRelay(a)
	})}
	c.Cleanup(s.Close)
	conn, caller := net.Pipe()
	s.ServeConn(conn)
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
	c.Assert(err, qt.IsNil)
	c.Assert(<-ended, qt.IsFalse, qt.Commentf("%s", j.rec.Code))
	c.Assert(a.run, qt.Equals, outcome.RunNot)
}

type handlerFunc func(x *frontend.Exchange)

func (f handlerFunc) Serve(_ context.Context, x *frontend.Exchange) { f(x) }

// Guards against a router that passes on the status of another one's endpoint which callers take for the word that their
// request has not run.
func TestStatusOfAnEndpointBehindARouterDoesNotSayNotRun(t *testing.T) {
	for _, test := range []struct {
		status, want int
		code         outcome.Code
	}{
		{http.StatusServiceUnavailable, http.StatusBadGateway, outcome.EndpointFailed},
		{http.StatusTooManyRequests, http.StatusBadGateway, outcome.OK},
		{http.StatusRequestTimeout, http.StatusBadGateway, outcome.OK},
		{http.StatusServiceUnavailable, http.StatusServiceUnavailable, outcome.EndpointRefused},
	} {
		c := qt.New(t)
		j, a := relayed(c, fmt.Sprintf("HTTP/1.1 %d Status\r\nX-Request-Id: own\r\n%s: %d\r\nContent-Length: 0\r\n\r\n", test.status, relayFieldCode, test.code))
		s := &frontend.Server{Log: logr.Discard(), Limits: func() frontend.Limits { return frontend.Limits{} }, Handler: handlerFunc(func(x *frontend.Exchange) {
			j.x = x
			j.sendRelay(a)
		})}
		c.Cleanup(s.Close)
		conn, caller := net.Pipe()
		s.ServeConn(conn)
		_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
		c.Assert(err, qt.IsNil)
		head, err := http1.ReadResponse(bufio.NewReader(caller), responseHeadBytes, http.MethodGet)
		c.Assert(err, qt.IsNil)
		c.Check(head.Status, qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}
