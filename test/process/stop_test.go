//go:build process

package process

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// closedLook is how long a caller looks whether its connection was closed before it sends.
const closedLook = 20 * time.Microsecond

// keeper is a caller that keeps its connection.
type keeper struct {
	net.Conn
	reader *bufio.Reader
}

// closed reports whether the router has ended the connection.
func (k *keeper) closed() bool {
	_ = k.SetDeadline(time.Now().Add(closedLook))
	_, err := k.reader.Peek(1)
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

// ask sends an address query and returns the status of the response and whether the connection stays open.
func (k *keeper) ask() (status int, open bool, err error) {
	_ = k.SetDeadline(time.Now().Add(waitLimit))
	if _, err = io.WriteString(k, "GET /v1/addresses?kind=booking&workspace=w1 HTTP/1.1\r\nHost: router\r\n\r\n"); err != nil {
		return 0, false, errors.Wrap(err, "write")
	}
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return 0, false, errors.Wrap(err, "head")
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, !response.Close, errors.Wrap(err, "body")
}

// answers counts the responses and the requests that were cut.
type answers struct {
	mu       sync.Mutex
	statuses map[int]int
	cut      []string
}

// askFrom asks from a time on until the router closes the connection.
func (a *answers) askFrom(k *keeper, begin time.Time) {
	defer func() { _ = k.Close() }()
	time.Sleep(time.Until(begin))
	for open := true; open && !k.closed(); {
		var status int
		var err error
		status, open, err = k.ask()
		a.mu.Lock()
		if err == nil {
			a.statuses[status]++
		} else {
			a.cut = append(a.cut, fmt.Sprintf("%v after the first: %v", time.Since(begin), err))
		}
		a.mu.Unlock()
	}
}

// Guards against a stop that closes connections on which requests are arriving.
func TestStopAnswersEveryRequestOnAnOpenConnection(t *testing.T) {
	const (
		keepers = 400
		apart   = 250 * time.Microsecond // between their first requests, half of them before the end of the drain
	)
	c, f := startFleet(t, 2, fleetOptions{})
	stopped := f.routers[1]
	var idle [keepers]*keeper
	for i := range idle {
		conn, err := net.DialTimeout("tcp", stopped.settings.Listen.Caller.String(), waitLimit)
		c.Assert(err, qt.IsNil)
		idle[i] = &keeper{conn, bufio.NewReader(conn)}
		status, open, err := idle[i].ask()
		c.Assert(err, qt.IsNil)
		c.Assert(status, qt.Equals, http.StatusOK)
		c.Assert(open, qt.IsTrue)
	}
	sigterm := time.Now()
	stopped.signal(c, syscall.SIGTERM)
	end := sigterm.Add(2 * stopped.settings.Member.Promise.Std())
	a := &answers{statuses: make(map[int]int)}
	var group sync.WaitGroup
	for i, k := range idle {
		group.Go(func() { a.askFrom(k, end.Add(time.Duration(i-keepers/2)*apart)) })
	}
	stopped.awaitExit(c)
	took := time.Since(sigterm)
	group.Wait()
	c.Logf("answers %v, the stop took %v", a.statuses, took)
	c.Check(a.cut, qt.HasLen, 0)
}
