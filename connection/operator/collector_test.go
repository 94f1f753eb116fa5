package operator_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/operator"
	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/process/burn"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/version/config"
	"github.com/stoatmount/stoatmount/version/plan"
)

// fakeFleet is a fleet of Collectors that query each other.
type fakeFleet struct {
	clock        *clockwork.FakeClock
	members      []member.Member
	routers      map[string]*operator.Collector
	unresponsive map[string]bool
}

func (r *fakeFleet) Members() []member.Member { return r.members }

func (r *fakeFleet) Status(_ context.Context, to member.Member, counters bool) ([]byte, error) {
	if r.unresponsive[to.Name] {
		return nil, errors.New("silent")
	}
	return r.routers[to.Name].StatusReply(counters)
}

func (r *fakeFleet) add(name string) *burn.Recorder {
	recorder := burn.NewRecorder(name, 1, "a", r.clock.Now())
	r.members = append(r.members, member.Member{Name: name, Incarnation: 1, Zone: "a"})
	r.routers[name] = operator.NewCollector(operator.CollectorOptions{
		Clock: r.clock,
		Peers: r,
		LocalStatus: func(now time.Time) api.Router {
			return api.Router{
				Name: name, Incarnation: 1, Zone: "a", At: now, InProgress: 2,
				Endpoints: []api.Endpoint{{Name: "shared", Permits: 3, Usable: true}},
				Kinds:     []plan.KindLoad{{Kind: "x", Count: 1}},
			}
		},
		Recorder: recorder,
		Replicas: burn.NewReplicaStore(),
		Snapshot: func() *config.Snapshot {
			return config.NewSnapshot(config.State{Config: config.Config{Kinds: []config.Kind{{Name: "x", Objective: 0.9}}}})
		},
	})
	return recorder
}

func TestFleetAndBurnWithUnresponsiveRouters(t *testing.T) {
	c := qt.New(t)
	r := &fakeFleet{clock: clockwork.NewFakeClock(), routers: make(map[string]*operator.Collector), unresponsive: make(map[string]bool)}
	recorders := []*burn.Recorder{r.add("entry-1"), r.add("entry-2"), r.add("entry-3")}
	for _, recorder := range recorders {
		recorder.Count(r.clock.Now(), "x", burn.InTime)
	}
	queried := r.routers["entry-1"]

	fleet := queried.Fleet(t.Context())
	c.Check(fleet.Routers, qt.HasLen, 3)
	loads := operator.LoadsOf(fleet)
	c.Check(loads.Endpoints, qt.DeepEquals, []plan.EndpointLoad{{Name: "shared", InProgress: 9, Usable: true}})
	c.Check(loads.Kinds, qt.DeepEquals, []plan.KindLoad{{Kind: "x", Count: 3}})

	counted := queried.Burn(t.Context())
	c.Check(counted.Processes, qt.HasLen, 3)
	c.Assert(counted.Kinds, qt.HasLen, 1)
	c.Check(counted.Kinds[0].Objective, qt.Equals, 0.9)
	c.Check(counted.Kinds[0].Total, qt.Equals, burn.Counts{InTime: 3})
	c.Check(counted.Kinds[0].Minutes, qt.HasLen, 1)

	r.unresponsive["entry-2"] = true
	r.members = r.members[:2]
	r.clock.Advance(30 * time.Second)
	fleet = queried.Fleet(t.Context())
	c.Assert(fleet.Routers, qt.HasLen, 3)
	c.Check(fleet.Routers[0].Unreachable, qt.IsFalse)
	c.Check(fleet.Routers[1].Unreachable, qt.IsTrue)
	c.Check(fleet.Routers[1].AgeMs, qt.Equals, int64(30_000))
	c.Check(fleet.Routers[2].Name, qt.Equals, "entry-3")
	c.Check(operator.LoadsOf(fleet).Hosts, qt.HasLen, 1)
	counted = queried.Burn(t.Context())
	c.Check(counted.Unresponsive, qt.DeepEquals, []string{"entry-2"})
	c.Check(counted.Unknown, qt.DeepEquals, []string{"entry-2"})

	r.clock.Advance(time.Hour)
	c.Check(queried.Fleet(t.Context()).Routers, qt.HasLen, 2)
}
