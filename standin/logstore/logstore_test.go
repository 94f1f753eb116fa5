package logstore_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/standin/fault"
	"github.com/stoatmount/stoatmount/standin/logstore"
)

var _ platformclient.Log = (*logstore.Memory)(nil)

func TestMemoryAssignsConsecutiveOffsetsAndExpires(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	m := logstore.NewMemory(logstore.Options{Clock: clockwork.NewFakeClock(), KeepRecords: 2})
	first, err := m.Append(ctx, "s", [][]byte{[]byte("a"), []byte("b")})
	c.Assert(err, qt.IsNil)
	c.Check(first, qt.Equals, platformclient.Offset(1))
	third, err := m.Append(ctx, "s", [][]byte{[]byte("c")})
	c.Assert(err, qt.IsNil)
	c.Check(third, qt.Equals, platformclient.Offset(3))
	page, err := m.Read(ctx, "s", 1, 10, 0)
	c.Check(err, qt.Equals, platformclient.ErrExpired)
	c.Check(page.First, qt.Equals, platformclient.Offset(2))
	page, err = m.Read(ctx, "s", 2, 1, 0)
	c.Assert(err, qt.IsNil)
	c.Check(page.End, qt.Equals, platformclient.Offset(4))
	c.Check(string(page.Records[0].Data), qt.Equals, "b")
	c.Check(m.All("s"), qt.HasLen, 3)
}

func TestMemoryExpiresByAge(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	m := logstore.NewMemory(logstore.Options{Clock: clock, KeepFor: time.Minute})
	_, err := m.Append(context.Background(), "s", [][]byte{[]byte("a")})
	c.Assert(err, qt.IsNil)
	clock.Advance(time.Minute + 1)
	page, err := m.Read(context.Background(), "s", 1, 10, 0)
	c.Check(err, qt.Equals, platformclient.ErrExpired)
	c.Check(page.First, qt.Equals, platformclient.Offset(2))
}

func TestFaultErrorsShowWhetherAppendsTookEffect(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	m := logstore.NewMemory(logstore.Options{Clock: clockwork.NewFakeClock()})
	c.Assert(m.Faults().On(fault.Fault{Name: fault.Outage, Count: 1}), qt.IsNil)
	_, err := m.Append(ctx, "s", [][]byte{[]byte("a")})
	c.Check(platformclient.MayHaveAppended(err), qt.IsFalse)
	c.Check(m.All("s"), qt.HasLen, 0)
	c.Assert(m.Faults().On(fault.Fault{Name: fault.LostReply, Count: 1}), qt.IsNil)
	_, err = m.Append(ctx, "s", [][]byte{[]byte("b")})
	c.Check(platformclient.MayHaveAppended(err), qt.IsTrue)
	c.Check(m.All("s"), qt.HasLen, 1)
	c.Check(m.Stats(), qt.Equals, logstore.Stats{Appends: 1, Records: 1, Refused: 1, LostReplies: 1, PeakAppends: 1})
}

func TestMemoryRefusesAboveItsRate(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	clock := clockwork.NewFakeClock()
	m := logstore.NewMemory(logstore.Options{Clock: clock, AppendsPerSecond: 2})
	for range 5 {
		_, _ = m.Append(ctx, "s", [][]byte{[]byte("a")})
	}
	c.Check(m.Stats().Appends, qt.Equals, 2)
	clock.Advance(time.Second)
	_, err := m.Append(ctx, "s", [][]byte{[]byte("a")})
	c.Check(err, qt.IsNil)
}

func TestReadWaitsForARecord(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	m := logstore.NewMemory(logstore.Options{Clock: clockwork.NewFakeClock()})
	pages := make(chan platformclient.Page)
	go func() {
		page, _ := m.Read(ctx, "s", 1, 10, time.Hour)
		pages <- page
	}()
	_, err := m.Append(ctx, "s", [][]byte{[]byte("a")})
	c.Assert(err, qt.IsNil)
	c.Check((<-pages).Records, qt.HasLen, 1)
}

func TestServerProtocol(t *testing.T) {
	c := qt.New(t)
	s, err := logstore.Start("", logstore.Options{KeepRecords: 1})
	c.Assert(err, qt.IsNil)
	defer s.Close()
	url := s.URL() + "/v1/streams/config/records"
	body, err := json.Marshal(logstore.AppendRequest{Records: [][]byte{[]byte("a"), []byte("b")}})
	c.Assert(err, qt.IsNil)
	resp, err := http.Post(url, "application/json", bytes.NewReader(body))
	c.Assert(err, qt.IsNil)
	var appended logstore.AppendResponse
	c.Assert(json.NewDecoder(resp.Body).Decode(&appended), qt.IsNil)
	c.Check(appended.Offset, qt.Equals, platformclient.Offset(1))
	c.Check(resp.Body.Close(), qt.IsNil)

	var page platformclient.Page
	resp, err = http.Get(url + "?from=2&limit=5&wait_ms=0")
	c.Assert(err, qt.IsNil)
	c.Assert(json.NewDecoder(resp.Body).Decode(&page), qt.IsNil)
	c.Check(string(page.Records[0].Data), qt.Equals, "b")
	c.Check(resp.Body.Close(), qt.IsNil)

	resp, err = http.Get(url + "?from=1")
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, http.StatusGone)
	c.Check(resp.Body.Close(), qt.IsNil)

	c.Assert(s.Faults().On(fault.Fault{Name: fault.LostReply, Count: 1}), qt.IsNil)
	_, err = http.Post(url, "application/json", bytes.NewReader(body))
	c.Check(err, qt.IsNotNil)
	c.Check(s.All("config"), qt.HasLen, 4)
}
