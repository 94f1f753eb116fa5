package caller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/request/serve"
)

// writeTimeout bounds one write to a caller that reads slowly.
const writeTimeout = 15 * time.Second

// responseSink writes a response to a caller.
type responseSink struct {
	w          http.ResponseWriter
	server     *Server
	controller *http.ResponseController
	job        *serve.Job
	clock      clockwork.Clock
	started    bool
	firstByte  time.Duration // from the arrival to the head of the response
}

// Head implements serve.Sink.
func (s *responseSink) Head(status int, header http.Header, length int64) error {
	s.started = true
	s.firstByte = s.clock.Since(s.job.Received)
	target := s.w.Header()
	for name, values := range header {
		target[name] = values
	}
	target.Set(HeaderRequest, s.job.ID)
	s.server.drainHeader(target)
	if length >= 0 {
		target.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	s.w.WriteHeader(status)
	return nil
}

// Write implements serve.Sink.
func (s *responseSink) Write(part []byte) error {
	if err := s.controller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.WithStack(err)
	}
	if _, err := s.w.Write(part); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(s.controller.Flush())
}
