package service_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/standin/fault"
	"github.com/stoatmount/stoatmount/standin/service"
)

func start(c *qt.C, options service.Options) *service.Service {
	s, err := service.Start("", options)
	c.Assert(err, qt.IsNil)
	c.Cleanup(s.Close)
	return s
}

// post sends a booking and decodes the response.
func post(c *qt.C, s *service.Service, key string) (int, service.Response, error) {
	req, err := http.NewRequest(http.MethodPost, s.URL()+"/booths/7", strings.NewReader("body of "+key))
	c.Assert(err, qt.IsNil)
	req.Header.Set(protocol.HeaderRequestID, "request-"+key)
	req.Header.Set(service.HeaderKey, key)
	// A separate transport: the default one retries a POST with Idempotency-Key.
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, service.Response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var response service.Response
	if resp.StatusCode == http.StatusOK {
		err = json.NewDecoder(resp.Body).Decode(&response)
	}
	return resp.StatusCode, response, err
}

func TestExecutionsAreCountedByKey(t *testing.T) {
	c := qt.New(t)
	s := start(c, service.Options{})
	status, response, err := post(c, s, "k1")
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, http.StatusOK)
	c.Check(response, qt.Equals, service.Response{
		RequestID: "request-k1", Key: "k1", Method: "POST", Path: "/booths/7", Body: "body of k1", Execution: 1,
	})
	_, _, err = post(c, s, "k1")
	c.Assert(err, qt.IsNil)
	c.Check(s.ExecutionsByKey("k1"), qt.Equals, 2)
	c.Check(s.Stats().RepeatedKeys, qt.Equals, 1)
}

func TestFaultEffects(t *testing.T) {
	tests := []struct {
		fault    fault.Name
		executed int
		status   int // 0: no response
	}{
		{fault.Refuse, 0, http.StatusServiceUnavailable},
		{fault.CrashBefore, 0, 0},
		{fault.LostReply, 1, 0},
		{fault.Crash, 1, 0},
		{fault.Truncate, 1, 0},
		{fault.Cut, 1, 0},
		{fault.Late, 1, http.StatusOK},
		{fault.Slow, 1, http.StatusOK},
	}
	for _, test := range tests {
		t.Run(string(test.fault), func(t *testing.T) {
			c := qt.New(t)
			s := start(c, service.Options{})
			c.Assert(s.Faults().On(fault.Fault{Name: test.fault, Count: 1, Delay: time.Millisecond}), qt.IsNil)
			status, _, err := post(c, s, "k")
			c.Check(s.ExecutionsByKey("k"), qt.Equals, test.executed)
			c.Check(err == nil, qt.Equals, test.status != 0, qt.Commentf("%v", err))
			if err == nil {
				c.Check(status, qt.Equals, test.status)
			}
			c.Check(s.Faults().Triggered(test.fault), qt.Equals, 1)
		})
	}
}

func TestDrainingServiceRefusesAsNotRun(t *testing.T) {
	c := qt.New(t)
	s := start(c, service.Options{})
	s.StartDrain()
	status, _, err := post(c, s, "k")
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	s.EndDrain()
	status, _, err = post(c, s, "k")
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, http.StatusOK)
	c.Check(s.Stats().Refused, qt.Equals, 1)
}
