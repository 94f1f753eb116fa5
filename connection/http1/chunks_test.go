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
