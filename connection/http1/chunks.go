package http1

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// chunkOverheadBytes, with twice its data, is how long the line of a chunk may be at no charge.
	// maxExcessBytes bounds what the lines of a body have beyond that.
	chunkOverheadBytes = 16
	maxExcessBytes     = 16 << 10
)

// chunkReader reads the data of a chunked body up to its last chunk. Unlike the one of net/http it returns
// what has arrived, and does not wait until the chunk is complete.
type chunkReader struct {
	src    *bufio.Reader
	left   int64 // bytes of the chunk that were not read
	inside bool  // a chunk was begun, and the CRLF after its data was not read
	excess int64 // bytes of lines beyond chunkOverheadBytes and twice the data
	err    error
}

// Read implements io.Reader. It returns io.EOF after the line of the last chunk.
func (r *chunkReader) Read(p []byte) (n int, err error) {
	for len(p) > 0 && r.err == nil && (n == 0 || r.arrived()) {
		if r.left == 0 {
			r.err = r.nextChunk()
			continue
		}
		var got int
		got, r.err = r.src.Read(p[:min(int64(len(p)), r.left)])
		n, p, r.left = n+got, p[got:], r.left-int64(got)
		if r.err == io.EOF {
			r.err = io.ErrUnexpectedEOF
		}
	}
	if n > 0 {
		return n, nil
	}
	return 0, r.err
}

// arrived reports whether what follows can be read without waiting: data, or the line of a chunk.
func (r *chunkReader) arrived() bool {
	buffered, _ := r.src.Peek(r.src.Buffered()) // of buffered bytes only, and so without an error
	if r.left > 0 {
		return len(buffered) > 0
	}
	_, line, ended := bytes.Cut(buffered, []byte("\r\n"))
	return ended && bytes.IndexByte(line, '\n') >= 0
}

// nextChunk reads the line of the next chunk. It returns io.EOF for the last one.
func (r *chunkReader) nextChunk() error {
	if r.inside {
		const end = "\r\n"
		if err := expectPrefix(r.src, end); err == io.EOF {
			return io.ErrUnexpectedEOF
		} else if err != nil {
			return errors.Wrap(err, "after the data of a chunk")
		}
		_, _ = r.src.Discard(len(end)) // of buffered bytes only
		r.inside = false
	}
	line, err := r.line()
	if err != nil {
		return err
	}
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 62)
	if err != nil {
		return errors.Wrap(ErrMalformed, "invalid size of a chunk")
	}
	r.left, r.inside = int64(size), true
	r.excess = max(0, r.excess+int64(len(line)+len("\r\n"))-chunkOverheadBytes-2*min(r.left, maxExcessBytes))
	switch {
	case r.excess > maxExcessBytes:
		return errors.Wrap(ErrMalformed, "too much in a chunked body that is no data")
	case size == 0:
		return io.EOF
	}
	return nil
}

// line reads a line without its CRLF. It is valid until the next read.
func (r *chunkReader) line() ([]byte, error) {
	line, err := r.src.ReadSlice('\n')
	switch {
	case err == io.EOF:
		return nil, io.ErrUnexpectedEOF
	case err == bufio.ErrBufferFull:
		return nil, errors.Wrap(ErrMalformed, "line of a chunk over the limit")
	case err != nil:
		return nil, err
	case len(line) < 2 || bytes.IndexByte(line, '\r') != len(line)-2:
		return nil, errors.Wrap(ErrMalformed, "line of a chunk without a CRLF at its end")
	}
	return line[:len(line)-2], nil
}
