package httpserver

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
)

// WriteJSON responds with body as JSON.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// EchoRequestID returns a handler whose responses name their request.
func EchoRequestID(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(protocol.HeaderRequestID); id != "" {
			w.Header().Set(protocol.HeaderRequestID, id)
		}
		handler.ServeHTTP(w, r)
	})
}

// SetIncarnation sets the header with an endpoint's incarnation.
func SetIncarnation(w http.ResponseWriter, incarnation uint64) {
	w.Header().Set(protocol.HeaderBoot, strconv.FormatUint(incarnation, 10))
}

// SetContentLength sets the length of a response.
func SetContentLength(w http.ResponseWriter, bytes int) {
	w.Header().Set("Content-Length", strconv.Itoa(bytes))
}
