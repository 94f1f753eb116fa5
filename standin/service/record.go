package service

import (
	"slices"
	"time"
)

// Execution is one execution of a request.
type Execution struct {
	Number    uint64 // from 1, in the order of execution
	RequestID string
	Key       string // Idempotency-Key, if any
	User      string // caller's own name for the request, if the body has one
	Path      string
	Body      string
	At        time.Time
	Running   int // requests in progress, this one included
}

// Stats is what really happened at the service.
type Stats struct {
	Executions int
	Refused    int // requests refused as not run
	Crashes    int
	// Repeated is the number of keys that were executed more than once.
	Repeated int
	// WorstRunning is the largest number of requests in progress.
	WorstRunning int
	// WorstOverrun is the largest excess over Options.Bears.
	WorstOverrun int
}

type record struct {
	executions   []Execution
	byKey        map[string]int
	byRequest    map[string]int
	byUser       map[string]int
	refused      int
	crashes      int
	worstRunning int
	worstOverrun int
}

func newRecord() record {
	return record{byKey: make(map[string]int), byRequest: make(map[string]int), byUser: make(map[string]int)}
}

func (r *record) add(e Execution, bears int) {
	r.executions = append(r.executions, e)
	if e.Key != "" {
		r.byKey[e.Key]++
	}
	r.byRequest[e.RequestID]++
	if e.User != "" {
		r.byUser[e.User]++
	}
	r.worstRunning = max(r.worstRunning, e.Running)
	if bears > 0 {
		r.worstOverrun = max(r.worstOverrun, e.Running-bears)
	}
}

// Stats returns what really happened so far.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	repeated := 0
	for _, n := range s.record.byKey {
		if n > 1 {
			repeated++
		}
	}
	return Stats{
		Executions:   len(s.record.executions),
		Refused:      s.record.refused,
		Crashes:      s.record.crashes,
		Repeated:     repeated,
		WorstRunning: s.record.worstRunning,
		WorstOverrun: s.record.worstOverrun,
	}
}

// Executions returns all executions in their order.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.record.executions)
}

// ExecutionsByKey returns how often a key was executed.
func (s *Service) ExecutionsByKey(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.byKey[key]
}

// ExecutionsByRequest returns how often a request number was executed.
func (s *Service) ExecutionsByRequest(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.byRequest[id]
}

// InProgress returns the number of requests that are executed now.
func (s *Service) InProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// ExecutionsByUser returns how often a request of the caller's own name was executed.
func (s *Service) ExecutionsByUser(user string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.byUser[user]
}

// LastExecution returns when a request was last executed; zero if never.
func (s *Service) LastExecution() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.record.executions); n > 0 {
		return s.record.executions[n-1].At
	}
	return time.Time{}
}
