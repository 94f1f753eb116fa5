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

// verdict is what a caller saw of a request.
type verdict struct {
	id, kind string
	status   int // 0: no whole answer
	wrong    string
}

// callers send requests until they are stopped and judge every answer.
type callers struct {
	w       *world
	stop    chan struct{}
	group   sync.WaitGroup
	mu      sync.Mutex
	results []verdict
}

func startCallers(w *world, n int, seed uint64) *callers {
	c := &callers{w: w, stop: make(chan struct{})}
	for i := range n {
		c.group.Add(1)
		go c.run(i, rand.New(rand.NewPCG(seed, uint64(100+i))))
	}
	return c
}

func (c *callers) end() []verdict {
	close(c.stop)
	c.group.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.results
}

// run keeps a connection for many requests, until it or the router is gone.
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
		kind := []string{"book", "look", "draft", "polish"}[rng.IntN(4)]
		v, keep := ask(conn, r, fmt.Sprintf("c%d-%d", number, n), kind)
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

// connect asks a router's directory for addresses and connects to one of them.
func (c *callers) connect(rng *rand.Rand) net.Conn {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + c.w.routers[rng.IntN(len(c.w.routers))].dir + "/stoatmount/resolve?name=" + host)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addrs []string `json:"addrs"`
	}
	if json.NewDecoder(resp.Body).Decode(&answer) != nil || len(answer.Addrs) == 0 {
		return nil
	}
	conn, err := net.DialTimeout("tcp", answer.Addrs[rng.IntN(len(answer.Addrs))], time.Second)
	if err != nil {
		return nil
	}
	return conn
}

// ask sends one request and judges its answer. It reports whether the
// connection can be used again.
func ask(conn net.Conn, r *bufio.Reader, id, kind string) (verdict, bool) {
	v := verdict{id: id, kind: kind}
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
		v.wrong = "an endpoint's seal on a status it did not give"
	}
	return v, !resp.Close && !strings.EqualFold(resp.Header.Get("Connection"), "close")
}
