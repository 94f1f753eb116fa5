package faults

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/standin/engine"
)

// Restarted routers learn from the others which bodies crashed endpoints.
func TestCrashingBodyStaysBlockedWhileRoutersRestart(t *testing.T) {
	c := qt.New(t)
	f := start(c, smallConfig(6, 1), 3)
	crash := func() {
		for _, address := range f.CallerAddresses() {
			r := chat(c, address, "a scene "+engine.CrashMarker, 8, false)
			c.Check(r.status, qt.Not(qt.Equals), 200)
			time.Sleep(100 * time.Millisecond)
		}
	}
	for range 3 {
		crash()
	}
	before := f.Site.Stats().Crashes
	c.Check(before <= 3, qt.IsTrue, qt.Commentf("%d endpoints crashed", before))
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	for _, r := range f.Routers {
		c.Assert(f.Restart(r), qt.IsNil)
		c.Assert(f.WaitReady(ctx), qt.IsNil)
		crash()
	}
	c.Check(f.Site.Stats().Crashes, qt.Equals, before)
}
