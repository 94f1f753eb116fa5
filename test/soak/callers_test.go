//go:build process

package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/platform/platformtest"
)

// streamEvents is the length of each stream.
const streamEvents = 6

// result is the outcome of a request as seen by its caller.
type result struct {
	id, kind string
	status   int // 0: no complete response
	wrong    string
}

// callers send requests until they are stopped and check every response.
type callers struct {
	env     *environment
	stop    chan struct{}
	group   sync.WaitGroup
	mu      sync.Mutex
	results []result
}

func startCallers(env *environment, n int, seed uint64) *callers {
	c := &callers{env: env, stop: make(chan struct{})}
	for i := range n {
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
			if conn = c.connect(rng); conn == nil {
				time.Sleep(30 * time.Millisecond)
				continue
			}
			r = bufio.NewReader(conn)
		}
		kind := []string{"book", "look", "draft", "polish"}[rng.IntN(4)] // the routes of configure
		v, keep := sendRequest(conn, r, fmt.Sprintf("c%d-%d", number, n), kind)
		c.mu.Lock()
		c.results = append(c.results, v)
		c.mu.Unlock()
		if !keep {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(time.Duration(rng.IntN(25)) * time.Millisecond)
	}
}

// connect resolves addresses in a router's directory and connects to one.
func (c *callers) connect(rng *rand.Rand) net.Conn {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + c.env.routers[rng.IntN(len(c.env.routers))].directoryAddr + "/stoatmount/resolve?name=" + host)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var resolved struct {
		Addrs []string `json:"addrs"`
	}
	if json.NewDecoder(resp.Body).Decode(&resolved) != nil || len(resolved.Addrs) == 0 {
		return nil
	}
	conn, err := net.DialTimeout("tcp", resolved.Addrs[rng.IntN(len(resolved.Addrs))], time.Second)
	if err != nil {
		return nil
	}
	return conn
}

// sendRequest sends one request and checks its response. It reports whether the
// connection can be reused.
func sendRequest(conn net.Conn, r *bufio.Reader, id, kind string) (result, bool) {
	v := result{id: id, kind: kind}
	method, body := "POST", "a body for "+id
	if kind == "look" {
		method, body = "GET", ""
	}
	text := fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer %s\r\n"+
		"X-Prompt-Prefix: aa:100,bb:10\r\nContent-Length: %d\r\n\r\n%s", method, kind, host, id, key, len(body), body)
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		return v, false
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return v, false
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return v, false
	}
	v.status = resp.StatusCode
	if resp.StatusCode == http.StatusOK {
		want := platformtest.Body(id)
		if kind == "draft" || kind == "polish" {
			want = ""
			for n := 1; n <= streamEvents; n++ {
				want += platformtest.Event(id, n)
			}
		}
		if string(data) != want {
			v.wrong = fmt.Sprintf("body %.80q", data)
		}
		if resp.Header.Get("X-Server-Seal") != "seal-"+id {
			v.wrong = "seal " + resp.Header.Get("X-Server-Seal")
		}
	} else if resp.Header.Get("X-Server-Seal") != "" && resp.StatusCode != http.StatusInternalServerError {
		v.wrong = "an endpoint's seal on a status that it did not send"
	}
	return v, !resp.Close && !strings.EqualFold(resp.Header.Get("Connection"), "close")
}
