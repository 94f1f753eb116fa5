package engine

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
	"github.com/stoatmount/stoatmount/standin/internal/httpserver"
)

// maxEvents is the number of cache events that are kept; older ones are dropped.
const maxEvents = 4096

// exportBytesPerToken is the size of an exported token. Real ones are larger.
const exportBytesPerToken = 16

// eventLog holds the latest cache events.
type eventLog struct {
	next   uint64 // sequence number of the next event
	events []timedEvent
}

type timedEvent struct {
	at    time.Time
	event protocol.CacheEvent
}

// add assigns a sequence number to an event and stores it unless gap is set.
func (l *eventLog) add(now time.Time, session string, tokens int, gap bool) {
	event := protocol.CacheEvent{Seq: l.next, Session: session, Tokens: tokens}
	l.next++
	if gap {
		return
	}
	l.events = append(l.events, timedEvent{at: now, event: event})
	if len(l.events) > maxEvents {
		l.events = l.events[1:]
	}
}

// from returns the events with sequence number seq or higher up to time until.
func (l *eventLog) from(seq uint64, until time.Time) (events []protocol.CacheEvent, next uint64) {
	events = []protocol.CacheEvent{}
	next = l.next
	for _, e := range l.events {
		if e.at.After(until) {
			next = e.event.Seq
			break
		}
		if e.event.Seq >= seq {
			events = append(events, e.event)
		}
	}
	return events, max(next, seq)
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from must be a sequence number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	page := protocol.CacheEvents{Incarnation: e.incarnation}
	page.Events, page.Next = e.events.from(from, e.clock.Now().Add(-e.options.EventLag))
	e.mu.Unlock()
	httpserver.WriteJSON(w, http.StatusOK, page)
}

// exportHeader is the first line of an exported prefix.
type exportHeader struct {
	Session string `json:"session"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Tokens  int    `json:"tokens"`
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var move protocol.CacheExport
	if err := json.NewDecoder(r.Body).Decode(&move); err != nil {
		http.Error(w, "the body must name a session", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	header := exportHeader{
		Session: move.Session, Model: e.serving.model, Version: e.serving.version,
		Tokens: e.cache.get(move.Session),
	}
	e.mu.Unlock()
	if header.Tokens == 0 {
		http.Error(w, "the session is not cached", http.StatusNotFound)
		return
	}
	e.sleep(r, timeFor(header.Tokens, e.options.MovePerSecond))
	w.Header().Set("Content-Type", "application/octet-stream")
	_ = json.NewEncoder(w).Encode(header)
	_, _ = w.Write(make([]byte, header.Tokens*exportBytesPerToken))
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body := bufio.NewReader(r.Body)
	line, err := body.ReadBytes('\n')
	var header exportHeader
	if err != nil || json.Unmarshal(line, &header) != nil || header.Tokens <= 0 {
		http.Error(w, "the body must be an exported cache", http.StatusBadRequest)
		return
	}
	n, err := body.Discard(header.Tokens * exportBytesPerToken)
	if err != nil {
		http.Error(w, "the exported cache ends after "+strconv.Itoa(n)+" bytes", http.StatusBadRequest)
		return
	}
	e.sleep(r, timeFor(header.Tokens, e.options.MovePerSecond))
	e.importCache(w, &header)
}

func (e *Engine) importCache(w http.ResponseWriter, header *exportHeader) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if header.Model != e.serving.model || header.Version != e.serving.version {
		http.Error(w, "the exported cache is of another model or version", http.StatusConflict)
		return
	}
	e.storeLocked(header.Session, header.Tokens)
	w.WriteHeader(http.StatusNoContent)
}

// Cached returns the number of tokens that are cached for a session.
func (e *Engine) Cached(session string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if element, ok := e.cache.entries[session]; ok {
		return element.Value.(cacheEntry).tokens
	}
	return 0
}
