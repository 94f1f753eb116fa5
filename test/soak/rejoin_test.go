//go:build process

package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stoatmount/stoatmount/platform"
	"github.com/stoatmount/stoatmount/platform/platformtest"
)

const (
	rejoinRouters     = 4
	rejoinCallerCount = 96
	// Streams last 2.4 s, as long reports do.
	rejoinEvents = 48
	rejoinPause  = 50 * time.Millisecond
	// rejoinPatience is how long a caller tries to take a broken stream up.
	rejoinPatience = 5 * time.Second
	// rejoinShare is the share of the streams taken up that go on: new ones begin as soon as routers are ready.
	rejoinShare = 0.9
	// earlierBuild is the build before streams were saved in the store as they begin.
	earlierBuild = "858e61b"
)

// rejoinsAtOnce bounds the forms that are played at once, as each has a fleet of its own.
var rejoinsAtOnce = make(chan struct{}, 3)

// rejoinForm is a way in which streams of several software versions break off at many routers at once.
type rejoinForm struct {
	play func(env *environment)
	// orderOnly means that some streams cannot be known after the loss; no stream may mix versions.
	orderOnly bool
	earlier   bool // the first router runs the earlier build; streams that it begins need not go on
}

var rejoinForms = map[string]rejoinForm{
	"back after one second":     {play: func(env *environment) { env.losePower(time.Second) }},
	"back after three seconds":  {play: func(env *environment) { env.losePower(3 * time.Second) }},
	"old version has just gone": {play: func(env *environment) { env.retire("v1"); env.losePower(time.Second) }},
	"three releases in a row":   {play: threeReleases},
	"killed again while taken up": {play: func(env *environment) {
		env.losePower(time.Second)
		time.Sleep(300 * time.Millisecond)
		env.losePower(time.Second)
	}},
	"store away before": {play: func(env *environment) {
		env.storeAway(time.Second)
		time.Sleep(700 * time.Millisecond)
		env.losePower(time.Second)
	}},
	"store away meanwhile": {play: func(env *environment) {
		go func() { time.Sleep(50 * time.Millisecond); env.storeAway(1500 * time.Millisecond) }()
		env.losePower(time.Second)
	}},
	"store away afterwards": {play: func(env *environment) {
		env.losePower(time.Second)
		time.Sleep(200 * time.Millisecond)
		env.storeAway(time.Second)
	}},
	"store away before and afterwards": {play: func(env *environment) {
		go env.storeAway(2500 * time.Millisecond)
		time.Sleep(700 * time.Millisecond)
		env.losePower(time.Second)
	}, orderOnly: true},
	"one zone":                  {play: func(env *environment) { env.losePowerOf(env.routers[:len(env.routers)/2], time.Second) }},
	"restarts during a release": {play: restartsDuringRelease},
	"earlier build beside":      {play: func(env *environment) { env.losePower(time.Second) }, earlier: true},
}

// A caller whose stream broke off takes it up after all routers were lost, and gets the rest from the
// version that began it.
func TestStreamsGoOnAfterAllRoutersAreLost(t *testing.T) {
	binary := buildRouter(t, "../..")
	earlier := buildRouter(t, sourcesOf(t, earlierBuild))
	for name, form := range rejoinForms {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rejoinsAtOnce <- struct{}{}
			defer func() { <-rejoinsAtOnce }()
			playRejoin(t, form, binary, earlier)
		})
	}
}

// sourcesOf returns a folder with the sources of a commit.
func sourcesOf(t *testing.T, commit string) string {
	folder := t.TempDir()
	archive := filepath.Join(folder, "sources.tar")
	runIn(t, "../..", "git", "archive", "--output", archive, commit)
	runIn(t, folder, "tar", "-xf", archive)
	return folder
}

func playRejoin(t *testing.T, form rejoinForm, binary, earlier string) {
	first := binary
	if form.earlier {
		first = earlier
	}
	env := newEnvironment(t, first, 1, 1)
	defer env.close()
	env.binary = binary
	for i := 1; i < rejoinRouters; i++ {
		env.addRouter(fmt.Sprintf("front-%d", i))
	}
	if form.earlier {
		env.binaries = map[string]string{env.routers[0].name: earlier}
	}
	for _, e := range env.endpoints {
		e.SetBehaviour(longStreams)
	}
	env.await("all routers are ready", env.allReady)
	c := &rejoinCallers{env: env, stop: make(chan struct{})}
	for i := range rejoinCallerCount {
		c.group.Go(func() { c.run(i, rand.New(rand.NewPCG(2, uint64(i)))) })
	}
	time.Sleep(3 * time.Second)
	form.play(env)
	time.Sleep(rejoinPatience)
	close(c.stop)
	c.group.Wait()
	c.check(form.orderOnly)
}

func longStreams(*http.Request, int) platformtest.Behaviour {
	return platformtest.Behaviour{Events: rejoinEvents, Pause: rejoinPause, ShowVersion: true}
}

// losePower kills all routers at once and starts them again.
func (env *environment) losePower(away time.Duration) { env.losePowerOf(env.routers, away) }

func (env *environment) losePowerOf(routers []*router, away time.Duration) {
	for _, r := range routers {
		r.signal(syscall.SIGKILL)
	}
	for _, r := range routers {
		<-r.ended
	}
	time.Sleep(away)
	for _, r := range routers {
		env.start(r)
	}
}

// storeAway makes the store refuse all calls for a while.
func (env *environment) storeAway(length time.Duration) {
	env.store.SetFault(func(string, string) platformtest.Fault { return platformtest.Busy })
	time.Sleep(length)
	env.store.SetFault(nil)
}

// retire removes the endpoints of a software version, which serve on for a moment.
func (env *environment) retire(version string) {
	for _, e := range env.endpoints {
		if e.Service == "llm" && e.Version == version && !env.isGone(e) {
			env.mu.Lock()
			env.gone[e.ID] = true
			env.mu.Unlock()
			env.putEntry(e, "draining")
		}
	}
	time.Sleep(replacedServesFor)
	for _, e := range env.endpoints {
		if e.Service == "llm" && e.Version == version {
			env.store.Put(platform.TopicEndpoints, e.ID, nil)
		}
	}
}

// introduce adds endpoints of a software version.
func (env *environment) introduce(version string) {
	for i := range 4 {
		e := env.addEndpoint(fmt.Sprintf("i-llm-%s-%d", version, i), "llm", fmt.Sprintf("z%d", i%2), version)
		e.SetBehaviour(longStreams)
	}
}

// threeReleases lets one version follow another, each beside the one before.
func threeReleases(env *environment) {
	for n := 3; n <= 5; n++ {
		env.introduce(fmt.Sprintf("v%d", n))
		time.Sleep(500 * time.Millisecond)
		if n < 5 {
			env.retire(fmt.Sprintf("v%d", n-2))
		}
	}
	env.losePower(time.Second)
}

// restartsDuringRelease restarts the routers one after the other while another version comes.
func restartsDuringRelease(env *environment) {
	env.introduce("v3")
	for i, r := range env.routers {
		env.restart(r, syscall.SIGTERM)
		if i == 1 {
			env.losePowerOf(env.routers[2:], time.Second)
		}
	}
}

// rejoinCallers send streams and take broken ones up.
type rejoinCallers struct {
	env   *environment
	stop  chan struct{}
	group sync.WaitGroup

	mu              sync.Mutex
	asked, began    int // new streams
	broken, went    int // streams that broke off while endpoints of their version served
	mixed, attempts int // streams with several versions; attempts to take one up
	wrong           []string
}

// send sends an attempt of a stream to a router, which it returns, and adds its events. It returns nil
// if it could not connect to one.
func (c *rejoinCallers) send(s *stream, id, prompt string, rng *rand.Rand) *router {
	conn, i := (&callers{env: c.env}).connect(rng)
	if conn == nil {
		return nil
	}
	defer func() { _ = conn.Close() }()
	_, body, _ := sendRequest(conn, bufio.NewReader(conn), request{id: id, kind: "draft", path: "/x", body: "a body for " + prompt,
		resumes: s.first, lastEvent: s.events, prompt: firstPart + "," + prompt + ":10"})
	s.addEvents(id, body)
	return c.env.routers[i]
}

func (c *rejoinCallers) run(number int, rng *rand.Rand) {
	time.Sleep(time.Duration(rng.Int64N(int64(rejoinEvents * rejoinPause)))) // streams of all ages run at any time
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		default:
		}
		id, prompt := fmt.Sprintf("r%d-%d", number, n), fmt.Sprintf("%x", rng.Uint32())
		s := &stream{}
		began := c.send(s, id, prompt, rng)
		if began == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		brokeAt, attempts, events := time.Now(), 0, s.events
		for events > 0 && s.events == events && events < rejoinEvents && time.Since(brokeAt) < rejoinPatience {
			time.Sleep(time.Duration(100+rng.IntN(200)) * time.Millisecond)
			attempts++
			c.send(s, fmt.Sprintf("%s-up%d", id, attempts), prompt, rng)
		}
		c.record(s, began, events, attempts)
		if events == 0 {
			time.Sleep(time.Duration(100+rng.IntN(200)) * time.Millisecond)
		}
	}
}

// record counts a stream that a router began; events are those of its first attempt.
func (c *rejoinCallers) record(s *stream, began *router, events, attempts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	if events > 0 {
		c.began++
	}
	c.attempts += attempts
	if s.wrong != "" {
		c.wrong = append(c.wrong, s.first+": "+s.wrong)
	}
	if len(s.versions) > 1 {
		c.mixed++
	}
	if attempts > 0 && c.env.countServing(s.versions[0]) >= 2 && c.env.binaries[began.name] == "" {
		c.broken++
		if s.events > events {
			c.went++
		}
	}
}

func (c *rejoinCallers) check(orderOnly bool) {
	t := c.env.t
	t.Logf("%d streams, %d began; %d broke off, %d of these went on after %d attempts", c.asked, c.began, c.broken, c.went, c.attempts)
	if c.mixed > 0 || len(c.wrong) > 0 {
		t.Errorf("%d streams with events of several versions; wrong: %v", c.mixed, c.wrong)
	}
	const least = 12 // streams taken up from which their share counts
	if c.broken < least {
		t.Errorf("only %d streams broke off", c.broken)
	}
	if !orderOnly && float64(c.went) < rejoinShare*float64(c.broken) {
		t.Errorf("%d of %d streams taken up went on", c.went, c.broken)
	}
}
