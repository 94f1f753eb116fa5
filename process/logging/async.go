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
	// asyncBytes bounds the lines that wait for a slow reader.
	asyncBytes = 256 << 10
	// asyncFlush is the pause between writes.
	asyncFlush = 100 * time.Millisecond
	// atomicBytes is what a pipe takes in one piece (PIPE_BUF): a reader of many
	// processes never sees lines torn apart by others.
	atomicBytes = 4096
)

// Async is a writer that never blocks: lines wait in a bounded buffer and are
// left out when it is full. The next line that fits is preceded by the number
// of lines left out. Async.mu is a leaf.
type Async struct {
	out     io.Writer
	dropped atomic.Int64

	mu      sync.Mutex
	waiting []byte
	lost    int64 // lines left out since the last line that fitted
	wake    chan struct{}
	done    chan struct{}
}

// NewAsync returns a writer to out. Close flushes it.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer for one line. It always reports success.
func (a *Async) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting)+len(line) > asyncBytes {
		a.lost++
		a.dropped.Add(1)
		return len(line), nil
	}
	wasEmpty := len(a.waiting) == 0
	if a.lost > 0 {
		a.waiting = fmt.Appendf(a.waiting, "{\"level\":\"info\",\"msg\":\"log lines left out\",\"reason\":\"slow reader\",\"lines\":%d}\n", a.lost)
		a.lost = 0
	}
	if wasEmpty {
		select {
		case a.wake <- struct{}{}:
		default:
		}
	}
	a.waiting = append(a.waiting, line...)
	return len(line), nil
}

// Dropped returns the number of lines left out.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

func (a *Async) run() {
	defer close(a.done)
	var buf []byte
	for range a.wake {
		time.Sleep(asyncFlush)
		buf = a.flush(buf)
	}
	a.flush(buf)
}

// flush writes what waits and returns the buffer for the next time.
func (a *Async) flush(buf []byte) []byte {
	a.mu.Lock()
	buf, a.waiting = a.waiting, buf[:0]
	a.mu.Unlock()
	for rest := buf; len(rest) > 0; {
		n := pieceLength(rest)
		_, _ = a.out.Write(rest[:n]) // there is nowhere to report a broken log
		rest = rest[n:]
	}
	return buf[:0]
}

// pieceLength returns the length of the whole lines that fit into one atomic
// write, or of the first line if that is longer.
func pieceLength(lines []byte) int {
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

// Close writes what waits, for at most the given time. Nothing may be written
// after it.
func (a *Async) Close(timeout time.Duration) {
	close(a.wake)
	select {
	case <-a.done:
	case <-time.After(timeout):
	}
}
