package http1

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrMemory is returned for a body that would bring those in memory above their limit.
var ErrMemory = errors.New("HTTP bodies exceed the memory limit")

// reserveStep is how much of a body of unknown length is read and reserved at a time.
const reserveStep = 64 << 10

// Memory counts the bytes that bodies hold. The zero value holds none. It is safe for
// concurrent use.
type Memory struct{ used atomic.Int64 }

// Used returns the bytes that are reserved.
func (m *Memory) Used() int64 { return m.used.Load() }

// Release returns bytes that were reserved.
func (m *Memory) Release(n int64) { m.used.Add(-n) }

func (m *Memory) reserve(n, total int64) bool {
	if m.used.Add(n) <= total {
		return true
	}
	m.used.Add(-n)
	return false
}

// ReadReserved reads a whole body of at most limit bytes. It first reserves their memory, of
// which all bodies together may have total bytes. The caller releases what was reserved, also
// after an error: ErrBodyTooBig, ErrMemory or that of reading.
func (b *Body) ReadReserved(limit, total int64, m *Memory) (data []byte, reserved int64, err error) {
	if b.length >= 0 {
		if b.length > limit {
			return nil, 0, ErrBodyTooBig
		}
		if !m.reserve(b.length, total) {
			return nil, 0, ErrMemory
		}
		data, err = b.ReadAll(limit)
		return data, b.length, err
	}
	var buffer bytes.Buffer
	for int64(buffer.Len()) <= limit {
		if !m.reserve(reserveStep, total) {
			return nil, reserved, ErrMemory
		}
		reserved += reserveStep
		if _, err := io.CopyN(&buffer, b, min(reserveStep, limit+1-int64(buffer.Len()))); err == io.EOF {
			return buffer.Bytes(), reserved, nil
		} else if err != nil {
			return nil, reserved, err
		}
	}
	return nil, reserved, ErrBodyTooBig
}
