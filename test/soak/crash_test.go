//go:build process

package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/platform/platformtest"
)

const (
	// crashPath ends the target of a request that crashes each endpoint that runs it.
	crashPath = "/crash"
	// crashPart is the part of prompts that crashes each endpoint that begins a response on it.
	crashPart     = "bad:50"
	crashDownTime = 1500 * time.Millisecond
	crashTimeout  = 500 * time.Millisecond // a paused router may keep the connection
	// crashesBefore and partCrashesBefore are the numbers of crashes that identify a request and
	// a part, and crashesAfter is how many more the platform allows once a contact time has passed.
	crashesBefore, partCrashesBefore, crashesAfter = 3, 5, 3
	// maxCopies bounds the copies of the crashing request that are sent at once.
	maxCopies = 3
)

// crash is a run of a request that crashes its endpoint.
type crash struct {
	at     time.Time
	router int // that sent it
}

// crashForm is a way in which endpoints crash.
type crashForm int

const (
	crashBeforeHead crashForm = iota
	crashInStream
	crashSilently
	crashBriefly // the endpoint is back at once
	crashInOrder // between events of a stream without a length, whose connection closes in order
	crashForms
)

// crashBehaviour crashes an endpoint in the form of this soak.
func (env *environment) crashBehaviour(p *platformtest.Proxy) platformtest.Behaviour {
	b := platformtest.Behaviour{Events: streamEvents, Pause: 20 * time.Millisecond, Work: 5 * time.Millisecond}
	switch env.crashForm {
	case crashInStream:
		time.AfterFunc(35*time.Millisecond, func() { p.Crash(crashDownTime) })
		return b
	case crashSilently:
		p.FallSilent(crashDownTime)
		return b
	case crashBriefly:
		p.Crash(20 * time.Millisecond)
	case crashInOrder:
		time.AfterFunc(35*time.Millisecond, func() { p.End(crashDownTime) })
		b.Unframed = true
		return b
	default:
		p.Crash(crashDownTime)
	}
	return platformtest.Behaviour{ResetAfterRun: true}
}

// repeatUntilStopped calls send with a router, pause apart at most, until the returned function
// is called. Routers that are disturbed get requests too.
func (env *environment) repeatUntilStopped(rng *rand.Rand, pause time.Duration, send func(n, router int, conn net.Conn)) (stop func()) {
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for n := 0; ; n++ {
			select {
			case <-end:
				return
			case <-time.After(20*time.Millisecond + time.Duration(rng.Int64N(int64(pause)))):
			}
			i := rng.IntN(len(env.routers))
			conn, err := net.DialTimeout("tcp", env.routers[i].frontAddr, 200*time.Millisecond)
			if err != nil {
				continue
			}
			send(n, i, conn)
			_ = conn.Close()
		}
	}()
	return func() { close(end); <-ended }
}

// startCrashingCaller sends the same request to the routers on and on, several copies at
// once.
func (env *environment) startCrashingCaller(seed uint64) (stop func()) {
	rng := rand.New(rand.NewPCG(seed, 2))
	kind := []string{"look", "draft", "book"}[rng.IntN(3)]
	copies := 1 + rng.IntN(maxCopies)
	var stops []func()
	for c := range copies {
		stops = append(stops, env.repeatUntilStopped(rand.New(rand.NewPCG(seed, uint64(20+c))), 300*time.Millisecond, func(n, router int, conn net.Conn) {
			sendRequest(conn, bufio.NewReader(conn), request{id: fmt.Sprintf("crash-%d-%d-%d", router, c, n), kind: kind, path: crashPath, body: "crash", timeout: crashTimeout})
		}))
	}
	return func() {
		var group sync.WaitGroup
		for _, stop := range stops {
			group.Go(stop)
		}
		group.Wait()
	}
}

// startPartCaller sends requests with the crashing part, no two alike, on and on.
func (env *environment) startPartCaller(seed uint64) (stop func()) {
	rng := rand.New(rand.NewPCG(seed, 3))
	return env.repeatUntilStopped(rng, 200*time.Millisecond, func(n, router int, conn net.Conn) {
		parts := []string{firstPart, crashPart, fmt.Sprintf("%x:10", 0xf000+n)}
		if rng.IntN(2) == 0 {
			parts[0] = fmt.Sprintf("%x:100", 0xe000+n%3)
		}
		sendRequest(conn, bufio.NewReader(conn), request{id: fmt.Sprintf("part-%d-%d", router, n), kind: []string{"draft", "polish"}[rng.IntN(2)],
			path: "/x", body: fmt.Sprint("part ", n), prompt: strings.Join(parts, ","), timeout: crashTimeout})
	})
}

func (env *environment) recordCrash(list *[]crash, id string) {
	parts := strings.Split(id, "-")
	router, err := strconv.Atoi(parts[1])
	if err != nil {
		env.t.Errorf("unexpected id %q of a crashing request", id)
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	*list = append(*list, crash{time.Now(), router})
}

// checkCrashes checks how often routers in touch sent on what crashes endpoints after it was
// identified.
func (env *environment) checkCrashes(what string, list []crash, identifying int) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.t.Logf("%d endpoint crashes by %s, form %d", len(list), what, env.crashForm)
	if len(list) == 0 {
		env.t.Errorf("%s reached no endpoint", what)
	}
	if len(list) <= identifying {
		return
	}
	late := 0
	identified := list[identifying-1].at.Add(contact)
	for _, c := range list[identifying:] {
		if c.at.After(identified) && env.routers[c.router].inTouch(c.at) {
			late++
		}
	}
	if late > crashesAfter {
		env.t.Errorf("routers in touch sent %s %d times later than %v after it had crashed %d endpoints", what, late, contact, identifying)
	}
}
