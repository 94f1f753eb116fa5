package engine

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/standin/fault"
	"github.com/stoatmount/stoatmount/standin/internal/httpserver"
)

// sample is a load report at a point in time.
type sample struct {
	at     time.Time
	report protocol.LoadReport
}

// sampleLocked stores the current load for delayed reports.
func (e *Engine) sampleLocked() {
	now := e.clock.Now()
	report := protocol.LoadReport{
		Incarnation: e.incarnation,
		Running:     len(e.batch),
		Queued:      len(e.queue),
		Completed:   e.completed,
		FirstToken:  e.firstTokenMs,
		CacheTokens: e.options.CacheTokens,
		CacheUsed:   e.cache.used,
		Draining:    e.draining,
		Model:       e.serving.model,
		Version:     e.serving.version,
		Adapter:     e.serving.adapter,
		Role:        e.serving.role,
		Fence:       e.serving.fence,
		Loading:     e.serving.loading,
	}
	e.history = append(e.history, sample{at: now, report: report})
	oldest := now.Add(-e.options.LoadLag)
	for len(e.history) > 1 && !e.history[1].at.After(oldest) {
		e.history = e.history[1:]
	}
}

// Load returns the load report of LoadLag ago.
func (e *Engine) Load() protocol.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	until := now.Add(-e.options.LoadLag)
	found := e.history[0]
	for _, s := range e.history[1:] {
		if s.at.After(until) {
			break
		}
		found = s
	}
	age := min(e.options.LoadLag, now.Sub(e.history[0].at))
	found.report.AgeMs = age.Milliseconds()
	return found.report
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if _, down := e.faults.Trigger(fault.LoadOutage); down {
		http.Error(w, "no load report", http.StatusServiceUnavailable)
		return
	}
	httpserver.WriteJSON(w, http.StatusOK, e.Load())
}

// InProgress returns the number of requests that are queued or running now.
func (e *Engine) InProgress() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.batch) + len(e.queue)
}
