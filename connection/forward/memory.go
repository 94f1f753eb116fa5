package forward

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// maxBufferedBytes bounds a response that is buffered before it is passed on, and
	// maxBufferedTotal all of them. It is a part of the memory of a small host.
	maxBufferedBytes = 8 << 20
	maxBufferedTotal = 48 << 20
	// bufferStep is how much of a response is read at a time.
	bufferStep = 64 << 10
)

// errResponseMemory is returned for a body that would bring the total above maxBufferedTotal.
var errResponseMemory = errors.New("buffered responses exceed the memory limit")

// errResponseTooBig is returned for a body above maxBufferedBytes.
var errResponseTooBig = errors.New("response over the size limit")

// memoryBudget bounds the bytes that are held at a time.
type memoryBudget struct{ used atomic.Int64 }

// reserve reports whether n more bytes may be held.
func (m *memoryBudget) reserve(n, total int64) bool {
	if m.used.Add(n) <= total {
		return true
	}
	m.used.Add(-n)
	return false
}

// readBody reads the body of a response that is buffered. Its memory is reserved until
// the end of the request.
func (j *job) readBody(a *attempt) ([]byte, error) {
	if n := a.head.Length; n >= 0 {
		if n > maxBufferedBytes {
			return nil, errResponseTooBig
		}
		if !j.reserve(n) {
			return nil, errResponseMemory
		}
		return a.body.ReadAll(maxBufferedBytes)
	}
	var data bytes.Buffer
	for data.Len() <= maxBufferedBytes {
		if !j.reserve(bufferStep) {
			return nil, errResponseMemory
		}
		if _, err := io.CopyN(&data, a.body, bufferStep); err == io.EOF {
			return data.Bytes(), nil
		} else if err != nil {
			return nil, err
		}
	}
	return nil, errResponseTooBig
}

func (j *job) reserve(n int64) bool {
	if !j.s.buffered.reserve(n, maxBufferedTotal) {
		return false
	}
	j.buffered += n
	return true
}

// releaseMemory ends the reservations of the request.
func (j *job) releaseMemory() { j.s.buffered.used.Add(-j.buffered) }
