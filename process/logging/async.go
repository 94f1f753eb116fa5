package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncBytes bounds the lines buffered for a slow reader.
	asyncBytes = 256 << 10
	// asyncFlushInterval is how long lines are collected before they are written.
	asyncFlushInterval = 100 * time.Millisecond
	// atomicBytes is the largest write that a pipe takes atomically (PIPE_BUF), so
	// lines up to it are not interleaved with those of others that share the pipe.
	atomicBytes = 4096
)

// AsyncWriter is a writer that never blocks: lines are buffered up to a bound and
// dropped when the buffer is full. The next line that fits is preceded by the
// number of dropped lines. No other lock is taken while AsyncWriter.mu is held.
type AsyncWriter struct {
	out     io.Writer
	dropped atomic.Int64

	mu               sync.Mutex
	buffered         []byte
	droppedSinceLast int64 // lines dropped since the last line that fitted
	closed           bool
	wake             chan struct{}
	done             chan struct{}
}

// NewAsyncWriter returns a writer to out. Close flushes it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer for one line. It always reports success.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		a.dropped.Add(1)
		return len(line), nil
	}
	notice := ""
	if a.droppedSinceLast > 0 {
		notice = fmt.Sprintf("{\"level\":\"info\",\"msg\":\"log lines left out\",\"reason\":\"slow reader\",\"lines\":%d}\n", a.droppedSinceLast)
	}
	if len(a.buffered)+len(notice)+len(line) > asyncBytes {
		a.droppedSinceLast++
		a.dropped.Add(1)
		return len(line), nil
	}
	wasEmpty := len(a.buffered) == 0
	a.buffered = append(a.buffered, notice...)
	a.droppedSinceLast = 0
	if wasEmpty {
		select {
		case a.wake <- struct{}{}:
		default:
		}
	}
	a.buffered = append(a.buffered, line...)
	return len(line), nil
}

// Dropped returns the number of dropped lines ("left out" in the log).
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

func (a *AsyncWriter) run() {
	defer close(a.done)
	var buf []byte
	for range a.wake {
		time.Sleep(asyncFlushInterval)
		buf = a.flush(buf)
	}
	a.flush(buf)
}

// flush writes the buffered lines and returns the buffer for reuse.
func (a *AsyncWriter) flush(buf []byte) []byte {
	a.mu.Lock()
	buf, a.buffered = a.buffered, buf[:0]
	a.mu.Unlock()
	for rest := buf; len(rest) > 0; {
		n := chunkLength(rest)
		_, _ = a.out.Write(rest[:n]) // a failure of the log cannot be reported anywhere
		rest = rest[n:]
	}
	return buf[:0]
}

// chunkLength returns the length of the complete lines that fit into one atomic
// write, or of the first line if that is longer.
func chunkLength(lines []byte) int {
	if len(lines) <= atomicBytes {
		return len(lines)
	}
	if i := bytes.LastIndexByte(lines[:atomicBytes], '\n'); i >= 0 {
		return i + 1
	}
	if i := bytes.IndexByte(lines, '\n'); i >= 0 {
		return i + 1
	}
	return len(lines)
}

// Close flushes the buffered lines, for at most timeout. Lines that are written afterwards are dropped.
func (a *AsyncWriter) Close(timeout time.Duration) {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	close(a.wake)
	select {
	case <-a.done:
	case <-time.After(timeout):
	}
}
