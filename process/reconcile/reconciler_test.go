package reconcile

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/version/config"
)

const lease = 2 * time.Second

func fleet(endpoints int, version string, checks func(int) bool) *config.Snapshot {
	state := config.State{Version: 5} // the fencing token of its orders
	state.Config.Models = []config.Model{{Name: "m", Version: version}}
	state.Config.Limits.WeightLoadsPerMinute = 60
	for i := range endpoints {
		state.Config.Endpoints = append(state.Config.Endpoints, config.Endpoint{
			Name: fmt.Sprintf("w%d", i), Address: netip.MustParseAddrPort("10.0.0.1:80"),
			Model: "m", Capacity: 4, ColdCapacity: 1, WarmAfter: 2, ChecksFence: checks(i),
		})
	}
	return config.NewSnapshot(state)
}

func always(int) bool { return true }
func never(int) bool  { return false }

// reports returns reports of endpoints that serve version, with running
// requests each.
func reports(s *config.Snapshot, version string, running int, at time.Time) map[string]Report {
	all := make(map[string]Report)
	for _, e := range s.Config.Endpoints {
		all[e.Name] = Report{At: at, LoadReport: protocol.LoadReport{
			Model: "m", Version: version, Running: running, Completed: 9, // above WarmAfter
		}}
	}
	return all
}

func TestOrdersLeaveEnoughEndpointsForTheLoad(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := fleet(4, "2", always)
	r := New("m")
	in := Input{Now: now, Snapshot: s, Fresh: true, OwnerSince: now, Lease: lease}
	in.Reports = reports(s, "1", 2, now)
	c.Check(r.Plan(in), qt.HasLen, 0, qt.Commentf("a new owner starts without tokens"))
	sent := 0
	for range 10 {
		in.Now = in.Now.Add(time.Second)
		in.Reports = reports(s, "1", 2, in.Now)
		for _, planned := range r.Plan(in) {
			sent++
			r.RecordOutcome(planned.Endpoint, Accepted, in.Now)
		}
	}
	// 8 running requests need a capacity of 10; 3 endpoints have 12, 2 only 8.
	c.Check(sent, qt.Equals, 1)
}

func TestEndpointWithoutFenceCheckWaitsForEarlierOwners(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	s := fleet(1, "2", never)
	r := New("m")
	in := Input{Now: start, Snapshot: s, Fresh: true, OwnerSince: start, Lease: lease}
	for in.Now.Sub(start) < lease+OrderTimeout {
		in.Reports = reports(s, "1", 0, in.Now)
		c.Assert(r.Plan(in), qt.HasLen, 0, qt.Commentf("%v", in.Now.Sub(start)))
		in.Now = in.Now.Add(100 * time.Millisecond)
	}
	in.Now = in.Now.Add(time.Second)
	in.Reports = reports(s, "1", 0, in.Now)
	c.Check(r.Plan(in), qt.HasLen, 1)
}

func TestNoOrderWhileTheLastMayStillArrive(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := fleet(1, "2", always)
	r := New("m")
	in := Input{Now: now, Snapshot: s, Fresh: true, OwnerSince: now, Lease: lease}
	in.Reports = reports(s, "1", 0, now)
	r.Plan(in)
	in.Now = now.Add(2 * time.Second)
	c.Assert(r.Plan(in), qt.HasLen, 1)
	in.Now = now.Add(4 * time.Second)
	c.Check(r.Plan(in), qt.HasLen, 0)
}

func TestNoOrderFromAStaleOrOlderConfiguration(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := fleet(1, "2", always)
	r := New("m")
	in := Input{Now: now, Snapshot: s, OwnerSince: now, Lease: lease, Reports: reports(s, "1", 0, now)}
	r.Plan(in)
	in.Now = now.Add(2 * time.Second)
	c.Check(r.Plan(in), qt.HasLen, 0)
	in.Fresh = true
	report := in.Reports["w0"]
	report.Fence = 6 // newer than the configuration
	in.Reports["w0"] = report
	c.Check(r.Plan(in), qt.HasLen, 0)
}

// TestRandomUpgrades upgrades a fleet to a new version under changing load and
// failing orders. Capacity must never fall below the load, loads of weights must
// stay within the store's rate, and all endpoints must end with the new version.
func TestRandomUpgrades(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 9).Draw(t, "endpoints")
		s := fleet(size, "2", func(i int) bool { return i%2 == 0 })
		r := New("m")
		start := time.Unix(1000, 0)
		in := Input{Now: start, Snapshot: s, Fresh: true, OwnerSince: start, Lease: lease}
		loadEnds := make(map[string]time.Time)
		current := reports(s, "1", 0, start)
		sent := 0
		for step := 0; step < 400 && len(r.Pending(in)) > 0 || step == 0; step++ {
			in.Now = in.Now.Add(time.Second)
			busy := rapid.IntRange(0, size-1).Draw(t, "busy")
			stepEndpoints(s, current, loadEnds, in.Now, busy)
			in.Reports = current
			for _, planned := range r.Plan(in) {
				sent++
				if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
					r.RecordOutcome(planned.Endpoint, Failed, in.Now)
					continue
				}
				r.RecordOutcome(planned.Endpoint, Accepted, in.Now)
				loadEnds[planned.Endpoint] = in.Now.Add(5 * time.Second)
				report := current[planned.Endpoint]
				report.Loading = true
				report.Running = 0
				current[planned.Endpoint] = report
			}
			checkCapacity(t, s, current)
		}
		if left := r.Pending(in); len(left) > 0 {
			t.Fatalf("not upgraded: %v", left)
		}
		if minutes := in.Now.Sub(start).Minutes(); float64(sent) > 60*minutes+1 {
			t.Fatalf("%d loads of weights in %v minutes", sent, minutes)
		}
	})
}

// stepEndpoints completes loads of weights that are due and distributes a number
// of requests, busy, over the endpoints that serve.
func stepEndpoints(s *config.Snapshot, current map[string]Report, loadEnds map[string]time.Time, now time.Time, busy int) {
	for _, e := range s.Config.Endpoints {
		report := current[e.Name]
		report.At = now
		report.Running = 0
		if end, loading := loadEnds[e.Name]; loading && !now.Before(end) {
			report.Loading = false
			report.Version = "2"
			delete(loadEnds, e.Name)
		}
		if !report.Loading && busy > 0 {
			report.Running = 1
			busy--
		}
		current[e.Name] = report
	}
}

func checkCapacity(t *rapid.T, s *config.Snapshot, current map[string]Report) {
	load, capacity := 0, 0
	for _, e := range s.Config.Endpoints {
		report := current[e.Name]
		load += report.Running
		if !report.Loading {
			capacity += e.Capacity
		}
	}
	if capacity < load {
		t.Fatalf("%d requests exceed the remaining capacity of %d", load, capacity)
	}
}
