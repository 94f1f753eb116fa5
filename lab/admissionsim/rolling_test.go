package admissionsim

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestRollingReplacementAndTwoRestartsInARow(t *testing.T) {
	c := qt.New(t)
	s := NewSimulation(Small, 1, NewOwners)
	f := s.Fleet
	f.Run(warmUp)
	s.StartTraffic()
	f.Run(steadyTime)
	var shares []float64
	for i := range s.Routers {
		old := f.Routers[i]
		f.Add(fmt.Sprintf("new-%d", i))
		f.Run(10 * time.Second)
		old.Table.SetDraining(f.Now, true)
		old.Member.Draining = true
		f.After(8*time.Second, func() { f.Kill(old) })
		shares = append(shares, s.servedShare(10*time.Second))
	}
	for range 2 {
		f.Kill(f.Routers[s.Routers])
		f.Run(time.Second)
		f.Start(f.Routers[s.Routers])
		shares = append(shares, s.servedShare(4*time.Second))
	}
	f.Run(20 * time.Second)
	shares = append(shares, s.servedShare(10*time.Second))
	requests, worst := s.Overruns()
	c.Logf("served %.3f, over the mean %d", shares, s.OverMean)
	c.Check(requests, qt.Equals, 0, qt.Commentf("by up to %d", worst))
	c.Check(s.Check.Total(), qt.Equals, int64(0))
	c.Check(shares[len(shares)-1] > 0.9, qt.IsTrue)
}
