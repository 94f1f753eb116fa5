package forward

import (
	"bytes"
	"io"
	"strconv"
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
	body  *http1.Body
	buf   []byte
	start int  // of the bytes not returned yet
	ended bool // the body was read to its end
}

func newEvents(body *http1.Body) *events {
	return &events{body: body, buf: make([]byte, 0, eventBufferBytes)}
}

// errPartialEvent is returned for a stream that ended inside an event.
var errPartialEvent = errors.New("stream ended inside an event")

// batch holds complete events that were read together. The ids are -1 if no
// event has one; data is valid until the next read.
type batch struct {
	data        []byte
	count       int
	first, last int64
}

// next returns the complete events that are buffered, blocking for at least
// one. At the end of a complete body it returns io.EOF.
func (e *events) next() (batch, error) {
	for {
		if b := e.takeEvents(); b.count > 0 {
			return b, nil
		}
		if e.ended {
			if e.start < len(e.buf) {
				return batch{}, errPartialEvent
			}
			return batch{}, io.EOF
		}
		if err := e.fill(); err != nil {
			return batch{}, err
		}
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

// takeEvents returns the complete events at the start of the buffer.
func (e *events) takeEvents() batch {
	b := batch{first: -1, last: -1}
	from := e.start
	for {
		n := eventLength(e.buf[e.start:])
		if n == 0 {
			b.data = e.buf[from:e.start]
			return b
		}
		if id, ok := eventID(e.buf[e.start : e.start+n]); ok {
			if b.first < 0 {
				b.first = id
			}
			b.last = id
		}
		e.start += n
		b.count++
	}
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

// eventID returns the value of the event's id line.
func eventID(p []byte) (int64, bool) {
	for len(p) > 0 {
		line := p
		if i := bytes.IndexByte(p, '\n'); i >= 0 {
			line, p = p[:i], p[i+1:]
		} else {
			p = nil
		}
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
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
