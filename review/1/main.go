// Command 1 adds a worker of a new software version and takes it away again in order, and then all
// routers lose power. Streams that it began may go on only at its version.
package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stoatmount/stoatmount/review/harness"
)

const (
	streams = 24
	// events and pause make streams of about 5 s.
	events = 50
	pause  = 100 * time.Millisecond
	// knownAfter is the time in which the routers read the entry of a new worker.
	knownAfter = time.Second
	// canaryTime is how long the worker of the new version stays registered, and killAfter the time
	// from its removal to the loss of power.
	canaryTime = 1500 * time.Millisecond
	killAfter  = 400 * time.Millisecond
	// patience is the gap after which callers abandon a stream.
	patience = 2400 * time.Millisecond
	deadline = 12 * time.Second
	// allowed is the number of mixed streams up to which ORDER holds.
	allowed = 2
)

func main() { harness.Main(play) }

func play(f *harness.Fleet) (int, error) {
	err := f.Configure(3, []harness.Route{
		{Name: "draft", Kind: "stream", Service: "llm", TimeoutMS: 12000, GoalMS: 600, GapMS: 300, Attempts: 2, Resumable: true},
	})
	if err != nil {
		return harness.NotRun, err
	}
	for i := range 2 {
		if _, err := f.AddWorker(fmt.Sprintf("i-llm-%d", i), "llm", "v1", events, pause); err != nil {
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
	// The routers write hints to the store now and then; the new version comes after such a write.
	hints := f.Store.Records("keyed.hints")
	if err := harness.Await("the routers write hints", func() bool { return f.Store.Records("keyed.hints") > hints }); err != nil {
		return harness.NotRun, err
	}
	canary, err := f.AddWorker("i-llm-new", "llm", "v2", events, pause)
	if err != nil {
		return harness.NotRun, err
	}
	time.Sleep(knownAfter)

	var group sync.WaitGroup
	var mixed, took atomic.Int32
	for i := range streams {
		group.Go(func() {
			versions, tries := stream(f, i)
			if tries > 1 {
				took.Add(1)
			}
			if strings.Contains(versions, "v1") && strings.Contains(versions, "v2") {
				mixed.Add(1)
				f.Record("ORDER: stream d%d has events of versions %s", i, versions)
			}
		})
	}
	time.Sleep(canaryTime - knownAfter)
	canary.Leave()
	time.Sleep(killAfter)
	if harness.Trouble() {
		f.Record("all routers lose power")
		for _, r := range f.Routers {
			r.Kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, r := range f.Routers {
			if err := f.StartRouter(r, false); err != nil {
				return harness.NotRun, err
			}
		}
	}
	group.Wait()
	f.Record("ORDER: %d of %d streams hold events of two versions; %d were taken up; begun streams in the store: %d", mixed.Load(), streams, took.Load(),
		f.Store.Records("begun"))
	if mixed.Load() > allowed {
		return harness.Broken, nil
	}
	return harness.Held, nil
}

// stream sends a stream's request and takes the stream up until it is complete or its time is over. It returns
// the versions of the events.
func stream(f *harness.Fleet, i int) (versions string, tries int) {
	began, first, have := time.Now(), "", 0
	var all []string
	for n := 0; time.Since(began) < deadline-time.Second; n++ {
		front := f.Routers[(i+n)%len(f.Routers)].Front
		c, err := harness.Connect(front)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		id := fmt.Sprintf("d%d-%d", i, n)
		a := f.Send(c, harness.Request{ID: id, Route: "draft", Subject: i, Resumes: first, LastEvent: have, Deadline: deadline - time.Since(began), Patience: patience})
		c.Close()
		tries++
		if first == "" && a.Events > 0 {
			first = id
		}
		have += a.Events
		all = append(all, a.Versions...)
		if a.Complete && a.Status == 200 {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	return strings.Join(all, ","), tries
}
