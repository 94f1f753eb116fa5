// Command 9 plays a release of a service's endpoints, which leave without a report that they drain, while the
// router that reads the store for the others stands still at times.
package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/stoatmount/stoatmount/review/fleet"
)

const (
	service   = "app"
	routers   = 7
	zones     = 3
	endpoints = 6
	freezes   = 10
	frozen    = 3 * time.Second
	// between is the time from the end of one freeze to the next one.
	between = 2500 * time.Millisecond
	// step is the time between two replacements of an endpoint.
	step = 500 * time.Millisecond
	// servesOn is how long an endpoint serves after the removal of its entry.
	servesOn = fleet.Drain + time.Second
	// pause is the time between two requests.
	pause     = 8 * time.Millisecond
	timeLimit = 1500 * time.Millisecond
)

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: case BINARY FOLDER")
		os.Exit(fleet.CantDo)
	}
	f, err := fleet.New(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(fleet.CantDo)
	}
	code, err := play(f)
	if err != nil {
		fmt.Println(err)
		code = fleet.CantDo
	}
	if folder := os.Getenv("LOGS"); folder != "" {
		f.KeepLogs(folder)
	}
	f.Close()
	os.Exit(code)
}

func play(f *fleet.Fleet) (int, error) {
	f.Configure(1, []fleet.Route{{Name: "look", Kind: "idempotent", Service: service, Timeout: timeLimit, Objective: 100 * time.Millisecond, Attempts: 2}}, []string{service})
	r := release{f: f}
	for range endpoints {
		if err := r.add(); err != nil {
			return 0, err
		}
	}
	if err := f.StartRouters(routers, zones); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { callers(f, stop) })
	time.Sleep(4 * time.Second) // longer than the contact time
	group.Go(func() { r.run(stop) })

	reader := f.Routers[0] // its name comes first; callers use the others
	for range freezes {
		time.Sleep(between)
		if f.Trouble {
			reader.Signal(syscall.SIGSTOP)
			f.Record.Write("router %s stands still", reader.Name)
		}
		time.Sleep(frozen)
		if f.Trouble {
			reader.Signal(syscall.SIGCONT)
			f.Record.Write("router %s goes on", reader.Name)
		}
	}
	time.Sleep(between)
	close(stop)
	group.Wait()
	late := r.late()
	f.Record.Write("requests that reached an endpoint later than %d ms after the removal of its entry: %d", fleet.Drain.Milliseconds(), late)
	fmt.Printf("late at endpoints that had left: %d; endpoints that left: %d\n", late, len(r.left))
	if late > 0 {
		return fleet.Broken, nil
	}
	return fleet.Held, nil
}

// callers sends requests to all routers but the one that stands still at times.
func callers(f *fleet.Fleet, stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		router := f.Routers[1+n%(len(f.Routers)-1)]
		group.Go(func() {
			res := f.Call(router, fleet.Request{Method: "GET", Path: fmt.Sprintf("/look/%d", n), TimeLimit: timeLimit})
			f.Record.Write("request %s to %s: status %d, error %v", res.ID, router.Name, res.Status, res.Err)
		})
	}
}

// release replaces the endpoints one after the other.
type release struct {
	f       *fleet.Fleet
	started int
	serving []*fleet.Endpoint
	left    []departure
}

// departure is an endpoint whose entry was removed.
type departure struct {
	endpoint *fleet.Endpoint
	at       time.Time
}

func (r *release) add() error {
	e, err := r.f.AddEndpoint(fmt.Sprintf("i-%03d", r.started), service, fmt.Sprintf("z%d", r.started%zones), "v1")
	if err != nil {
		return err
	}
	r.started++
	r.serving = append(r.serving, e)
	return nil
}

func (r *release) run(stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(step):
		}
		if err := r.add(); err != nil {
			r.f.Record.Write("no further endpoint: %v", err)
			return
		}
		old := r.serving[0]
		r.serving = r.serving[1:]
		r.left = append(r.left, departure{old, old.Withdraw()})
		group.Go(func() {
			time.Sleep(servesOn)
			old.Close()
		})
	}
}

// late counts the requests that reached an endpoint after the time in which it was to get its last ones.
func (r *release) late() int {
	n := 0
	for _, d := range r.left {
		for _, run := range d.endpoint.Runs() {
			if after := run.At.Sub(d.at); after > fleet.Drain {
				n++
				r.f.Record.Write("request %s reached endpoint %s %d ms after the removal of its entry was acknowledged", run.ID, d.endpoint.ID, after.Milliseconds())
			}
		}
	}
	return n
}
