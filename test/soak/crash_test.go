//go:build process

package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"
)

const (
	// crashPath ends the target of a request that crashes each endpoint that runs it.
	crashPath     = "/crash"
	crashDownTime = 1500 * time.Millisecond
	crashTimeout  = 500 * time.Millisecond // a paused router may keep the connection
	// crashesBefore is the number of crashes that identify a request, and crashesAfter
	// how many more the platform allows once a contact time has passed.
	crashesBefore, crashesAfter = 3, 3
)

// crash is a run of the crashing request.
type crash struct {
	at     time.Time
	router int // that sent it
}

// startCrashingCaller sends the same request to the routers on and on, also those that
// are disturbed, until the returned function is called.
func (env *environment) startCrashingCaller(seed uint64) (stop func()) {
	rng := rand.New(rand.NewPCG(seed, 2))
	kind := []string{"look", "draft", "book"}[rng.IntN(3)]
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for n := 0; ; n++ {
			select {
			case <-end:
				return
			case <-time.After(time.Duration(20+rng.IntN(300)) * time.Millisecond):
			}
			i := rng.IntN(len(env.routers))
			conn, err := net.DialTimeout("tcp", env.routers[i].frontAddr, 200*time.Millisecond)
			if err != nil {
				continue
			}
			sendRequest(conn, bufio.NewReader(conn), request{id: fmt.Sprintf("crash-%d-%d", i, n), kind: kind, path: crashPath, body: "crash", timeout: crashTimeout})
			_ = conn.Close()
		}
	}()
	return func() { close(end); <-ended }
}

func (env *environment) recordCrash(id string) {
	parts := strings.Split(id, "-")
	router, err := strconv.Atoi(parts[1])
	if err != nil {
		env.t.Errorf("unexpected id %q of a crashing request", id)
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	env.crashes = append(env.crashes, crash{time.Now(), router})
}

// checkCrashes checks how often routers in touch sent the crashing request on after it
// was identified.
func (env *environment) checkCrashes() {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.t.Logf("%d endpoint crashes", len(env.crashes))
	if len(env.crashes) <= crashesBefore {
		return
	}
	late := 0
	identified := env.crashes[crashesBefore-1].at.Add(contact)
	for _, c := range env.crashes[crashesBefore:] {
		if c.at.After(identified) && env.routers[c.router].inTouch(c.at) {
			late++
		}
	}
	if late > crashesAfter {
		env.t.Errorf("routers in touch sent the crashing request %d times later than %v after it had crashed %d endpoints", late, contact, crashesBefore)
	}
}
