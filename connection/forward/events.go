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
	// eventBytes bounds one event.
	eventBytes = 1 << 20
)

// events splits the body of a stream into whole events.
type events struct {
	body *http1.Body
	buf  []byte
	at   int // begin of the bytes not returned yet
	end  bool
}

func newEvents(body *http1.Body) *events {
	return &events{body: body, buf: make([]byte, 0, eventBufferBytes)}
}

// errHalfEvent says that a stream ended inside an event.
var errHalfEvent = errors.New("stream ended inside an event")

// batch holds whole events that were read together. The ids are -1 if no
// event has one; data is valid until the next read.
type batch struct {
	data        []byte
	count       int
	first, last int64
}

// next returns the whole events that are there, blocking for at least one. At
// the end of a complete body it returns io.EOF.
func (e *events) next() (batch, error) {
	for {
		if b := e.take(); b.count > 0 {
			return b, nil
		}
		if e.end {
			if e.at < len(e.buf) {
				return batch{}, errHalfEvent
			}
			return batch{}, io.EOF
		}
		if err := e.fill(); err != nil {
			return batch{}, err
		}
	}
}

func (e *events) fill() error {
	if e.at > 0 {
		n := copy(e.buf, e.buf[e.at:])
		e.buf, e.at = e.buf[:n], 0
	}
	if len(e.buf) >= eventBytes {
		return errors.New("event over the limit")
	}
	if len(e.buf) == cap(e.buf) {
		grown := make([]byte, len(e.buf), 2*cap(e.buf))
		copy(grown, e.buf)
		e.buf = grown
	}
	n, err := e.body.Read(e.buf[len(e.buf):cap(e.buf)])
	e.buf = e.buf[:len(e.buf)+n]
	if err == io.EOF {
		e.end = true
		return nil
	}
	if n > 0 {
		return nil
	}
	return err
}

// take returns the whole events at the begin of the buffer.
func (e *events) take() batch {
	b := batch{first: -1, last: -1}
	from := e.at
	for {
		n := eventLength(e.buf[e.at:])
		if n == 0 {
			b.data = e.buf[from:e.at]
			return b
		}
		if id, ok := eventID(e.buf[e.at : e.at+n]); ok {
			if b.first < 0 {
				b.first = id
			}
			b.last = id
		}
		e.at += n
		b.count++
	}
}

// eventLength returns the length of the first event, its blank line included,
// or 0 if it is not whole.
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

// idleDeadline is how long a stream may be silent before it counts as lost.
func idleDeadline(gap time.Duration) time.Duration {
	const (
		gapsLost  = 4 // pauses that no healthy stream makes
		leastLost = time.Second
	)
	return max(leastLost, gapsLost*gap)
}
