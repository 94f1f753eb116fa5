package serve

import "net/http"

// Sink receives the response to one request on its way to the caller.
type Sink interface {
	// Head sends the status and headers. length is the size of the body, or -1 if
	// unknown. Head is called at most once.
	Head(status int, header http.Header, length int64) error
	// Write sends a part of the body at once, without buffering.
	Write(part []byte) error
}

// responseWriter writes to a Sink and remembers whether the head was sent.
type responseWriter struct {
	sink     Sink
	headSent bool
}

func (r *responseWriter) begin(status int, header http.Header, length int64) error {
	r.headSent = true
	return r.sink.Head(status, header, length)
}
