//go:build process

package soak

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stoatmount/stoatmount/platform"
	"github.com/stoatmount/stoatmount/platform/platformtest"
)

var (
	seeds    = flag.Int("seeds", 2, "number of soaks")
	seed     = flag.Uint64("seed", 1, "seed of the first soak")
	troubled = flag.Duration("troubled", 4*time.Second, "time with faults in each soak")
	fleet    = flag.Int("routers", 4, "routers of a soak")
)

// failedOnce are seeds that failed before, each with its cause.
var failedOnce = []uint64{
	1000, // the first read of the store waited 29 s at one that fell silent as the process started
	2000, // the same
	3000, // the same
}

const (
	callersEach = 3 // of each router
	calm        = 3 * time.Second
	// healed is how long after the last fault all is to be served again: the time
	// after which the platform counts a host as undisturbed, and twice the pause
	// of the longest timeout on the way.
	healed = 6 * time.Second
)

func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "stoatmount")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/stoatmount").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	list := append([]uint64{}, failedOnce...)
	for i := range *seeds {
		list = append(list, *seed+uint64(i))
	}
	for _, s := range list {
		t.Run(fmt.Sprint(s), func(t *testing.T) { soak(t, binary, s) })
	}
}

func soak(t *testing.T, binary string, seed uint64) {
	w := newWorld(t, binary, seed, *fleet)
	defer w.close()
	for _, e := range w.endpoints {
		e.SetBehaviour(w.sound(e))
	}
	w.await("all routers are ready", w.allReady)
	c := startCallers(w, callersEach*len(w.routers), seed)
	time.Sleep(500 * time.Millisecond)
	w.trouble(*troubled)
	w.heal()
	w.await("all routers are ready again", w.allReady)
	before := len(c.snapshot())
	time.Sleep(calm)
	all := c.end()
	w.judge(all, all[before:])
	if t.Failed() {
		w.keepLogs(seed)
	}
}

func (c *callers) snapshot() []verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.results
}

func (w *world) allReady() bool {
	for _, r := range w.routers {
		if !r.readyNow() {
			return false
		}
	}
	return true
}

func (w *world) await(what string, condition func() bool) {
	w.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	w.t.Errorf("not within 20 s: %s", what)
}

// sound is the behaviour of an endpoint without faults.
func (w *world) sound(e *platformtest.Endpoint) func(*http.Request, int) platformtest.Behaviour {
	return func(*http.Request, int) platformtest.Behaviour {
		b := platformtest.Behaviour{Work: 3 * time.Millisecond}
		if e.Service == "llm" {
			b.Events, b.Pause = streamEvents, 8*time.Millisecond
		}
		return b
	}
}

// trouble injects faults that overlap, for a while.
func (w *world) trouble(length time.Duration) {
	busy := make(map[*router]bool) // a restart or a pause is in progress
	done := make(chan *router, 64)
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Duration(50+w.rng.IntN(250)) * time.Millisecond) {
		for len(done) > 0 {
			delete(busy, <-done)
		}
		r := w.routers[w.rng.IntN(len(w.routers))]
		e := w.endpoints[w.rng.IntN(len(w.endpoints))]
		switch n := w.rng.IntN(10); {
		case n < 3 && !busy[r]:
			busy[r] = true
			go w.disturb(r, n, time.Duration(w.rng.IntN(1200))*time.Millisecond, done)
		case n < 5:
			r.store.set(mode(w.rng.IntN(int(delays) + 1)))
		case n < 7:
			w.proxies[e.ID].set(mode(w.rng.IntN(int(delays) + 1)))
		case n == 7:
			e.SetBehaviour(w.faulty(e))
		case n == 8:
			w.configure()
		default:
			state := []string{"ready", "draining"}[w.rng.IntN(2)]
			w.entry(e, state)
		}
	}
	for len(busy) > 0 {
		delete(busy, <-done)
	}
}

// disturb kills, stops or pauses a process.
func (w *world) disturb(r *router, how int, pause time.Duration, done chan<- *router) {
	switch how {
	case 0:
		w.restart(r, syscall.SIGKILL)
	case 1:
		w.restart(r, syscall.SIGTERM)
	default:
		r.signal(syscall.SIGSTOP)
		time.Sleep(pause)
		r.signal(syscall.SIGCONT)
	}
	done <- r
}

// faulty is the behaviour of an endpoint that fails part of its requests.
func (w *world) faulty(e *platformtest.Endpoint) func(*http.Request, int) platformtest.Behaviour {
	faults := []func(*platformtest.Behaviour){
		func(b *platformtest.Behaviour) { b.ResetAfterRun = true }, func(b *platformtest.Behaviour) { b.Status = 500; b.Events = 0 },
		func(b *platformtest.Behaviour) { b.Garbage = true }, func(b *platformtest.Behaviour) { b.Shed = true },
		func(b *platformtest.Behaviour) { b.ResetAt = 3 }, func(b *platformtest.Behaviour) { b.StallAt = 4 },
		func(b *platformtest.Behaviour) { b.Close = true }, func(b *platformtest.Behaviour) { b.Work = 300 * time.Millisecond },
	}
	fault, every, sound := faults[w.rng.IntN(len(faults))], 2+w.rng.IntN(3), w.sound(e)
	return func(r *http.Request, n int) platformtest.Behaviour {
		b := sound(r, n)
		if n%every == 0 {
			fault(&b)
		}
		return b
	}
}

// heal ends all faults and waits until they cannot show any more.
func (w *world) heal() {
	for _, r := range w.routers {
		r.store.set(through)
	}
	for _, e := range w.endpoints {
		w.proxies[e.ID].set(through)
		e.SetBehaviour(w.sound(e))
		w.entry(e, "ready")
	}
	w.store.Put(platform.TopicEndpoints, "i-unreadable", []byte("{"))
	w.configure()
	time.Sleep(healed)
}

// judge checks the promises against what endpoints and callers saw.
func (w *world) judge(all, last []verdict) {
	runs := make(map[string]int)
	for _, e := range w.endpoints {
		for _, r := range e.Runs() {
			runs[r.ID]++
			if r.Workspace != workspace || r.Header.Get("Authorization") != "" {
				w.t.Errorf("%s ran for workspace %q, with key %q", r.ID, r.Workspace, r.Header.Get("Authorization"))
			}
		}
	}
	for _, v := range all {
		once := v.kind == "book" || v.kind == "polish"
		switch {
		case v.wrong != "":
			w.t.Errorf("%s %s: status %d, %s", v.kind, v.id, v.status, v.wrong)
		case once && runs[v.id] > 1:
			w.t.Errorf("%s %s ran %d times", v.kind, v.id, runs[v.id])
		case once && runs[v.id] > 0 && (v.status == 503 || v.status == 429 || v.status == 408 || v.status == 421):
			w.t.Errorf("%s %s was refused with %d, and ran", v.kind, v.id, v.status)
		case runs[v.id] > 2:
			w.t.Errorf("%s %s ran %d times, over its attempts", v.kind, v.id, runs[v.id])
		case v.status >= 400 && v.status < 500 && v.status != 408 && v.status != 421 && v.status != 429:
			w.t.Errorf("%s %s was denied with %d", v.kind, v.id, v.status)
		}
	}
	served := 0
	for _, v := range last {
		if v.status == 200 {
			served++
		}
	}
	if len(last) < 20 || served*100 < len(last)*99 {
		w.t.Errorf("after the faults %d of %d requests were served", served, len(last))
	}
	for _, r := range w.routers {
		if r.endedUnaskedReason != "" {
			w.t.Errorf("%s ended by itself: %s", r.name, r.endedUnaskedReason)
		}
	}
	w.t.Logf("%d requests, %d after the faults, %d of these served", len(all), len(last), served)
}

// keepLogs copies the routers' logs of a failed soak to where they outlive it.
func (w *world) keepLogs(seed uint64) {
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		w.t.Error(err)
		return
	}
	for _, r := range w.routers {
		data, err := os.ReadFile(r.logs)
		if err == nil {
			err = os.WriteFile(filepath.Join(folder, r.name+".log"), data, 0o600)
		}
		if err != nil {
			w.t.Error(err)
		}
	}
	w.t.Logf("logs kept in %s", folder)
}
