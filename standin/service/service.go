package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/julienschmidt/httprouter"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/standin/fault"
	"github.com/stoatmount/stoatmount/standin/internal/httpserver"
)

// HeaderKey carries the caller's key of a non-idempotent request.
const HeaderKey = "Idempotency-Key"

// maxBodyBytes bounds the body that the service reads.
const maxBodyBytes = 16 << 20

// Options describe a service.
type Options struct {
	Clock clockwork.Clock // nil: real time
	Seed  uint64          // of the faults
	// Capacity is the number of requests in progress that it bears; 0: any.
	Capacity int
	// Work is the time that one request takes.
	Work time.Duration
	// RestartAfter is how long it stays down after a crash.
	RestartAfter time.Duration
}

// Answer is the body of an answer.
type Answer struct {
	RequestID string `json:"request_id"`
	Key       string `json:"key"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body"` // the body that was sent
	Execution uint64 `json:"execution"`
}

// Service is a running service. It is safe for concurrent use.
type Service struct {
	*httpserver.Server
	options Options
	clock   clockwork.Clock
	faults  *fault.Set
	boot    atomic.Uint64
	closed  chan struct{}

	mu      sync.Mutex
	running int
	leaving bool
	done    uint64 // executions completed since boot
	record  record
}

// Start starts a service on addr, or on a free loopback port if addr is empty.
func Start(addr string, options Options) (*Service, error) {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	s := &Service{
		options: options,
		clock:   options.Clock,
		faults:  fault.NewSet(options.Clock, options.Seed),
		closed:  make(chan struct{}),
		record:  newRecord(),
	}
	s.boot.Store(uint64(s.clock.Now().UnixNano()))
	router := httprouter.New()
	router.GET(protocol.PathLoad, s.handleLoad)
	router.NotFound = http.HandlerFunc(s.handleRequest)
	router.HandleMethodNotAllowed = false
	server, err := httpserver.Start(addr, router)
	s.Server = server
	return s, err
}

// Close stops the service for good.
func (s *Service) Close() {
	close(s.closed)
	s.Server.Close()
}

// Faults returns the service's faults.
func (s *Service) Faults() *fault.Set {
	return s.faults
}

// StartDrain makes the service refuse new work as not run and say that it leaves;
// Return undoes it.
func (s *Service) StartDrain() { s.setLeaving(true) }

// EndDrain ends a drain.
func (s *Service) EndDrain() { s.setLeaving(false) }

func (s *Service) setLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Crash cuts all connections and restarts the service after RestartAfter.
func (s *Service) Crash() {
	if !s.Stop() {
		return
	}
	s.mu.Lock()
	s.record.crashes++
	s.done = 0
	s.mu.Unlock()
	s.Go(func() {
		select {
		case <-s.clock.After(s.options.RestartAfter):
		case <-s.closed:
			return
		}
		s.boot.Add(1)
		_ = s.Restart()
	})
}

func (s *Service) handleLoad(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if _, down := s.faults.Trigger(fault.LoadOutage); down {
		http.Error(w, "no load report", http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	report := protocol.LoadReport{Incarnation: s.boot.Load(), Running: s.running, Completed: s.done, Draining: s.leaving}
	s.mu.Unlock()
	httpserver.WriteJSON(w, http.StatusOK, report)
}

// handleRequest executes any request. Faults strike in the order of its steps.
func (s *Service) handleRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		s.refuse(w, r, http.StatusBadRequest)
		return
	}
	if slow, ok := s.faults.Trigger(fault.Slow); ok {
		s.sleep(r, slow.Delay)
	}
	if _, ok := s.faults.Trigger(fault.Refuse); ok || s.isLeaving() {
		s.refuse(w, r, http.StatusServiceUnavailable)
		return
	}
	if _, ok := s.faults.Trigger(fault.CrashBefore); ok {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	answer := s.execute(r, body)
	s.work(r)
	s.reply(w, r, answer)
}

func (s *Service) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

func (s *Service) refuse(w http.ResponseWriter, r *http.Request, status int) {
	s.mu.Lock()
	s.record.refused++
	s.mu.Unlock()
	w.Header().Set(protocol.HeaderRequestID, r.Header.Get(protocol.HeaderRequestID))
	w.Header().Set(protocol.HeaderNotRun, "true")
	http.Error(w, "refused", status)
}

// execute records the execution. From here on the request has run.
func (s *Service) execute(r *http.Request, body []byte) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	execution := Execution{
		Number:    uint64(len(s.record.executions)) + 1,
		RequestID: r.Header.Get(protocol.HeaderRequestID),
		Key:       r.Header.Get(HeaderKey),
		User:      userOf(body),
		Path:      r.URL.Path,
		Body:      string(body),
		At:        s.clock.Now(),
		Running:   s.running,
	}
	s.record.add(execution, s.options.Capacity)
	return Answer{
		RequestID: execution.RequestID, Key: execution.Key, Method: r.Method,
		Path: execution.Path, Body: execution.Body, Execution: execution.Number,
	}
}

// userOf returns the field user of a JSON body, the caller's own name for the
// request; empty if there is none.
func userOf(body []byte) string {
	var named struct {
		User string `json:"user"`
	}
	_ = json.Unmarshal(body, &named)
	return named.User
}

// work takes the time of the request.
func (s *Service) work(r *http.Request) {
	defer s.finish()
	s.sleep(r, s.options.Work)
}

func (s *Service) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.done++
}

// sleep waits for d. It aborts the connection if that or the service ends.
func (s *Service) sleep(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-s.clock.After(d):
		return
	case <-r.Context().Done():
	case <-s.closed:
	}
	panic(http.ErrAbortHandler)
}

// hold keeps the connection open and silent until either end closes it.
func (s *Service) hold(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.closed:
	}
	panic(http.ErrAbortHandler)
}

// reply answers an executed request, subject to the faults of answers.
func (s *Service) reply(w http.ResponseWriter, r *http.Request, answer Answer) {
	if _, ok := s.faults.Trigger(fault.Crash); ok {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	if _, ok := s.faults.Trigger(fault.LostReply); ok {
		panic(http.ErrAbortHandler)
	}
	if _, ok := s.faults.Trigger(fault.NoAnswer); ok {
		s.hold(r)
	}
	if late, ok := s.faults.Trigger(fault.Late); ok {
		s.sleep(r, late.Delay)
	}
	if _, ok := s.faults.Trigger(fault.Crossed); ok {
		answer.RequestID = "crossed-" + answer.RequestID
		answer.Key = "crossed-" + answer.Key
	}
	s.write(w, r, answer)
}

func (s *Service) write(w http.ResponseWriter, r *http.Request, answer Answer) {
	data, err := json.Marshal(answer)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(protocol.HeaderRequestID, answer.RequestID)
	httpserver.SetBoot(w, s.boot.Load())
	httpserver.SetLength(w, len(data))
	half := len(data) / 2
	_, _ = w.Write(data[:half])
	if s.broken(w, r) {
		return
	}
	_, _ = w.Write(data[half:])
}

// broken strikes the faults that break an answer off half-way. It reports
// whether the answer ends early without the connection being cut first.
func (s *Service) broken(w http.ResponseWriter, r *http.Request) bool {
	if _, ok := s.faults.Trigger(fault.Silence); ok {
		_ = http.NewResponseController(w).Flush()
		s.hold(r)
	}
	if _, ok := s.faults.Trigger(fault.Cut); ok {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, truncated := s.faults.Trigger(fault.Truncate)
	return truncated
}
