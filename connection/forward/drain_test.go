package forward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/process/pace"
	"github.com/stoatmount/stoatmount/version/routing"
)

func TestRequestsThatAreNotCompleteInTimeAreRefused(t *testing.T) {
	c := qt.New(t)
	t0 := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	s := &Server{}
	const route, service, limit, tokens = "r", "s", 5 * time.Second, 100
	may := func(ms, tokens int) bool {
		return s.takes(at(ms), service, &Record{Route: route, Others: Others{Ready: 1}}, pace.Size{Most: tokens}, at(ms).Add(limit))
	}
	c.Assert(may(7000, tokens), qt.IsTrue) // the process is not being stopped
	s.StartDrain(DrainPlan{Began: t0, AddressesExpire: at(3000), End: at(7600), Exit: at(7900)})
	c.Assert(may(2600, tokens), qt.IsTrue)  // its limit ends first
	c.Assert(may(2700, tokens), qt.IsFalse) // nothing is known but its limit
	c.Assert(s.takes(at(6000), service, &Record{Route: route}, pace.Size{Most: tokens}, at(7600)), qt.IsTrue)
	for _, took := range []time.Duration{100, 1000, 200} {
		s.paces.Record(t0, "few", pace.Run{Took: took * time.Millisecond, Complete: true})
	}
	c.Assert(s.takes(at(2800), service, &Record{Route: "few", Others: Others{Ready: 1}}, pace.Size{}, at(8000)), qt.IsFalse) // three that differ are no bound
	for range 500 {
		s.paces.Record(t0, route, pace.Run{Size: pace.Size{Most: tokens}, Took: time.Second, Complete: true})
	}
	bound, known := s.paces.Bound(t0, route, service, pace.Size{Most: tokens})
	c.Assert(known, qt.IsTrue)
	c.Assert(bound < 1300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", bound))
	latest := 7600 - int((pace.Silence + bound).Milliseconds()) - 1
	c.Assert(may(latest, tokens), qt.IsTrue)
	c.Assert(may(latest+1, tokens), qt.IsFalse)
	c.Assert(may(2800, 4*tokens), qt.IsFalse)
	c.Assert(may(2800, 2*tokens), qt.IsTrue)
}

// Guards against requests that are refused though the caller may find no router that takes them, and against others that would be cut.
func TestRequestsAreTakenByWhatOtherRoutersCanDo(t *testing.T) {
	const route, service = "r", "s"
	t0 := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	s := &Server{}
	s.StartDrain(DrainPlan{Began: t0, AddressesExpire: at(3000), End: at(7600), Exit: at(7900)})
	for n := range 500 { // half of them take 2 s and the others 3 s
		s.paces.Record(t0, route, pace.Run{Took: time.Duration(2+n%2) * time.Second, Complete: true})
	}
	bound, _ := s.paces.Bound(t0, route, service, pace.Size{})
	fits := 7600 - int(bound.Milliseconds()) - 1
	qt.New(t).Assert(fits > 2000 && fits < 3000, qt.IsTrue, qt.Commentf("%v", bound))
	allLeft, someLeft, noneLeft := Others{Ready: 6}, Others{Ready: 4, Unready: 2}, Others{Unready: 6}
	for name, test := range map[string]struct {
		others Others
		route  string
		ms     int
		limit  time.Duration
		takes  bool
	}{
		"fits with a silence":                      {allLeft, route, fits - 1500, 12 * time.Second, true},
		"others take it":                           {allLeft, route, fits - 1400, 12 * time.Second, false},
		"others take it, unknown":                  {allLeft, "unknown", 0, 12 * time.Second, false},
		"another may refuse it":                    {someLeft, route, fits, 12 * time.Second, true},
		"another may refuse it, it may not fit":    {someLeft, route, fits + 2, 12 * time.Second, false},
		"another may refuse it, unknown":           {someLeft, "unknown", 0, 12 * time.Second, false},
		"another may refuse it, addresses expired": {someLeft, route, 3000, 12 * time.Second, false},
		"no other, unknown":                        {noneLeft, "unknown", 0, 12 * time.Second, true},
		"no other, more time at the successor":     {noneLeft, "unknown", 2000, 12 * time.Second, false},
		"no other, less time at the successor":     {noneLeft, "unknown", 2000, 10 * time.Second, true},
		"no other, addresses have expired":         {noneLeft, "unknown", 3000, 8 * time.Second, false},
	} {
		now := at(test.ms)
		got := s.takes(now, service, &Record{Route: test.route, Others: test.others}, pace.Size{}, now.Add(test.limit))
		qt.New(t).Check(got, qt.Equals, test.takes, qt.Commentf("%s", name))
	}
}

// Guards against late streams that are begun though they do not fit, and against others that are given up.
func TestLateStreamBeginsIfItProbablyFits(t *testing.T) {
	const route, took, streamsEnd = "r", time.Second, 7850
	t0 := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	resumable := &routing.Route{Name: route, Kind: routing.Stream, Resumable: true}
	for name, test := range map[string]struct {
		change func(j *job)
		first  int // ms after t0 at which the first event is there
		begins bool
	}{
		"fits":                          {nil, streamsEnd - 1200, true},
		"does not fit":                  {nil, streamsEnd - 990, false},
		"its deadline is before":        {func(j *job) { j.deadline = at(streamsEnd) }, streamsEnd - 100, true},
		"came before it was asked":      {func(j *job) { j.rec.Left = 0 }, streamsEnd - 100, true},
		"may not run again":             {func(j *job) { j.route = &routing.Route{Name: route, Kind: routing.Stream} }, streamsEnd - 100, true},
		"of another router":             {func(j *job) { j.rec.Relayed = true }, streamsEnd - 100, true},
		"a part of it had run before":   {func(j *job) { j.pace = nil }, streamsEnd - 100, true},
		"the process has ended it":      {func(j *job) { j.response.Store(responseDenied) }, streamsEnd - 1200, false},
		"waited, but what is left fits": {func(j *job) { j.pace = j.s.paces.Begin(at(0), route, "s", pace.Size{}) }, streamsEnd - 1200, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Server{Others: func() Others { return Others{Ready: 1} }}
			s.StartDrain(DrainPlan{Began: t0, AddressesExpire: at(3000), End: at(7600), StreamsEnd: at(streamsEnd), Exit: at(7900)})
			for range 500 {
				s.paces.Record(t0, route, pace.Run{Took: took, Complete: true})
			}
			j := &job{s: s, route: resumable, rec: &Record{Left: time.Second}, deadline: at(20_000)}
			j.pace = s.paces.Begin(at(5000), route, "s", pace.Size{})
			if test.change != nil {
				test.change(j)
			}
			qt.New(t).Check(j.beginStream(at(test.first)) == nil, qt.Equals, test.begins)
		})
	}
}
