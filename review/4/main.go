// Command 4 lets one sound worker fall silent for a moment while it streams, during the planned stop
// of the router that passes its streams on. The streams may not be cut off.
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/stoatmount/stoatmount/review/harness"
)

const (
	streams = 16
	// events and pause make streams of about 3 s.
	events = 30
	pause  = 100 * time.Millisecond
	// silence is a second or so.
	silence = 1300 * time.Millisecond
	// patience is the gap after which callers abandon a stream: the longest of two seconds, four
	// times the objective and eight times the pause that the route declares.
	patience = 2400 * time.Millisecond
)

func main() { harness.Main(play) }

func play(f *harness.Fleet) (int, error) {
	err := f.Configure(3, []harness.Route{
		{Name: "draft", Kind: "stream", Service: "llm", TimeoutMS: 8000, GoalMS: 600, GapMS: 300, Attempts: 2, Resumable: true},
	})
	if err != nil {
		return harness.NotRun, err
	}
	var canary *harness.Worker
	for _, w := range []struct{ id, version string }{{"i-llm-0", "v1"}, {"i-llm-1", "v1"}, {"i-llm-2", "v2"}} {
		if canary, err = f.AddWorker(w.id, "llm", w.version, events, pause); err != nil {
			return harness.NotRun, err
		}
	}
	if err := f.AddRouters(3); err != nil {
		return harness.NotRun, err
	}
	if err := f.AwaitReady(); err != nil {
		return harness.NotRun, err
	}
	time.Sleep(4 * time.Second) // the contact time

	var group sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for i := range streams {
		group.Go(func() {
			c, err := harness.Connect(f.Routers[0].Front)
			if err != nil {
				f.Record("caller %d: %v", i, err)
				return
			}
			defer c.Close()
			a := f.Send(c, harness.Request{ID: fmt.Sprintf("d%d", i), Route: "draft", Subject: i, Deadline: 8 * time.Second, Patience: patience})
			if !a.Complete && !a.GaveUp && f.Ran(fmt.Sprintf("d%d", i)) {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	f.Signal(f.Routers[0], syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	if harness.Trouble() {
		canary.FallSilent(silence)
	}
	group.Wait()
	f.Record("LOST: %d of %d streams that were passed on to a worker ended without a complete answer", lost, streams)
	if lost > 0 {
		return harness.Broken, nil
	}
	return harness.Held, nil
}
