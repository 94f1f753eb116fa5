package serve

import "net/http"

// Sink takes the answer to one request on its way to the caller.
type Sink interface {
	// Head sends the status and headers. length is the size of the body, or
	// -1 if it is not known. Head is called at most once.
	Head(status int, header http.Header, length int64) error
	// Write sends a part of the body at once, without buffering.
	Write(part []byte) error
}

// relay remembers how much of an answer has gone to the caller.
type relay struct {
	sink Sink
	head bool
}

func (r *relay) begin(status int, header http.Header, length int64) error {
	r.head = true
	return r.sink.Head(status, header, length)
}
