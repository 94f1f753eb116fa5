//go:build process

package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stoatmount/stoatmount/platform"
	"github.com/stoatmount/stoatmount/platform/platformtest"
)

const (
	graceSeconds = 3
	host         = "soak.example"
	workspace    = "w"
	key          = "key-that-stays"
)

// router is one process of the program.
type router struct {
	name               string
	front, ready, dir  string
	settings, logs     string
	store              *proxy
	mu                 sync.Mutex
	cmd                *exec.Cmd
	ended              chan struct{} // closed when cmd has ended
	expected           bool          // the soak ends this process
	endedUnaskedReason string
}

// world is a fleet with everything around it.
type world struct {
	t         *testing.T
	rng       *rand.Rand
	binary    string
	store     *platformtest.Store
	routers   []*router
	endpoints []*platformtest.Endpoint
	proxies   map[string]*proxy // of endpoints, by id
	mu        sync.Mutex
	version   int64
}

// Ports of routers lie under those that the kernel gives to outgoing
// connections, one of which could else take a port while its router restarts.
const (
	firstPort = 12_000
	lastPort  = 31_000
)

var nextPort atomic.Int64

func port(t *testing.T) int {
	nextPort.CompareAndSwap(0, int64(firstPort+os.Getpid()%180*100)) // soaks side by side begin apart
	for range lastPort - firstPort {
		n := firstPort + int(nextPort.Add(1)-firstPort)%(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", n))
		if err != nil {
			continue
		}
		_ = l.Close()
		return n
	}
	t.Fatal("no free port")
	return 0
}

func newWorld(t *testing.T, binary string, seed uint64, routers int) *world {
	store, err := platformtest.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), binary: binary, store: store, proxies: make(map[string]*proxy)}
	for i := range 4 {
		w.addEndpoint(fmt.Sprintf("i-app-%d", i), "app", fmt.Sprintf("z%d", i%2))
		w.addEndpoint(fmt.Sprintf("i-llm-%d", i), "llm", fmt.Sprintf("z%d", i%2))
	}
	w.configure()
	for i := range routers {
		w.addRouter(fmt.Sprintf("front-%d", i))
	}
	return w
}

func (w *world) addEndpoint(id, service, zone string) {
	e, err := platformtest.NewEndpoint(id, service, zone)
	if err != nil {
		w.t.Fatal(err)
	}
	p, err := newProxy(e.Addr)
	if err != nil {
		w.t.Fatal(err)
	}
	w.endpoints = append(w.endpoints, e)
	w.proxies[id] = p
	w.entry(e, "ready")
}

// entry writes an endpoint's entry, at the address of its proxy.
func (w *world) entry(e *platformtest.Endpoint, state string) {
	var fields map[string]any
	if err := json.Unmarshal(e.Entry(state, 0), &fields); err != nil {
		w.t.Fatal(err)
	}
	fields["addr"] = w.proxies[e.ID].addr
	data, err := json.Marshal(fields)
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put(platform.TopicEndpoints, e.ID, data)
}

// configure writes the next version.
func (w *world) configure() {
	w.mu.Lock()
	w.version += 1 + int64(w.rng.IntN(3))
	version := w.version
	w.mu.Unlock()
	route := func(name, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": kind, "service": service,
			"timeout_ms": 4000, "latency_goal_ms": 200, "gap_aim_ms": 200, "max_attempts": attempts, "resumable": resumable, "priority": 1}
	}
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{route("book", "non_idempotent", "app", 1, false), route("look", "idempotent", "app", 2, false),
			route("draft", "stream", "llm", 2, true), route("polish", "stream", "llm", 1, false)},
		"services": []any{map[string]any{"name": "app", "max_conns": 100}, map[string]any{"name": "llm", "max_conns": 360}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": workspace, "api_keys": []string{key, fmt.Sprintf("key-%d", version)}}},
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put(platform.TopicOperators, "config", data)
}

func (w *world) addRouter(name string) {
	p, err := newProxy(w.store.Addr)
	if err != nil {
		w.t.Fatal(err)
	}
	r := &router{name: name, store: p}
	r.front, r.ready, r.dir = w.address(), w.address(), w.address()
	folder := w.t.TempDir()
	r.settings, r.logs = filepath.Join(folder, "settings.toml"), filepath.Join(folder, "log")
	beats := port(w.t)
	text := fmt.Sprintf(`node_name = %q
ip = "127.0.0.1"
zone = "z%d"
region = "r"
port_range = [%d,%d]
[listen]
front = %q
ready = %q
directory = %q
[limits]
memory_mb = 284
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = %d
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 54
cold_over = 1.5
cold_slack = 5
cap_x = 2
ttl_max_s = 5
[platform]
addr = %q
`, name, len(w.routers)%2, beats, beats+1, r.front, r.ready, r.dir, graceSeconds, p.addr)
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	w.routers = append(w.routers, r)
	w.start(r)
}

func (w *world) address() string { return fmt.Sprintf("127.0.0.1:%d", port(w.t)) }

// start starts the process of a router.
func (w *world) start(r *router) {
	log, err := os.OpenFile(r.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		w.t.Error(err)
		return
	}
	cmd := exec.Command(w.binary, "platform", "--settings", r.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		w.t.Error(err)
		return
	}
	ended := make(chan struct{})
	r.mu.Lock()
	r.cmd, r.ended, r.expected = cmd, ended, false
	r.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		r.mu.Lock()
		if !r.expected && r.cmd == cmd {
			r.endedUnaskedReason = fmt.Sprint(err)
		}
		r.mu.Unlock()
		close(ended)
	}()
}

// signal sends a signal to a router's process.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		r.expected = true
	}
	_ = r.cmd.Process.Signal(s) // a process that has ended needs none
}

// restart ends the process with a signal and starts the next one.
func (w *world) restart(r *router, s syscall.Signal) {
	r.mu.Lock()
	ended := r.ended
	r.mu.Unlock()
	r.signal(s)
	select {
	case <-ended:
	case <-time.After((graceSeconds + 1) * time.Second):
		w.t.Errorf("%s still runs after its grace", r.name)
		r.signal(syscall.SIGKILL)
		<-ended
	}
	w.start(r)
}

func (w *world) close() {
	for _, r := range w.routers {
		r.signal(syscall.SIGCONT)
		r.signal(syscall.SIGKILL)
		<-r.ended
		r.store.close()
	}
	for _, e := range w.endpoints {
		w.proxies[e.ID].close()
		e.Close()
	}
	w.store.Close()
}

// readyNow reports whether a router says that it takes requests.
func (r *router) readyNow() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + r.ready + "/stoatmount/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
