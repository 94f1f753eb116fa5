package namedcall

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// keptConn is a connection that a transport keeps for further requests.
type keptConn struct {
	net.Conn
	discarded atomic.Bool
}

// Prepare makes transport usable with RoundTrip. It must have a DialContext.
func Prepare(transport *http.Transport) {
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &keptConn{Conn: conn}, nil
	}
}

// keptConnOf returns the connection that a transport names in a trace.
func keptConnOf(conn net.Conn) *keptConn {
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	return conn.(*keptConn)
}

// Discard closes a connection that RoundTrip used. The transport may use it once more
// before it notices.
func Discard(conn net.Conn) {
	c := keptConnOf(conn)
	_ = c.Conn.Close()
	c.discarded.Store(true)
}

// RoundTrip sends request with body over a prepared transport and returns the response and
// the connection used. A connection that was discarded before is replaced: nothing can
// have been sent on it. Without a body, net/http may send a GET once more by itself, on
// another connection; with an empty one it does not.
func RoundTrip(transport http.RoundTripper, request *http.Request, body []byte) (*http.Response, httptrace.GotConnInfo, error) {
	for {
		var used httptrace.GotConnInfo
		discarded := false
		trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
			used, discarded = info, keptConnOf(info.Conn).discarded.Load()
		}}
		traced := request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
		if body != nil {
			traced.Body, traced.ContentLength = &singleUseBody{bytes.NewReader(body)}, int64(len(body))
		}
		response, err := transport.RoundTrip(traced)
		if err == nil || !discarded {
			return response, used, err
		}
	}
}

// singleUseBody hides the bytes from net/http, which could otherwise send them a
// second time by itself.
type singleUseBody struct {
	reader *bytes.Reader
}

func (b *singleUseBody) Read(p []byte) (int, error) { return b.reader.Read(p) }
func (b *singleUseBody) Close() error               { return nil }
