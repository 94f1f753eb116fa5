// Command 5 stops the routers of a small deployment in turn, a second apart, as a rolling restart does.
// Callers keep the addresses that they have while no router names any. No stream that a router has passed on may be cut off by its end.
package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/stoatmount/stoatmount/review/harness"
)

const (
	routers = 3
	// events and pause make streams of about 6 s.
	events   = 60
	pause    = 100 * time.Millisecond
	deadline = 12 * time.Second
	patience = 2400 * time.Millisecond
	// gap is the pause between the stops.
	gap = time.Second
	// excusedFor is the time from a router's SIGTERM in which a request was sent that its end may cut off.
	excusedFor = 3 * time.Second
	callers    = 10
	playTime   = 9 * time.Second
)

func main() { harness.Main(play) }

func play(f *harness.Fleet) (int, error) {
	err := f.Configure(3, []harness.Route{
		{Name: "draft", Kind: "stream", Service: "llm", TimeoutMS: 12000, GoalMS: 600, GapMS: 300, Attempts: 2, Resumable: true},
	})
	if err != nil {
		return harness.NotRun, err
	}
	for i := range 3 {
		if _, err := f.AddWorker(fmt.Sprintf("i-llm-%d", i), "llm", "v1", events, pause); err != nil {
			return harness.NotRun, err
		}
	}
	if err := f.AddRouters(routers); err != nil {
		return harness.NotRun, err
	}
	if err := f.AwaitReady(); err != nil {
		return harness.NotRun, err
	}
	time.Sleep(4 * time.Second) // the contact time

	var group sync.WaitGroup
	var mu sync.Mutex
	stopped := make(map[string]time.Time) // SIGTERM by router
	lost, sent := 0, 0
	end := time.Now().Add(playTime)
	for i := range callers {
		group.Go(func() {
			var addrs []string
			var until time.Time
			var streams sync.WaitGroup
			for n := 0; time.Now().Before(end); n++ {
				if time.Now().After(until) {
					if list, ttl := f.Resolve(i + n); list != nil {
						addrs, until = list, time.Now().Add(3*ttl) // some callers keep an answer three times as long
					}
				}
				if len(addrs) == 0 {
					continue
				}
				addr, id := addrs[n%len(addrs)], fmt.Sprintf("d%d-%d", i, n)
				streams.Go(func() {
					c, err := harness.Connect(addr)
					if err != nil {
						return
					}
					defer c.Close()
					a := f.Send(c, harness.Request{ID: id, Route: "draft", Subject: i, Deadline: deadline, Patience: patience})
					mu.Lock()
					defer mu.Unlock()
					sent++
					term, planned := stopped[addr]
					if !a.Complete && !a.GaveUp && f.Ran(id) && planned && a.SentAt.Sub(term) > excusedFor && !strings.Contains(fmt.Sprint(a.Err), "refused") {
						lost++
						f.Record("LOST: request %s, sent %.2f s after the SIGTERM, ended without a complete answer %.2f s after it", id,
							a.SentAt.Sub(term).Seconds(), time.Since(term).Seconds())
					}
				})
				time.Sleep(200 * time.Millisecond)
			}
			streams.Wait()
		})
	}
	time.Sleep(time.Second)
	if harness.Trouble() {
		for _, r := range f.Routers {
			mu.Lock()
			stopped[r.Front] = time.Now()
			mu.Unlock()
			f.Signal(r, syscall.SIGTERM)
			go func() {
				r.AwaitEnd()
				if err := f.StartRouter(r, false); err != nil {
					f.Record("%s not started again: %v", r.Name, err)
				}
			}()
			time.Sleep(gap)
		}
	}
	group.Wait()
	f.Record("LOST: %d of %d streams that were passed on to a worker ended without a complete answer", lost, sent)
	if lost > 0 {
		return harness.Broken, nil
	}
	return harness.Held, nil
}
