//go:build process

package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/stoatmount/stoatmount/platform"
	"github.com/stoatmount/stoatmount/platform/platformtest"
)

const (
	// maxTakeUps bounds how often a caller takes one stream up.
	maxTakeUps = 2
	// replacedServesFor is how long a replaced endpoint's entry says that it drains.
	replacedServesFor = time.Second
)

// stream is a stream over all attempts of its caller.
type stream struct {
	first    string   // id of the attempt that brought the first event
	versions []string // of its events
	events   int
	wrong    string
	takeUps  []takeUp
}

// takeUp is an attempt to go on with a broken stream.
type takeUp struct {
	counts bool // at a router in touch, while two endpoints of the version served
	went   bool // it brought an event
}

// addEvents adds the complete events of a response to the attempt id.
func (s *stream) addEvents(id, body string) (added int) {
	for _, event := range strings.SplitAfter(body, "\n\n") {
		if !strings.HasSuffix(event, "\n\n") {
			return added // it was cut
		}
		version, _, _ := strings.Cut(strings.TrimPrefix(event, "event: "), "\n")
		if want := platformtest.VersionedEvent(version, id, s.events+1); event != want {
			s.wrong = fmt.Sprintf("event %q in place of %q", event, want)
			return added
		}
		if s.events == 0 {
			s.first = id
		}
		if !slices.Contains(s.versions, version) {
			s.versions = append(s.versions, version)
		}
		s.events++
		added++
	}
	return added
}

// goOn takes a broken stream up at routers that it finds in a directory.
func (c *callers) goOn(s *stream, id string, rng *rand.Rand) {
	for n := 0; n < maxTakeUps && s.events < streamEvents && s.wrong == ""; n++ {
		conn, _ := c.connect(rng)
		if conn == nil {
			return
		}
		i := c.env.routerAt(conn)
		next := fmt.Sprintf("%s-up%d", id, n)
		t := takeUp{counts: i != nil && i.inTouch(time.Now()) && c.env.countServing(s.versions[0]) >= 2}
		_, body, _ := sendRequest(conn, bufio.NewReader(conn), request{id: next, kind: "draft", path: "/x", body: "a body for " + id,
			resumes: s.first, lastEvent: s.events})
		_ = conn.Close()
		t.went = s.addEvents(next, body) > 0
		t.counts = t.counts && i.inTouch(time.Now()) && c.env.countServing(s.versions[0]) >= 2
		s.takeUps = append(s.takeUps, t)
	}
}

// routerAt returns the router at the other end of a connection.
func (env *environment) routerAt(conn net.Conn) *router {
	for _, r := range env.routers {
		if r.frontAddr == conn.RemoteAddr().String() {
			return r
		}
	}
	return nil
}

// release replaces an endpoint of the service llm, now and then by one of a newer version.
func (env *environment) release() {
	var old []*platformtest.Endpoint
	for _, e := range env.endpoints {
		if e.Service == "llm" && !env.isGone(e) {
			old = append(old, e)
		}
	}
	replaced := old[env.rng.IntN(len(old))]
	if env.rng.IntN(3) == 0 {
		env.software++
	}
	e := env.addEndpoint(fmt.Sprintf("i-llm-%d", len(env.endpoints)), "llm", replaced.Zone, fmt.Sprintf("v%d", env.software-env.rng.IntN(2)))
	e.SetBehaviour(env.healthy(e))
	env.mu.Lock()
	env.gone[replaced.ID] = true
	env.mu.Unlock()
	env.putEntry(replaced, "draining")
	time.AfterFunc(replacedServesFor, func() { env.store.Put(platform.TopicEndpoints, replaced.ID, nil) })
}

func (env *environment) isGone(e *platformtest.Endpoint) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.gone[e.ID]
}

// countServing returns the endpoints of a version that were not replaced and are not disturbed.
func (env *environment) countServing(version string) int {
	env.mu.Lock()
	defer env.mu.Unlock()
	n := 0
	for _, e := range env.endpoints {
		if e.Service == "llm" && e.Version == version && !env.gone[e.ID] && env.states[e.ID] == "ready" && env.proxies[e.ID].Mode() == platformtest.Forward {
			n++
		}
	}
	return n
}

// checkStreams checks that each stream has the events of one version, and that enough
// of those that were taken up went on.
func (env *environment) checkStreams(streams []*stream) {
	took, went, began := 0, 0, 0
	for _, s := range streams {
		if s.wrong != "" {
			env.t.Errorf("stream %s: %s", s.first, s.wrong)
		}
		if len(s.versions) > 1 {
			env.t.Errorf("stream %s has events of versions %v", s.first, s.versions)
		}
		if s.events > 0 {
			began++
		}
		for _, t := range s.takeUps {
			if t.counts {
				took++
				if t.went {
					went++
				}
			}
		}
	}
	env.t.Logf("%d streams, %d began, %d taken up in touch, %d of these went on", len(streams), began, took, went)
	const least = 12 // streams taken up from which their share counts
	if took >= least && float64(went)/float64(took) < 0.5*float64(began)/float64(len(streams)) {
		env.t.Errorf("%d of %d streams taken up went on, while %d of %d new ones began", went, took, began, len(streams))
	}
}
