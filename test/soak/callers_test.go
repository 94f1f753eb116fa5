//go:build process

package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/platform/platformtest"
)

const (
	// streamEvents is the length of each stream.
	streamEvents = 6
	// cutOneIn is the share of streams whose caller loses its connection.
	cutOneIn = 3
)

// result is the outcome of a request as seen by its caller.
type result struct {
	id, kind string
	at       time.Time
	router   int  // that was asked
	status   int  // 0: no complete response
	cut      bool // by the caller
	wrong    string
}

// callers send requests until they are stopped and check every response.
type callers struct {
	env     *environment
	stop    chan struct{}
	group   sync.WaitGroup
	mu      sync.Mutex
	results []result
	streams []*stream // of the kind that may be resumed
}

func startCallers(env *environment, n int, seed uint64) *callers {
	return startCallersFrom(env, 0, n, seed)
}

// startCallersFrom starts callers that are numbered from first.
func startCallersFrom(env *environment, first, n int, seed uint64) *callers {
	c := &callers{env: env, stop: make(chan struct{})}
	for i := first; i < first+n; i++ {
		c.group.Add(1)
		go c.run(i, rand.New(rand.NewPCG(seed, uint64(100+i))))
	}
	return c
}

func (c *callers) end() []result {
	close(c.stop)
	c.group.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.results
}

// run sends requests on one connection until it or the router ends, then reconnects.
func (c *callers) run(number int, rng *rand.Rand) {
	defer c.group.Done()
	var conn net.Conn
	var r *bufio.Reader
	asked := 0
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			if conn != nil {
				_ = conn.Close()
			}
			return
		default:
		}
		if conn == nil {
			if conn, asked = c.connect(rng); conn == nil {
				time.Sleep(30 * time.Millisecond)
				continue
			}
			r = bufio.NewReader(conn)
		}
		kind := []string{"book", "look", "draft", "polish"}[rng.IntN(4)] // the routes of configure
		id := fmt.Sprintf("c%d-%d", number, n)
		q := request{id: id, kind: kind, path: "/x", body: "a body for " + id}
		if kind == "draft" && rng.IntN(cutOneIn) == 0 {
			q.cutAfter = 1 + rng.IntN(streamEvents-1)
		}
		at := time.Now()
		v, body, keep := sendRequest(conn, r, q)
		v.at, v.router = at, asked
		if !keep {
			_ = conn.Close()
			conn = nil
		}
		if kind == "draft" || kind == "polish" {
			c.checkStream(&v, body, rng)
		}
		c.mu.Lock()
		c.results = append(c.results, v)
		c.mu.Unlock()
		time.Sleep(time.Duration(rng.IntN(25)) * time.Millisecond)
	}
}

// connect resolves addresses in a router's directory and connects to one. It returns the
// index of the router.
func (c *callers) connect(rng *rand.Rand) (net.Conn, int) {
	addrs := c.env.resolve(rng)
	if len(addrs) == 0 {
		return nil, 0
	}
	addr := addrs[rng.IntN(len(addrs))]
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, 0
	}
	return conn, slices.IndexFunc(c.env.routers, func(r *router) bool { return r.frontAddr == addr })
}

// resolve returns the addresses in a router's directory, or nil if it does not respond.
func (env *environment) resolve(rng *rand.Rand) []string {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + env.routers[rng.IntN(len(env.routers))].directoryAddr + "/stoatmount/resolve?name=" + host)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var resolved struct {
		Addrs []string `json:"addrs"`
	}
	if json.NewDecoder(resp.Body).Decode(&resolved) != nil {
		return nil
	}
	return resolved.Addrs
}

// checkStream checks the events of a stream and goes on with it if it broke.
func (c *callers) checkStream(v *result, body string, rng *rand.Rand) {
	s := &stream{}
	s.addEvents(v.id, body)
	if v.status == http.StatusOK && s.events != streamEvents {
		v.wrong = fmt.Sprintf("%d events in a complete stream", s.events)
	}
	if v.kind == "draft" {
		if s.events > 0 && v.status == 0 {
			c.goOn(s, v.id, rng)
		}
		c.mu.Lock()
		c.streams = append(c.streams, s)
		c.mu.Unlock()
	}
}

// errCut is the end of a body whose connection the caller breaks.
var errCut = errors.New("cut by the caller")

// readUntil reads a body to its end, or a stream until it has a number of events if
// that is not 0.
func readUntil(body io.Reader, events int) ([]byte, error) {
	if events == 0 {
		return io.ReadAll(body)
	}
	var data []byte
	buf := make([]byte, 256)
	for {
		n, err := body.Read(buf)
		data = append(data, buf[:n]...)
		switch {
		case err == io.EOF:
			return data, nil
		case err != nil:
			return data, err
		case bytes.Count(data, []byte("\n\n")) >= events:
			return data, errCut
		}
	}
}

// request is one attempt of a caller.
type request struct {
	id, kind, path, body string
	resumes              string // id of the attempt that began the stream
	lastEvent            int
	timeout              time.Duration // of the connection; 0 is the usual one
	prompt               string        // parts of the prompt; "" is the usual one
	cutAfter             int           // events after which the caller's connection breaks; 0 is never
}

const (
	usualTimeout = 4 * time.Second
	firstPart    = "aa:100" // of all prompts
	usualPrompt  = firstPart + ",bb:10"
)

// sendRequest sends one request and checks its response. It returns the body of a 200, as far
// as it came, and whether the connection can be reused.
func sendRequest(conn net.Conn, r *bufio.Reader, q request) (v result, received string, keep bool) {
	v = result{id: q.id, kind: q.kind}
	method, body, more := "POST", q.body, ""
	if q.kind == "look" {
		method, body = "GET", ""
	}
	if q.resumes != "" {
		more = fmt.Sprintf("Resumes: %s\r\nLast-Event-Id: %d\r\n", q.resumes, q.lastEvent)
	}
	prompt := q.prompt
	if prompt == "" {
		prompt = usualPrompt
	}
	text := fmt.Sprintf("%s /%s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer %s\r\n"+
		"X-Prompt-Prefix: %s\r\n%sContent-Length: %d\r\n\r\n%s", method, q.kind, q.path, host, q.id, key, prompt, more, len(body), body)
	timeout := q.timeout
	if timeout == 0 {
		timeout = usualTimeout
	}
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(conn, text); err != nil {
		return v, "", false
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return v, "", false
	}
	data, err := readUntil(resp.Body, q.cutAfter)
	if resp.StatusCode == http.StatusOK {
		received = string(data)
	}
	if err != nil {
		v.cut = err == errCut
		return v, received, false
	}
	v.status = resp.StatusCode
	if resp.StatusCode == http.StatusOK {
		if q.kind != "draft" && q.kind != "polish" && received != platformtest.Body(q.id) {
			v.wrong = fmt.Sprintf("body %.80q", data)
		}
		if resp.Header.Get("X-Server-Seal") != "seal-"+q.id {
			v.wrong = "seal " + resp.Header.Get("X-Server-Seal")
		}
	} else if resp.Header.Get("X-Server-Seal") != "" && resp.StatusCode != http.StatusInternalServerError {
		v.wrong = "an endpoint's seal on a status that it did not send"
	}
	return v, received, !resp.Close && !strings.EqualFold(resp.Header.Get("Connection"), "close")
}
