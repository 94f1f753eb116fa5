package serve

import (
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func readEvents(text string) ([]event, error) {
	reader := newEventReader(strings.NewReader(text))
	var events []event
	for {
		next, err := reader.next()
		if err != nil {
			return events, err
		}
		events = append(events, next)
	}
}

func TestIncompleteEventIsAnError(t *testing.T) {
	long := "data: " + strings.Repeat("x", 20_000) + "\n\n"
	tests := []struct {
		name, text string
		data       []string
		err        error
	}{
		{"two", "id: 0\ndata: a\n\ndata: b\n\n", []string{"a", "b"}, io.EOF},
		{"carriage returns", "data: a\r\n\r\n", []string{"a"}, io.EOF},
		{"half an event", "data: a\n\ndata: b\n", []string{"a"}, io.ErrUnexpectedEOF},
		{"half a line", "data: a\n\nda", []string{"a"}, io.ErrUnexpectedEOF},
		{"longer than the buffer", long, []string{strings.Repeat("x", 20_000)}, io.EOF},
		{"blank lines between", "\n\ndata: a\n\n\n", []string{"a"}, io.EOF},
		{"comment", ": ping\n\n", []string{""}, io.EOF},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			events, err := readEvents(test.text)
			c.Check(err, qt.Equals, test.err)
			c.Assert(events, qt.HasLen, len(test.data))
			for i, e := range events {
				c.Check(string(e.data), qt.Equals, test.data[i])
			}
		})
	}
}

func FuzzEventsAddNoBytes(f *testing.F) {
	f.Add("id: 0\ndata: a\n\ndata: b\n\n")
	f.Add("\n\r\n: x\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		events, _ := readEvents(text)
		joined := ""
		for _, e := range events {
			if !strings.HasSuffix(string(e.raw), "\n") {
				t.Fatalf("event %q is not complete", e.raw)
			}
			joined += string(e.raw)
		}
		if len(joined) > len(text) {
			t.Fatalf("got %d bytes from %d", len(joined), len(text))
		}
	})
}
