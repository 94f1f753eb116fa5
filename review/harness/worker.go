package harness

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/platform"
)

// heartbeat is the interval at which a worker writes its entry.
const heartbeat = 1200 * time.Millisecond

// Worker is the stand-in of a sound endpoint. It streams numbered events that name its software
// version, and answers other requests with one body.
type Worker struct {
	ID, Service, Version, Addr string
	Events                     int           // of a stream
	Pause                      time.Duration // before each event
	Work                       time.Duration // of other requests

	f        *Fleet
	server   *http.Server
	born     int64
	mu       sync.Mutex
	sequence int
	state    string
	silent   time.Time
	left     chan struct{} // closed once the worker writes no more entries
	leave    sync.Once
}

// AddWorker starts a worker that writes its entry to the store.
func (f *Fleet) AddWorker(id, service, version string, events int, pause time.Duration) (*Worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{ID: id, Service: service, Version: version, Addr: l.Addr().String(), Events: events, Pause: pause, Work: 15 * time.Millisecond,
		f: f, born: time.Now().UnixMilli(), state: "ready", left: make(chan struct{})}
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	f.Workers = append(f.Workers, w)
	f.Record("worker %s of %s, version %s, registers", id, service, version)
	w.putEntry()
	go w.beat()
	return w, nil
}

func (w *Worker) putEntry() {
	w.mu.Lock()
	w.sequence++
	data, _ := json.Marshal(map[string]any{"service": w.Service, "addr": w.Addr, "zone": "z0", "version": w.Version, "slots": 64,
		"state": w.state, "cold_left_ms": 0, "seq": w.sequence, "born": w.born})
	w.mu.Unlock()
	w.f.Store.Put(platform.TopicEndpoints, w.ID, data)
}

func (w *Worker) beat() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-w.left:
			return
		case <-tick.C:
			w.putEntry()
		}
	}
}

// Leave removes the worker's entry. The worker serves on until Close, as some do that never
// report that they drain.
func (w *Worker) Leave() {
	w.leave.Do(func() {
		close(w.left)
		w.f.Record("the entry of worker %s is removed", w.ID)
		w.f.Store.Put(platform.TopicEndpoints, w.ID, nil)
	})
}

// Close ends the worker.
func (w *Worker) Close() {
	w.leave.Do(func() { close(w.left) })
	_ = w.server.Close()
}

// FallSilent makes the worker send nothing for a time; then it goes on.
func (w *Worker) FallSilent(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.f.Record("worker %s falls silent for %v", w.ID, d)
	w.silent = time.Now().Add(d)
}

// wait waits for a time and as long as the worker is silent. It returns false once the request's
// connection is closed.
func (w *Worker) wait(r *http.Request, d time.Duration) bool {
	for {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			return false
		}
		w.mu.Lock()
		d = time.Until(w.silent)
		w.mu.Unlock()
		if d <= 0 {
			return true
		}
	}
}

func (w *Worker) handle(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	h.Set("X-Instance-Id", w.ID)
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	w.f.Record("run: request %s at worker %s, version %s, after event %d", id, w.ID, w.Version, last)
	w.f.mu.Lock()
	w.f.ran[id] = true
	w.f.mu.Unlock()
	h.Set("X-Server-Seal", "seal-"+id)
	if w.Events == 0 {
		if w.wait(r, w.Work) {
			_, _ = fmt.Fprintf(rw, "answer to %s", id)
			w.f.Record("run: request %s answered by worker %s", id, w.ID)
		}
		return
	}
	h.Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= w.Events; n++ {
		if !w.wait(r, w.Pause) {
			w.f.Record("run: request %s ends at worker %s before event %d, as its connection was closed", id, w.ID, n)
			return
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, w.Version)
		_ = http.NewResponseController(rw).Flush()
	}
	w.f.Record("run: request %s complete at worker %s", id, w.ID)
}
