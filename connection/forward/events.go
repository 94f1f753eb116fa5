package forward

import (
	"bytes"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/http1"
)

const (
	eventBufferBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 256 << 10
)

// events splits the body of a stream into complete events.
type events struct {
	body   *http1.Body
	accept func(event []byte) error // called for each event in turn; an error ends the stream before it
	err    error                    // of accept
	buf    []byte
	start  int  // of the bytes not returned yet
	ended  bool // the body was read to its end
}

func newEvents(body *http1.Body, accept func(event []byte) error) *events {
	return &events{body: body, accept: accept, buf: make([]byte, 0, eventBufferBytes)}
}

// errPartialEvent is returned for a stream that ended inside an event.
var errPartialEvent = errors.New("stream ended inside an event")

// next returns the complete events that are buffered, blocking for at least
// one. They are valid until the next read. At the end of a complete body it returns io.EOF.
func (e *events) next() ([]byte, error) {
	for {
		if taken := e.takeEvents(); len(taken) > 0 {
			return taken, nil
		}
		if e.err != nil {
			return nil, e.err
		}
		if e.ended {
			if e.start < len(e.buf) {
				return nil, errPartialEvent
			}
			return nil, io.EOF
		}
		if err := e.fill(); err != nil {
			return nil, err
		}
	}
}

// first returns the first event, not taken yet, that does more than to keep the connection alive, or nil if it
// is not buffered.
func (e *events) first() []byte {
	for from := e.start; ; {
		n := eventLength(e.buf[from:])
		if n == 0 {
			return nil
		}
		if event := e.buf[from : from+n]; parseBlock(event).text {
			return event
		}
		from += n
	}
}

func (e *events) fill() error {
	if e.start > 0 {
		n := copy(e.buf, e.buf[e.start:])
		e.buf, e.start = e.buf[:n], 0
	}
	if len(e.buf) >= maxEventBytes {
		return errors.New("event exceeds the size limit")
	}
	if len(e.buf) == cap(e.buf) {
		grown := make([]byte, len(e.buf), 2*cap(e.buf))
		copy(grown, e.buf)
		e.buf = grown
	}
	n, err := e.body.Read(e.buf[len(e.buf):cap(e.buf)])
	e.buf = e.buf[:len(e.buf)+n]
	if err == io.EOF {
		e.ended = true
		return nil
	}
	if n > 0 {
		return nil
	}
	return err
}

// takeEvents returns the complete events at the start of the buffer, up to one that is not accepted.
func (e *events) takeEvents() []byte {
	from := e.start
	for e.err == nil {
		n := eventLength(e.buf[e.start:])
		if n == 0 {
			break
		}
		if e.err = e.accept(e.buf[e.start : e.start+n]); e.err == nil {
			e.start += n
		}
	}
	return e.buf[from:e.start]
}

// eventLength returns the length of the first event, its blank line included,
// or 0 if it is not complete.
func eventLength(p []byte) int {
	for from := 0; ; {
		i := bytes.IndexByte(p[from:], '\n')
		if i < 0 {
			return 0
		}
		from += i + 1
		rest := p[from:]
		switch {
		case len(rest) > 0 && rest[0] == '\n':
			return from + 1
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n':
			return from + 2
		}
	}
}

// streamIdleTimeout is how long a stream may send nothing before another endpoint is
// asked to go on with it.
func streamIdleTimeout(gap time.Duration) time.Duration {
	const (
		gapFactor  = 4 // a healthy stream never pauses for this multiple of gap
		minTimeout = time.Second
	)
	return max(minTimeout, gapFactor*gap)
}
