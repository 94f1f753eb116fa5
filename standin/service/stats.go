package service

import (
	"slices"
	"time"
)

// Execution is one execution of a request.
type Execution struct {
	Number          uint64 // from 1, in the order of execution
	RequestID       string
	Key             string // Idempotency-Key, if any
	CallerRequestID string // caller's own id of the request, if the body has one
	Path            string
	Body            string
	At              time.Time
	InProgress      int // requests in progress, this one included
}

// Stats counts what happened at the service.
type Stats struct {
	Executions int
	Refused    int // requests refused as not run
	Crashes    int
	// RepeatedKeys is the number of keys executed more than once.
	RepeatedKeys int
	// WorstInProgress is the largest number of requests in progress.
	WorstInProgress int
	// WorstOverrun is the largest excess over Options.Capacity.
	WorstOverrun int
}

type recorder struct {
	executions        []Execution
	byKey             map[string]int
	byRequestID       map[string]int
	byCallerRequestID map[string]int
	refused           int
	crashes           int
	worstInProgress   int
	worstOverrun      int
}

func newRecorder() recorder {
	return recorder{byKey: make(map[string]int), byRequestID: make(map[string]int), byCallerRequestID: make(map[string]int)}
}

func (r *recorder) add(e Execution, capacity int) {
	r.executions = append(r.executions, e)
	if e.Key != "" {
		r.byKey[e.Key]++
	}
	r.byRequestID[e.RequestID]++
	if e.CallerRequestID != "" {
		r.byCallerRequestID[e.CallerRequestID]++
	}
	r.worstInProgress = max(r.worstInProgress, e.InProgress)
	if capacity > 0 {
		r.worstOverrun = max(r.worstOverrun, e.InProgress-capacity)
	}
}

// Stats returns the counts so far.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	repeated := 0
	for _, n := range s.recorder.byKey {
		if n > 1 {
			repeated++
		}
	}
	return Stats{
		Executions:      len(s.recorder.executions),
		Refused:         s.recorder.refused,
		Crashes:         s.recorder.crashes,
		RepeatedKeys:    repeated,
		WorstInProgress: s.recorder.worstInProgress,
		WorstOverrun:    s.recorder.worstOverrun,
	}
}

// Executions returns all executions in order.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.recorder.executions)
}

// ExecutionsByKey returns how often a key was executed.
func (s *Service) ExecutionsByKey(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recorder.byKey[key]
}

// ExecutionsByRequestID returns how often a request id was executed.
func (s *Service) ExecutionsByRequestID(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recorder.byRequestID[id]
}

// InProgress returns the number of requests in progress.
func (s *Service) InProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inProgress
}

// ExecutionsByCallerRequestID returns how often a request with this id of its
// caller was executed.
func (s *Service) ExecutionsByCallerRequestID(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recorder.byCallerRequestID[id]
}

// LastExecution returns when a request was last executed; zero if never.
func (s *Service) LastExecution() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.recorder.executions); n > 0 {
		return s.recorder.executions[n-1].At
	}
	return time.Time{}
}
