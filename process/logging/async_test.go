package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// blockedWriter is a writer whose Write blocks until wait is closed.
type blockedWriter struct {
	mu   sync.Mutex
	data bytes.Buffer
	wait chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.wait
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.data.Write(p)
}

// A reader that stops reading must not block logging or let the buffer grow
// beyond its bound. The number of dropped lines is logged once it reads again.
func TestAsyncWithStuckReader(t *testing.T) {
	c := qt.New(t)
	out := &blockedWriter{wait: make(chan struct{})}
	a := NewAsyncWriter(out)
	log := New(a, "info")
	began := time.Now()
	const lines = 20_000
	for n := range lines {
		log.Info("request", "number", n, "padding", strings.Repeat("x", 60))
	}
	c.Assert(time.Since(began) < 5*time.Second, qt.IsTrue)
	c.Assert(a.Dropped() > lines/2, qt.IsTrue)
	a.mu.Lock()
	c.Assert(len(a.buffered) <= asyncBytes, qt.IsTrue)
	a.mu.Unlock()
	close(out.wait)
	for range 1000 { // until the buffer is empty
		a.mu.Lock()
		n := len(a.buffered)
		a.mu.Unlock()
		if n == 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	log.Info("after")
	a.Close(5 * time.Second)
	text := out.data.String()
	c.Assert(strings.Contains(text, `"log lines left out","reason":"slow reader","lines":`), qt.IsTrue)
	c.Assert(strings.HasSuffix(text, "\"msg\":\"after\"}\n"), qt.IsTrue)
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		c.Assert(strings.HasPrefix(line, "{") && strings.HasSuffix(line, "}"), qt.IsTrue)
	}
}

// A short line that would fit by itself must not bring the notice of dropped lines over the bound.
func TestNoticeOfDroppedLinesCounts(t *testing.T) {
	c := qt.New(t)
	out := &blockedWriter{wait: make(chan struct{})}
	a := NewAsyncWriter(out)
	line := bytes.Repeat([]byte("x"), asyncBytes/100) // leaves room for a short line, but not for the notice
	for a.Dropped() == 0 {
		_, _ = a.Write(line)
	}
	for range len(line) {
		_, _ = a.Write([]byte("x"))
	}
	a.mu.Lock()
	c.Assert(len(a.buffered) <= asyncBytes, qt.IsTrue, qt.Commentf("%d bytes", len(a.buffered)))
	a.mu.Unlock()
	close(out.wait)
	a.Close(5 * time.Second)
}

func TestCloseReturnsDespiteStuckReader(t *testing.T) {
	c := qt.New(t)
	out := &blockedWriter{wait: make(chan struct{})}
	a := NewAsyncWriter(out)
	_, _ = a.Write([]byte("{}\n"))
	began := time.Now()
	a.Close(50 * time.Millisecond)
	c.Assert(time.Since(began) < 5*time.Second, qt.IsTrue)
	close(out.wait)
}

// chunks records each write.
type chunks struct{ list []string }

func (c *chunks) Write(b []byte) (int, error) {
	c.list = append(c.list, string(b))
	return len(b), nil
}

// Each write consists of complete lines and is small enough to be atomic on a
// pipe, unless a single line is longer.
func TestAsyncWritesWholeLines(t *testing.T) {
	c := qt.New(t)
	out := &chunks{}
	a := NewAsyncWriter(out)
	long := strings.Repeat("y", 2*atomicBytes) + "\n"
	for n := range 500 {
		_, _ = a.Write([]byte(strings.Repeat("x", n) + "\n"))
	}
	_, _ = a.Write([]byte(long))
	a.Close(5 * time.Second)
	for _, chunk := range out.list {
		c.Assert(strings.HasSuffix(chunk, "\n"), qt.IsTrue)
		c.Assert(len(chunk) <= atomicBytes || chunk == long, qt.IsTrue)
	}
}

// A process logs until its end, also after its log was closed.
func TestWriteAfterCloseIsDropped(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	a := NewAsyncWriter(&out)
	_, _ = a.Write([]byte("{}\n"))
	a.Close(5 * time.Second)
	_, err := a.Write([]byte("late\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(out.String(), qt.Equals, "{}\n")
	c.Assert(a.Dropped(), qt.Equals, int64(1))
}
