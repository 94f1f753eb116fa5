package http1

import (
	"bufio"
	"io"

	"github.com/pkg/errors"
)

// ErrBodyTooBig is returned for a body over the limit.
var ErrBodyTooBig = errors.New("HTTP body over the limit")

// Body reads the body of a message and knows whether it is complete.
type Body struct {
	src       *bufio.Reader
	chunks    io.Reader
	remaining int64
	length    int64
	complete  bool
	failed    error // of a read; what follows it is not read
}

// NewBody returns a reader of a body with the given length.
func NewBody(src *bufio.Reader, length int64) *Body {
	b := &Body{src: src, length: length, remaining: length}
	switch length {
	case Chunked:
		b.chunks = &chunkReader{src: src}
	case 0:
		b.complete = true
	}
	return b
}

// Complete reports whether the body was read to its end.
func (b *Body) Complete() bool { return b.complete }

// Read returns io.EOF only after the end of a complete body; a truncated body
// ends with another error.
func (b *Body) Read(p []byte) (int, error) {
	switch {
	case b.complete:
		return 0, io.EOF
	case b.failed != nil:
		return 0, b.failed
	}
	n, err := b.read(p)
	if err != nil && err != io.EOF {
		b.failed = err
	}
	return n, err
}

func (b *Body) read(p []byte) (int, error) {
	switch b.length {
	case Chunked:
		return b.readChunked(p)
	case UntilClose:
		n, err := b.src.Read(p)
		b.complete = err == io.EOF
		return n, err
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.src.Read(p)
	b.remaining -= int64(n)
	b.complete = b.remaining == 0
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if b.complete && n > 0 {
		err = nil
	}
	return n, err
}

func (b *Body) readChunked(p []byte) (int, error) {
	n, err := b.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := b.skipTrailer(); err != nil {
		return 0, err
	}
	b.complete = true
	return 0, io.EOF
}

// maxTrailerBytes bounds the fields after the last chunk.
const maxTrailerBytes = 8 << 10

// skipTrailer discards the fields after the last chunk.
func (b *Body) skipTrailer() error {
	for read := 0; ; {
		line, err := b.src.ReadSlice('\n')
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if read += len(line); read > maxTrailerBytes {
			return errors.Wrap(ErrMalformed, "trailer over the limit")
		}
		if len(line) < 2 || line[len(line)-2] != '\r' {
			return errors.Wrap(ErrMalformed, "bare line feed in the trailer")
		}
		if len(line) == 2 {
			return nil
		}
	}
}

// ReadAll reads a whole body of at most limit bytes.
func (b *Body) ReadAll(limit int64) ([]byte, error) {
	if b.length > limit {
		return nil, ErrBodyTooBig
	}
	if b.length >= 0 {
		data := make([]byte, b.length)
		_, err := io.ReadFull(b, data)
		if err == io.EOF && b.length == 0 {
			err = nil
		}
		return data, err
	}
	data, err := io.ReadAll(io.LimitReader(b, limit+1))
	if int64(len(data)) > limit {
		return nil, ErrBodyTooBig
	}
	return data, err
}
