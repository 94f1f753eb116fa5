package plan

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/version/config"
)

// fleet returns three zones with one endpoint of the model each, and the
// booking service in zone a only.
func fleet() (config.State, Loads) {
	var state config.State
	var loads Loads
	for _, zone := range []string{"a", "b", "c"} {
		name := "model-" + zone
		state.Config.Endpoints = append(state.Config.Endpoints, config.Endpoint{Name: name, Zone: zone, Model: "scripts", Capacity: 8, ColdCapacity: 2})
		loads.Endpoints = append(loads.Endpoints, EndpointLoad{Name: name, InProgress: 6, Usable: true})
		loads.Hosts = append(loads.Hosts, HostLoad{Name: "entry-" + zone, Zone: zone, InProgress: 4})
	}
	state.Config.Endpoints = append(state.Config.Endpoints, config.Endpoint{Name: "booking-a", Zone: "a", Service: "booking", Capacity: 4})
	loads.Endpoints = append(loads.Endpoints, EndpointLoad{Name: "booking-a", InProgress: 1, Usable: true})
	state.Config.Kinds = []config.Kind{
		{Name: "adapt", Model: "scripts", Worth: 10},
		{Name: "archive", Model: "scripts", Worth: 50, CanWait: true},
		{Name: "book", Service: "booking", Worth: 100},
	}
	loads.Kinds = []KindLoad{{"adapt", 15}, {"archive", 3}, {"book", 1}}
	return state, loads
}

func TestWorkThatCanWaitGivesWayFirst(t *testing.T) {
	c := qt.New(t)
	state, loads := fleet()
	impact := OutOfService(config.NewSnapshot(state), loads, config.Target{Scope: config.ScopeZone, Name: "b"})
	c.Check(impact.Groups, qt.DeepEquals, []GroupImpact{{"scripts", 3, 2, 24, 16, 18}})
	c.Check(impact.Kinds, qt.DeepEquals, []KindImpact{{"archive", EffectWaits, true, 3, 2}})
	c.Check(impact.Disruptive, qt.IsFalse)
	c.Check(impact.InProgress, qt.Equals, 6)
	c.Check([]int{impact.HostsBefore, impact.HostsAfter}, qt.DeepEquals, []int{3, 2})
}

func TestLastEndpointOfAServiceBreaksItsKinds(t *testing.T) {
	c := qt.New(t)
	state, loads := fleet()
	impact := OutOfService(config.NewSnapshot(state), loads, config.Target{Scope: config.ScopeZone, Name: "a"})
	c.Check(impact.Disruptive, qt.IsTrue)
	c.Check(impact.Kinds[len(impact.Kinds)-1], qt.Equals, KindImpact{"book", EffectStops, false, 1, 1})
}

func TestColdAndOutEndpointsCountForLess(t *testing.T) {
	c := qt.New(t)
	state, loads := fleet()
	loads.Endpoints[0].Cold = true
	state.OutOfService = []config.OutOfService{{Target: config.Target{Scope: config.ScopeEndpoint, Name: "model-c"}}}
	impact := OutOfService(config.NewSnapshot(state), loads, config.Target{Scope: config.ScopeEndpoint, Name: "model-b"})
	c.Check(impact.Groups, qt.DeepEquals, []GroupImpact{{"scripts", 2, 1, 10, 2, 18}})
	c.Check(impact.Disruptive, qt.IsTrue)
}

func TestLastEntryHostBreaks(t *testing.T) {
	c := qt.New(t)
	state, loads := fleet()
	for i, zone := range []string{"a", "b", "c"} {
		target := config.Target{Scope: config.ScopeHost, Name: "entry-" + zone}
		impact := OutOfService(config.NewSnapshot(state), loads, target)
		c.Check(impact.Disruptive, qt.Equals, i == 2, qt.Commentf("%s", zone))
		c.Check(impact.InProgress, qt.Equals, 4, qt.Commentf("%s", zone))
		state.OutOfService = append(state.OutOfService, config.OutOfService{Target: target})
	}
}

func TestBackInServiceCountsReturningEndpointsAsCold(t *testing.T) {
	c := qt.New(t)
	state, loads := fleet()
	target := config.Target{Scope: config.ScopeZone, Name: "b"}
	state.OutOfService = []config.OutOfService{{Target: target}}
	loads.Endpoints[1].Usable = false // nothing may be sent there now
	impact := BackInService(config.NewSnapshot(state), loads, target)
	c.Check(impact.Groups, qt.DeepEquals, []GroupImpact{{"scripts", 2, 3, 16, 18, 18}})
	c.Check(fmt.Sprint(impact.HostsBefore, impact.HostsAfter), qt.Equals, "2 3")
}
