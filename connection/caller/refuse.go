package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// ErrorResponse is the JSON body of an answer that refuses a request.
type ErrorResponse struct {
	Code         outcome.Code `json:"code"`
	Name         string       `json:"name"`
	Run          outcome.Run  `json:"run"`
	Message      string       `json:"message"`
	Detail       string       `json:"detail,omitempty"`
	RetryAfterMs int64        `json:"retry_after_ms,omitempty"`
	Address      string       `json:"address,omitempty"` // another entry host to use
	Request      string       `json:"request,omitempty"`
}

// refuse answers w with refusal.
func refuse(w http.ResponseWriter, id string, refusal *outcome.Refusal) {
	info := refusal.Code.Info()
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	if refusal.RetryAfter > 0 {
		seconds := int64((refusal.RetryAfter + time.Second - 1) / time.Second)
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	if id != "" {
		header.Set(HeaderRequest, id)
	}
	body, err := json.Marshal(ErrorResponse{
		Code:         refusal.Code,
		Name:         info.Name,
		Run:          refusal.Run,
		Message:      info.Text,
		Detail:       refusal.Detail,
		RetryAfterMs: refusal.RetryAfter.Milliseconds(),
		Address:      refusal.Address,
		Request:      id,
	})
	if err != nil {
		body = []byte("{}")
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(info.Status)
	_, _ = w.Write(body)
}
