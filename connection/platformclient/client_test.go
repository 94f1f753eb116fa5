package platformclient_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/standin/fault"
	"github.com/stoatmount/stoatmount/standin/logstore"
)

func addressOf(c *qt.C, host string) netip.AddrPort {
	address, err := netip.ParseAddrPort(host)
	c.Assert(err, qt.IsNil)
	return address
}

func TestLogClientAppendsAndReads(t *testing.T) {
	c := qt.New(t)
	server, err := logstore.Start("", logstore.Options{KeepRecords: 2})
	c.Assert(err, qt.IsNil)
	defer server.Close()
	client := platformclient.NewLogClient(platformclient.ClientOptions{Address: addressOf(c, server.URL()[len("http://"):])})
	defer client.Close()
	ctx := context.Background()
	offset, err := client.Append(ctx, "config", [][]byte{[]byte("a"), []byte("b"), []byte("c")})
	c.Assert(err, qt.IsNil)
	c.Check(offset, qt.Equals, platformclient.Offset(1))
	page, err := client.Read(ctx, "config", 1, 10, 0)
	c.Check(err, qt.ErrorIs, platformclient.ErrExpired)
	c.Check(page.First, qt.Equals, platformclient.Offset(2))
	page, err = client.Read(ctx, "config", 2, 10, 0)
	c.Assert(err, qt.IsNil)
	c.Check(page.Records, qt.HasLen, 2)
	c.Check(page.End, qt.Equals, platformclient.Offset(4))
	c.Assert(server.Faults().On(fault.Fault{Name: fault.Outage, Count: 1}), qt.IsNil)
	_, err = client.Append(ctx, "config", [][]byte{[]byte("d")})
	c.Check(platformclient.MayHaveAppended(err), qt.IsFalse)
	c.Assert(server.Faults().On(fault.Fault{Name: fault.LostReply, Count: 1}), qt.IsNil)
	_, err = client.Append(ctx, "config", [][]byte{[]byte("d")})
	c.Check(platformclient.MayHaveAppended(err), qt.IsTrue)
}

func TestAppendToNobodyWasNotAppended(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := addressOf(c, listener.Addr().String())
	c.Assert(listener.Close(), qt.IsNil)
	client := platformclient.NewLogClient(platformclient.ClientOptions{Address: address})
	_, err = client.Append(context.Background(), "config", [][]byte{[]byte("a")})
	c.Check(err, qt.IsNotNil)
	c.Check(platformclient.MayHaveAppended(err), qt.IsFalse)
}

// TestAppendIsSentOnce counts at the server: neither a redirect nor a
// connection that dies while an append is under way makes the client send it
// again.
func TestAppendIsSentOnce(t *testing.T) {
	c := qt.New(t)
	var posts atomic.Int64
	var mode atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		posts.Add(1)
		switch mode.Load() {
		case 0:
			_, _ = w.Write([]byte(`{"offset":1}`))
		case 1:
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		default:
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	client := platformclient.NewLogClient(platformclient.ClientOptions{Address: addressOf(c, server.Listener.Addr().String())})
	defer client.Close()
	for m := range int64(3) {
		mode.Store(m)
		posts.Store(0)
		_, err := client.Append(context.Background(), "config", [][]byte{[]byte("a")})
		c.Check(err == nil, qt.Equals, m == 0, qt.Commentf("mode %d: %v", m, err))
		c.Check(posts.Load(), qt.Equals, int64(1), qt.Commentf("mode %d", m))
	}
}

func TestReadOfASilentLogEndsInTime(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	client := platformclient.NewLogClient(platformclient.ClientOptions{
		Address: addressOf(c, server.Listener.Addr().String()), Timeout: 50 * time.Millisecond,
	})
	_, err := client.Read(context.Background(), "config", 1, 1, 0)
	c.Check(err, qt.ErrorIs, context.DeadlineExceeded)
}
