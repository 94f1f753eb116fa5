// Command 2 stops a router in order, as a rolling restart does, and tells it a second later that its
// settings file has changed. No request that the router has passed on may be cut off.
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/stoatmount/stoatmount/review/harness"
)

const (
	streams  = 6
	bookings = 6
	// events and pause make streams of about 3 s, bookingWork a slow booking.
	events      = 30
	pause       = 100 * time.Millisecond
	bookingWork = 700 * time.Millisecond
	// hupAfter is the time from the router's SIGTERM to its SIGHUP.
	hupAfter = time.Second
)

func main() { harness.Main(play) }

func play(f *harness.Fleet) (int, error) {
	err := f.Configure(3, []harness.Route{
		{Name: "draft", Kind: "stream", Service: "llm", TimeoutMS: 8000, GoalMS: 600, GapMS: 300, Attempts: 2, Resumable: true},
		{Name: "book", Kind: "non_idempotent", Service: "app", TimeoutMS: 1500, GoalMS: 100, Attempts: 1},
	})
	if err != nil {
		return harness.NotRun, err
	}
	for i := range 2 {
		if _, err := f.AddWorker(fmt.Sprintf("i-llm-%d", i), "llm", "v1", events, pause); err != nil {
			return harness.NotRun, err
		}
		w, err := f.AddWorker(fmt.Sprintf("i-app-%d", i), "app", "v1", 0, 0)
		if err != nil {
			return harness.NotRun, err
		}
		w.Work = bookingWork
	}
	if err := f.AddRouters(3); err != nil {
		return harness.NotRun, err
	}
	if err := f.AwaitReady(); err != nil {
		return harness.NotRun, err
	}
	time.Sleep(4 * time.Second) // the contact time
	leaving := f.Routers[0]

	var group sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	send := func(route, id string, subject int, deadline time.Duration) {
		c, err := harness.Connect(leaving.Front)
		if err != nil {
			f.Record("caller: request %s not sent: %v", id, err)
			return
		}
		defer c.Close()
		a := f.Send(c, harness.Request{ID: id, Route: route, Subject: subject, Deadline: deadline, Patience: 2400 * time.Millisecond})
		if !a.Complete && !a.GaveUp && f.Ran(id) {
			mu.Lock()
			lost++
			mu.Unlock()
		}
	}
	for i := range streams {
		group.Go(func() { send("draft", fmt.Sprintf("d%d", i), i, 8*time.Second) })
	}
	time.Sleep(200 * time.Millisecond)
	f.Signal(leaving, syscall.SIGTERM)
	time.Sleep(hupAfter - 300*time.Millisecond)
	for i := range bookings {
		group.Go(func() { send("book", fmt.Sprintf("b%d", i), i, 1500*time.Millisecond) })
	}
	time.Sleep(300 * time.Millisecond)
	if harness.Trouble() {
		if err := f.ChangeSettings(leaving); err != nil {
			return harness.NotRun, err
		}
		f.Signal(leaving, syscall.SIGHUP)
	}
	group.Wait()
	f.Record("LOST: %d of %d requests that were passed on to a worker ended without a complete answer", lost, streams+bookings)
	if lost > 0 {
		return harness.Broken, nil
	}
	return harness.Held, nil
}
