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

// HeaderKey is the header with the key of a non-idempotent request.
const HeaderKey = "Idempotency-Key"

// maxBodyBytes bounds the body that the service reads.
const maxBodyBytes = 16 << 20

// Options describe a service.
type Options struct {
	Clock clockwork.Clock // nil: real time
	Seed  uint64          // of the faults
	// Capacity is not enforced; Stats.WorstOverrun is the largest excess over it. 0: no limit.
	Capacity int
	// Work is the duration of one request.
	Work time.Duration
	// RestartAfter is how long it stays down after a crash.
	RestartAfter time.Duration
}

// Response is the body of a response.
type Response struct {
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
	options     Options
	clock       clockwork.Clock
	faults      *fault.Set
	incarnation atomic.Uint64
	closed      chan struct{}

	mu         sync.Mutex
	inProgress int
	draining   bool
	completed  uint64 // in this incarnation
	recorder   recorder
}

// Start starts a service on addr, or on a free loopback port if addr is empty.
func Start(addr string, options Options) (*Service, error) {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	s := &Service{
		options:  options,
		clock:    options.Clock,
		faults:   fault.NewSet(options.Clock, options.Seed),
		closed:   make(chan struct{}),
		recorder: newRecorder(),
	}
	s.incarnation.Store(uint64(s.clock.Now().UnixNano()))
	router := httprouter.New()
	router.GET(protocol.PathLoad, s.handleLoad)
	router.NotFound = http.HandlerFunc(s.handleRequest)
	router.HandleMethodNotAllowed = false
	server, err := httpserver.Start(addr, httpserver.EchoRequestID(router))
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

// StartDrain makes the service refuse new requests as not run and report that it drains.
func (s *Service) StartDrain() { s.setDraining(true) }

// EndDrain ends a drain.
func (s *Service) EndDrain() { s.setDraining(false) }

func (s *Service) setDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

// Crash closes all connections and restarts the service after RestartAfter.
func (s *Service) Crash() {
	if !s.Stop() {
		return
	}
	s.mu.Lock()
	s.recorder.crashes++
	s.completed = 0
	s.mu.Unlock()
	s.Go(func() {
		select {
		case <-s.clock.After(s.options.RestartAfter):
		case <-s.closed:
			return
		}
		s.incarnation.Add(1)
		_ = s.Restart()
	})
}

func (s *Service) handleLoad(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if _, down := s.faults.Trigger(fault.LoadOutage); down {
		http.Error(w, "no load report", http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	report := protocol.LoadReport{Incarnation: s.incarnation.Load(), Running: s.inProgress, Completed: s.completed, Draining: s.draining}
	s.mu.Unlock()
	httpserver.WriteJSON(w, http.StatusOK, report)
}

// handleRequest executes any request. Faults trigger in the order of its steps.
func (s *Service) handleRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		s.refuse(w, r, http.StatusBadRequest)
		return
	}
	if slow, ok := s.faults.Trigger(fault.Slow); ok {
		s.sleep(r, slow.Delay)
	}
	if _, ok := s.faults.Trigger(fault.Refuse); ok || s.isDraining() {
		s.refuse(w, r, http.StatusServiceUnavailable)
		return
	}
	if _, ok := s.faults.Trigger(fault.CrashBefore); ok {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	response := s.recordExecution(r, body)
	s.work(r)
	s.reply(w, r, response)
}

func (s *Service) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Service) refuse(w http.ResponseWriter, r *http.Request, status int) {
	s.mu.Lock()
	s.recorder.refused++
	s.mu.Unlock()
	w.Header().Set(protocol.HeaderRequestID, r.Header.Get(protocol.HeaderRequestID))
	w.Header().Set(protocol.HeaderNotRun, "true")
	http.Error(w, "refused", status)
}

// recordExecution records an execution. From here on the request counts as run.
func (s *Service) recordExecution(r *http.Request, body []byte) Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress++
	execution := Execution{
		Number:          uint64(len(s.recorder.executions)) + 1,
		RequestID:       r.Header.Get(protocol.HeaderRequestID),
		Key:             r.Header.Get(HeaderKey),
		CallerRequestID: userField(body),
		Path:            r.URL.Path,
		Body:            string(body),
		At:              s.clock.Now(),
		InProgress:      s.inProgress,
	}
	s.recorder.add(execution, s.options.Capacity)
	return Response{
		RequestID: execution.RequestID, Key: execution.Key, Method: r.Method,
		Path: execution.Path, Body: execution.Body, Execution: execution.Number,
	}
}

// userField returns the field user of a JSON body, the caller's own id of the
// request; empty if there is none.
func userField(body []byte) string {
	var named struct {
		User string `json:"user"`
	}
	_ = json.Unmarshal(body, &named)
	return named.User
}

// work waits for the duration of the request.
func (s *Service) work(r *http.Request) {
	defer s.finish()
	s.sleep(r, s.options.Work)
}

func (s *Service) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress--
	s.completed++
}

// sleep waits for d. It aborts the connection if the connection or the service ends first.
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

// hold keeps the connection open without sending until either end closes it.
func (s *Service) hold(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.closed:
	}
	panic(http.ErrAbortHandler)
}

// reply responds to an executed request and triggers the faults of responses.
func (s *Service) reply(w http.ResponseWriter, r *http.Request, response Response) {
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
		response.RequestID = "crossed-" + response.RequestID
		response.Key = "crossed-" + response.Key
	}
	s.writeResponse(w, r, response)
}

func (s *Service) writeResponse(w http.ResponseWriter, r *http.Request, response Response) {
	data, err := json.Marshal(response)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(protocol.HeaderRequestID, response.RequestID)
	httpserver.SetIncarnation(w, s.incarnation.Load())
	httpserver.SetContentLength(w, len(data))
	half := len(data) / 2
	_, _ = w.Write(data[:half])
	if s.triggerBodyFaults(w, r) {
		return
	}
	_, _ = w.Write(data[half:])
}

// triggerBodyFaults triggers the faults in the middle of a response. It reports
// whether the rest of the response is to be left out.
func (s *Service) triggerBodyFaults(w http.ResponseWriter, r *http.Request) bool {
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
