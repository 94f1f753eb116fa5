package load_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/lab/load"
	"github.com/stoatmount/stoatmount/standin/engine"
	"github.com/stoatmount/stoatmount/standin/service"
)

// runDirect sends the load of one kind to address until five of its requests have finished.
func runDirect(c *qt.C, address string, kind load.Kind) load.Result {
	kind.Deadline, kind.PerSecond = time.Minute, 100
	g, err := load.New(load.Options{
		Entries: []string{address}, Workspaces: []load.Workspace{{Name: "w"}},
		HTTP: load.NewDirect(address), Kinds: []load.Kind{kind},
	})
	c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		for g.Result().Kinds[0].Sent < 5 {
			time.Sleep(time.Millisecond)
		}
		stop()
	}()
	return g.Run(ctx)
}

func TestStandInResponsesMatchExpectations(t *testing.T) {
	c := qt.New(t)
	e, err := engine.Start("", engine.Options{CacheTokens: 10000})
	c.Assert(err, qt.IsNil)
	defer e.Close()
	result := runDirect(c, e.Addr().String(), load.Kind{Name: "k", Turns: 3, StreamShare: 0.5, PromptTokens: 30, ResponseTokens: 8})
	c.Check(result.Total().InTime, qt.Equals, result.Total().Sent)
	audit := load.NewAudit(&result, func(r *load.RequestRecord) int { return e.ArrivalsByCallerRequestID(r.ID) })
	c.Check(audit.Findings, qt.HasLen, 0)
	c.Check(audit.OnceInTime, qt.Equals, result.Total().Sent)

	s, err := service.Start("", service.Options{})
	c.Assert(err, qt.IsNil)
	defer s.Close()
	result = runDirect(c, s.Addr().String(), load.Kind{Name: "k", Service: "booking", Path: "/booths", Keyed: true})
	c.Check(result.Total().InTime, qt.Equals, result.Total().Sent)
	audit = load.NewAudit(&result, func(r *load.RequestRecord) int { return s.ExecutionsByKey(r.Key) })
	c.Check(audit.Findings, qt.HasLen, 0)
}
