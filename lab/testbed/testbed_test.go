package testbed_test

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/lab/testbed"
	"github.com/stoatmount/stoatmount/standin/service"
	"github.com/stoatmount/stoatmount/version/config"
)

func TestStartsAStandInForEveryEndpoint(t *testing.T) {
	c := qt.New(t)
	s, err := testbed.Start(config.Config{
		Models: []config.Model{{Name: "m", Version: "1"}},
		Endpoints: []config.Endpoint{
			{Name: "e1", Model: "m", Capacity: 4, ColdCapacity: 1, WarmAfter: 2},
			{Name: "s1", Service: "booking", Capacity: 2},
			{Name: "s2", Service: "booking", Capacity: 2},
		},
	}, testbed.Options{})
	c.Assert(err, qt.IsNil)
	defer s.Close()
	c.Check(s.Endpoint("e1").Engine.Load().Version, qt.Equals, "1")
	for _, endpoint := range s.Config.Endpoints[1:] {
		req, err := http.NewRequest(http.MethodPost, "http://"+endpoint.Address.String()+"/x", strings.NewReader("x"))
		c.Assert(err, qt.IsNil)
		req.Header.Set(service.HeaderKey, "k")
		resp, err := http.DefaultClient.Do(req)
		c.Assert(err, qt.IsNil)
		c.Check(resp.Body.Close(), qt.IsNil)
	}
	c.Check(s.Executions("", "k"), qt.Equals, 2)
	stats := s.Stats()
	c.Check(stats.RepeatedKeys, qt.Equals, 1)
	c.Check(stats.Executions, qt.Equals, 2)
	c.Check(s.Endpoint("s2").LastArrival().IsZero(), qt.IsFalse)
}
