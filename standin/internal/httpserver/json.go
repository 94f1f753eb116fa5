package httpserver

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
)

// WriteJSON answers with body as JSON.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// SetBoot sets the header with an endpoint's boot number.
func SetBoot(w http.ResponseWriter, boot uint64) {
	w.Header().Set(protocol.HeaderBoot, strconv.FormatUint(boot, 10))
}

// SetLength declares the length of an answer.
func SetLength(w http.ResponseWriter, bytes int) {
	w.Header().Set("Content-Length", strconv.Itoa(bytes))
}
