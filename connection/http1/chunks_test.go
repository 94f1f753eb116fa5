package http1

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against data that waits for the data of the next chunk, whose size has arrived.
func TestChunkDoesNotWaitForTheNextOne(t *testing.T) {
	for _, rest := range []string{"", "\r", "\r\n", "\r\n5", "\r\n5\r", "\r\n5\r\n", "\r\n5\r\nev"} {
		c := qt.New(t)
		src, other := io.Pipe()
		go func() { _, _ = io.WriteString(other, "4\r\nfour"+rest) }()
		body := NewBody(bufio.NewReader(src), Chunked)
		got := make(chan string, 1)
		go func() {
			data := make([]byte, 100)
			n, _ := body.Read(data)
			got <- string(data[:n])
		}()
		select {
		case data := <-got:
			c.Check(strings.HasPrefix(data, "four"), qt.IsTrue, qt.Commentf("%q: %q", rest, data))
		case <-time.After(time.Second):
			c.Errorf("nothing was read of a chunk that is followed by %q", rest)
		}
		_ = other.Close()
	}
}

// A body whose chunk is followed by other bytes is refused before their line ends.
func TestBytesThatAreNoChunkAreRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	for _, begin := range []string{"4\r\nfourx", "4\r\nfour\rx"} {
		r, w := io.Pipe()
		go func() { _, _ = io.WriteString(w, begin) }() // and nothing else
		_, err := NewBody(bufio.NewReader(r), Chunked).ReadAll(100)
		c.Assert(err, qt.ErrorIs, ErrMalformed)
		c.Assert(r.Close(), qt.IsNil)
	}
}
