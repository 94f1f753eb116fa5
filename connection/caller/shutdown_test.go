package caller

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// testLimit bounds waits, so that a slow machine does not fail a test.
const testLimit = 10 * time.Second

// Guards against idle connections that are closed without a response to a request that is on its way.
func TestShutdownRefusesRequestsThatAreOnTheirWay(t *testing.T) {
	certified := httptest.NewTLSServer(http.NotFoundHandler())
	defer certified.Close()
	for name, config := range map[string]*tls.Config{
		"plain": nil,
		"TLS":   {Certificates: certified.TLS.Certificates, MinVersion: tls.VersionTLS12},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := NewServer(nil, Options{HeaderBytes: 1 << 10, MaxConnections: 10, TLS: config}, clockwork.NewRealClock(), logr.Discard())
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			served := make(chan error, 1)
			go func() { served <- s.Serve(l) }()
			conn, err := net.Dial("tcp", l.Addr().String())
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			c.Assert(conn.SetDeadline(time.Now().Add(testLimit)), qt.IsNil)
			if config != nil {
				conn = tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
			}
			reader := bufio.NewReader(conn)
			c.Check(askHealth(c, conn, reader), qt.Equals, http.StatusOK)

			ctx, cancel := context.WithTimeout(context.Background(), testLimit)
			defer cancel()
			stopped := make(chan bool)
			go func() {
				s.Shutdown(ctx, outcome.NotRun(outcome.Draining, ""))
				close(stopped)
			}()
			c.Assert(<-served, qt.IsNil)
			time.Sleep(5 * shutdownPoll)
			c.Check(askHealth(c, conn, reader), qt.Equals, http.StatusServiceUnavailable)
			_ = conn.Close()
			<-stopped
			c.Check(ctx.Err(), qt.IsNil)
		})
	}
}

// askHealth sends a request and returns the status of the response.
func askHealth(c *qt.C, conn net.Conn, reader *bufio.Reader) int {
	_, err := io.WriteString(conn, "GET "+PathHealth+" HTTP/1.1\r\nHost: router\r\n\r\n")
	c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(reader, nil)
	c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, response.Body)
	c.Assert(err, qt.IsNil)
	return response.StatusCode
}
