package forward

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/connection/http1"
	"github.com/stoatmount/stoatmount/process/quarantine"
	"github.com/stoatmount/stoatmount/request/balance"
	"github.com/stoatmount/stoatmount/version/routing"
)

// fakeEndpoints counts what is taken for an endpoint that has ended.
type fakeEndpoints struct {
	Endpoints
	ended int
}

func (f *fakeEndpoints) DownSince(time.Time, *balance.Grant) bool    { return false }
func (f *fakeEndpoints) RecordUnreachable(time.Time, *balance.Grant) { f.ended++ }
func (f *fakeEndpoints) FellUnderLoad(time.Time, *balance.Grant) bool {
	f.ended++
	return true
}

func TestConnectionThatIsResetWhileItOpensShowsNoCrash(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	endpoints := &fakeEndpoints{}
	j := &job{s: &Server{Endpoints: endpoints, Pool: http1.NewPool(time.Second), RouterCount: func() int { return 1 }}, table: &routing.Table{}}
	a := &attempt{grant: &balance.Grant{Addr: l.Addr().String()}}
	for range 300 { // whether the reset is noticed while the connection opens is a matter of chance
		j.checkCrash(c.Context(), a, 0, quarantine.State{}, quarantine.Run{})
	}
	c.Assert(endpoints.ended, qt.Equals, 0)
}
