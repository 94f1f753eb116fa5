package frontend

import (
	"net/http"
	"strconv"
	"time"

	"github.com/stoatmount/stoatmount/connection/http1"
)

// Exchange is one request and its response.
type Exchange struct {
	Head    *http1.Head
	Body    []byte
	Arrived time.Time // when its first byte was read
	Read    time.Time // when all of it was

	conn     *conn
	close    bool // the connection is closed after the response
	chunked  bool
	complete bool // the response was written to its end
	buf      []byte
}

// Respond writes a response whose body is known.
func (x *Exchange) Respond(status int, fields []http1.Field, body []byte) error {
	x.head(status, "", fields)
	x.buf = append(x.buf, "Content-Length: "...)
	x.buf = strconv.AppendInt(x.buf, int64(len(body)), 10)
	x.buf = append(x.buf, "\r\n\r\n"...)
	if x.Head == nil || x.Head.Method != http.MethodHead {
		x.buf = append(x.buf, body...)
	}
	return x.flushLast()
}

// WriteHead writes the head of a response of unknown length. Write and End
// follow. For a caller of HTTP/1.0 the connection's close ends the response.
func (x *Exchange) WriteHead(status int, fields []http1.Field) error {
	x.chunked = x.Head.MinorVersion > 0
	x.close = x.close || !x.chunked
	x.head(status, "", fields)
	if x.chunked {
		x.buf = append(x.buf, "Transfer-Encoding: chunked\r\n"...)
	}
	x.buf = append(x.buf, "\r\n"...)
	return nil // sent with the first part of the body
}

// Write writes a part of the body.
func (x *Exchange) Write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if !x.chunked {
		x.buf = append(x.buf, p...)
		return x.flush()
	}
	x.buf = strconv.AppendInt(x.buf, int64(len(p)), 16)
	x.buf = append(x.buf, "\r\n"...)
	x.buf = append(x.buf, p...)
	x.buf = append(x.buf, "\r\n"...)
	return x.flush()
}

// End completes the body. Without it the connection is closed and the caller can
// tell that the response is truncated.
func (x *Exchange) End() error {
	if x.chunked {
		x.buf = append(x.buf, "0\r\n\r\n"...)
	}
	return x.flushLast()
}

// CloseAfter makes the server close the connection after the response.
func (x *Exchange) CloseAfter() { x.close = true }

// Abort makes the server close the connection before the response is complete. If
// the response is not chunked, a TCP reset follows: a plain close would mark its end.
func (x *Exchange) Abort() {
	x.close = true
	if t, ok := x.conn.nc.(interface{ SetLinger(int) error }); ok && !x.chunked {
		_ = t.SetLinger(0) // on an error the close that follows still ends it
	}
}

func (x *Exchange) head(status int, reason string, fields []http1.Field) {
	if x.conn.s.draining.Load() || x.conn.s.nearLimit() {
		x.close = true
	}
	if reason == "" {
		reason = http.StatusText(status)
	}
	x.buf = append(x.buf[:0], "HTTP/1.1 "...)
	x.buf = strconv.AppendInt(x.buf, int64(status), 10)
	x.buf = append(x.buf, ' ')
	x.buf = append(x.buf, reason...)
	x.buf = append(x.buf, "\r\n"...)
	for _, f := range fields {
		x.buf = append(x.buf, f.Name...)
		x.buf = append(x.buf, ": "...)
		x.buf = append(x.buf, f.Value...)
		x.buf = append(x.buf, "\r\n"...)
	}
	if x.close {
		x.buf = append(x.buf, "Connection: close\r\n"...)
	}
}

// flushLast writes the last part of the response. The connection counts as idle from
// now on, since the caller may have the response before the write returns.
func (x *Exchange) flushLast() error {
	x.conn.idleSince.Store(time.Now().UnixNano())
	err := x.flush()
	x.complete = err == nil
	return err
}

func (x *Exchange) flush() error {
	if len(x.buf) == 0 {
		return nil
	}
	if err := x.conn.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := x.conn.nc.Write(x.buf)
	x.buf = x.buf[:0]
	return err
}
