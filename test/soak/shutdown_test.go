//go:build process

package soak

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/stoatmount/stoatmount/platform/platformtest"
)

// shutdownEnvironment is a fleet of two routers. Plain services work for work, streams last six times as long.
func shutdownEnvironment(t *testing.T, work time.Duration) *environment {
	env := newEnvironment(t, buildRouter(t, "../.."), 1, 2)
	t.Cleanup(env.close)
	for _, e := range env.endpoints {
		e.SetBehaviour(func(*http.Request, int) platformtest.Behaviour {
			if e.Service == "llm" {
				return platformtest.Behaviour{Events: streamEvents, Pause: work}
			}
			return platformtest.Behaviour{Work: work}
		})
	}
	env.await("all routers are ready", env.allReady)
	return env
}

// ended is the end of a request.
type ended struct {
	result
	took time.Duration
}

// sendAll sends one request of each kind to a router, each on a connection of its own.
func (env *environment) sendAll(r *router, id string, kinds ...string) []ended {
	var mu sync.Mutex
	var group sync.WaitGroup
	var all []ended
	for _, kind := range kinds {
		group.Go(func() {
			at := time.Now()
			conn, err := net.Dial("tcp", r.frontAddr)
			if err != nil {
				return // another router is tried
			}
			defer func() { _ = conn.Close() }()
			v, _, _ := sendRequest(conn, bufio.NewReader(conn), request{id: id + "-" + kind, kind: kind, path: "/x", body: id + kind})
			mu.Lock()
			defer mu.Unlock()
			all = append(all, ended{v, time.Since(at)})
		})
	}
	group.Wait()
	return all
}

// Guards against a router that ends at once, with all that it has in progress, because of a signal
// while it is being stopped.
func TestStoppingRouterOutlivesOtherSignals(t *testing.T) {
	env := shutdownEnvironment(t, 250*time.Millisecond)
	r := env.routers[0]
	var all []ended
	done := make(chan struct{})
	go func() {
		defer close(done)
		all = env.sendAll(r, "s", "book", "look", "draft", "polish")
	}()
	env.await("the requests run", func() bool { return env.countRuns() == 4 })
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGINT, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGPIPE} {
		r.signal(s)
		time.Sleep(50 * time.Millisecond)
	}
	<-done
	slices.SortFunc(all, func(a, b ended) int { return int(a.took - b.took) })
	for _, v := range all {
		if v.status != http.StatusOK || v.wrong != "" {
			t.Errorf("%s: status %d, %s after %v", v.id, v.status, v.wrong, v.took)
		}
	}
	<-r.ended
	if state := r.cmd.ProcessState; !state.Success() {
		t.Errorf("%s: %s", r.name, state)
	}
}

// Guards against a SIGTERM that is not read while the settings are.
func TestRouterStopsWhileItsSettingsCannotBeRead(t *testing.T) {
	env := shutdownEnvironment(t, 50*time.Millisecond)
	r := env.routers[0]
	if err := errors.Join(os.Remove(r.settings), unix.Mkfifo(r.settings, 0o600)); err != nil { // without a writer, so that a read waits
		t.Fatal(err)
	}
	r.signal(syscall.SIGHUP)
	time.Sleep(200 * time.Millisecond)
	r.signal(syscall.SIGTERM)
	select {
	case <-r.ended:
	case <-time.After((usualGrace + 1) * time.Second):
		t.Errorf("%s still runs after its grace period", r.name)
	}
}

// countRuns returns how many requests the endpoints have begun to run.
func (env *environment) countRuns() int {
	n := 0
	for _, e := range env.endpoints {
		n += len(e.Runs())
	}
	return n
}
