package endpoint

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/connection/namedcall"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// Request is one attempt at one endpoint.
type Request struct {
	ID            string // request id and attempt number, echoed by the endpoint
	Address       netip.AddrPort
	Method        string
	Path          string // path and query
	Header        http.Header
	Body          []byte
	Priority      int
	Timeout       time.Duration // until the deadline, sent to the endpoint; the context bounds the call
	Session       string        // chat whose prefix is cached; empty for plain services
	NonIdempotent bool          // at most one attempt may be sent

	FirstByteTimeout time.Duration // for the head of the response
	IdleTimeout      time.Duration // between bytes of the response

	newConnection bool // even if not NonIdempotent
}

// Response is an endpoint's response. The caller must close Body.
type Response struct {
	Status      int
	Header      http.Header
	Incarnation uint64
	Length      int64 // declared length of the body; -1 if unknown
	Body        io.ReadCloser
}

// Do sends the request and returns when the head of the response has arrived. The
// Run of a returned refusal is about this attempt only.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, *outcome.Refusal) {
	ctx, cancel := context.WithCancelCause(ctx)
	watch := newWatchdog(cancel, r.FirstByteTimeout)
	request, err := r.build(ctx, c.scheme)
	if err != nil {
		cancel(nil)
		return nil, outcome.NotRun(outcome.BadRequest, "the request cannot be passed on: %v", err)
	}
	body := r.Body
	if body == nil {
		body = []byte{} // see namedcall.RoundTrip
	}
	response, used, err := namedcall.RoundTrip(c.transport(r.NonIdempotent || r.newConnection), request, body)
	if err != nil {
		watch.stop()
		refusal := sendFailure(ctx, err, used.Conn != nil)
		cancel(nil)
		return nil, refusal
	}
	watch.reset(r.IdleTimeout)
	watched := &watchedBody{ctx: ctx, inner: response.Body, watch: watch, cancel: cancel, idleTimeout: r.IdleTimeout}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		watched.refuses = func() bool { return refusesConnections(ctx, r.Address) }
	}
	if refusal := r.checkResponse(response); refusal != nil {
		_ = watched.Close()
		if refusal.Code == outcome.AnswerCrossed {
			namedcall.Discard(used.Conn) // the request's own response is due on it
		}
		return nil, refusal
	}
	incarnation, _ := strconv.ParseUint(response.Header.Get(protocol.HeaderBoot), 10, 64)
	return &Response{
		Status:      response.StatusCode,
		Header:      response.Header,
		Incarnation: incarnation,
		Length:      response.ContentLength,
		Body:        watched,
	}, nil
}

// refusesConnections reports whether nobody listens at an address.
func refusesConnections(ctx context.Context, address netip.AddrPort) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (r *Request) build(ctx context.Context, scheme string) (*http.Request, error) {
	target, err := url.Parse(r.Path)
	if err != nil {
		return nil, err
	}
	target.Scheme = scheme
	target.Host = r.Address.String()
	request, err := http.NewRequestWithContext(ctx, r.Method, target.String(), nil)
	if err != nil {
		return nil, err
	}
	request.Header = r.Header.Clone()
	if request.Header == nil {
		request.Header = make(http.Header)
	}
	request.Header.Set(protocol.HeaderRequestID, r.ID)
	request.Header.Set(protocol.HeaderPriority, strconv.Itoa(r.Priority))
	timeout := max(r.Timeout, time.Millisecond)
	request.Header.Set(protocol.HeaderDeadlineMs, strconv.FormatInt(timeout.Milliseconds(), 10))
	if r.Session != "" {
		request.Header.Set(protocol.HeaderSession, r.Session)
	}
	return request, nil
}

// sendFailure turns a failed round trip into a refusal. Without a connection no
// byte can have been sent.
func sendFailure(ctx context.Context, err error, connected bool) *outcome.Refusal {
	if !connected {
		return outcome.NotRun(outcome.EndpointFailed, "no connection to the endpoint")
	}
	if errors.Is(context.Cause(ctx), errIdleTimeout) {
		return outcome.Unknown(outcome.EndpointSilent, "no answer in time")
	}
	if ctx.Err() != nil {
		return outcome.Unknown(outcome.CallerGone, "given up while the endpoint had the request")
	}
	return outcome.Unknown(outcome.EndpointFailed, "the connection to the endpoint broke: %v", err)
}

// checkResponse returns a refusal for a response to another request, and for one
// that says that the endpoint has not run the request.
func (r *Request) checkResponse(response *http.Response) *outcome.Refusal {
	if echoed := response.Header.Values(protocol.HeaderRequestID); len(echoed) != 1 || echoed[0] != r.ID {
		return outcome.Unknown(outcome.AnswerCrossed, "the endpoint answered another request")
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		return outcome.Unknown(outcome.EndpointFailed, "the endpoint changed to another protocol, which no request asks for")
	}
	if response.Header.Get(protocol.HeaderNotRun) != "true" || response.StatusCode < http.StatusBadRequest {
		return nil
	}
	refusal := outcome.NotRun(outcome.EndpointRefused, "the endpoint refused with status %d", response.StatusCode)
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		refusal.RetryAfter = time.Duration(seconds) * time.Second
	}
	return refusal
}
