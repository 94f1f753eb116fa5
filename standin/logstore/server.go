package logstore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/standin/internal/httpserver"
)

// Bounds of what the server accepts.
const (
	maxAppendBytes = 16 << 20         // of one append's body
	maxReadRecords = 10000            // of one read
	maxReadWait    = 60 * time.Second // of one read
)

// AppendRequest is the body of POST /v1/streams/{stream}/records. Status 429
// and 503 mean that it did not take effect.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse is the response to an append.
type AppendResponse struct {
	Offset platformclient.Offset `json:"offset"`
}

// Server serves a log over HTTP.
type Server struct {
	*Memory
	*httpserver.Server
}

// Start starts a log on addr, or on a free loopback port if addr is empty.
func Start(addr string, options Options) (*Server, error) {
	s := &Server{Memory: NewMemory(options)}
	router := httprouter.New()
	router.POST("/v1/streams/:stream/records", s.handleAppend)
	router.GET("/v1/streams/:stream/records", s.handleRead)
	server, err := httpserver.Start(addr, httpserver.EchoRequestID(router))
	s.Server = server
	return s, err
}

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	var body AppendRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAppendBytes)).Decode(&body)
	if err != nil || len(body.Records) == 0 {
		http.Error(w, "the body must be JSON with at least one record", http.StatusBadRequest)
		return
	}
	offset, err := s.Append(r.Context(), params.ByName("stream"), body.Records)
	switch {
	case err == nil:
		httpserver.WriteJSON(w, http.StatusOK, AppendResponse{Offset: offset})
	case platformclient.MayHaveAppended(err):
		panic(http.ErrAbortHandler)
	case errors.Is(err, ErrRate):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// handleRead returns a platformclient.Page for the parameters from, limit and
// wait_ms; the status is 410 if the offset has expired.
func (s *Server) handleRead(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from must be an offset", http.StatusBadRequest)
		return
	}
	limit := parseWithin(query.Get("limit"), maxReadRecords, maxReadRecords)
	wait := time.Duration(parseWithin(query.Get("wait_ms"), 0, int(maxReadWait.Milliseconds()))) * time.Millisecond
	page, err := s.Read(r.Context(), params.ByName("stream"), platformclient.Offset(from), limit, wait)
	switch {
	case err == nil:
		httpserver.WriteJSON(w, http.StatusOK, page)
	case errors.Is(err, platformclient.ErrExpired):
		httpserver.WriteJSON(w, http.StatusGone, page)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// parseWithin parses a number, capped at largest; fallback if it is invalid.
func parseWithin(text string, fallback, largest int) int {
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return fallback
	}
	return min(n, largest)
}
