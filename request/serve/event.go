package serve

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// event is one server-sent event with the blank line that ends it.
type event struct {
	raw  []byte
	id   []byte // nil if absent
	data []byte // of all data lines, joined without newlines
}

// eventReader splits a response into complete server-sent events.
type eventReader struct {
	lines *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(r, 4<<10)}
}

// next returns the next complete event. An incomplete event at the end of the
// input is an error.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.lines.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			e.raw = append(e.raw, line...)
			if len(e.raw) > maxEventBytes {
				return event{}, errors.New("event is too large")
			}
			continue
		}
		if err != nil {
			return event{}, readError(err, len(e.raw)+len(line))
		}
		start := lineStart(e.raw)
		e.raw = append(e.raw, line...)
		if len(e.raw) > maxEventBytes {
			return event{}, errors.New("event is too large")
		}
		trimmed := bytes.TrimRight(e.raw[start:], "\r\n")
		if data, found := bytes.CutPrefix(trimmed, []byte("data:")); found {
			e.data = append(e.data, bytes.TrimPrefix(data, []byte(" "))...)
		}
		if id, found := bytes.CutPrefix(trimmed, []byte("id:")); found {
			e.id = bytes.TrimSpace(bytes.Clone(id))
		}
		if len(trimmed) == 0 && len(e.raw) > len(line) {
			return e, nil
		}
		if len(trimmed) == 0 {
			e.raw = e.raw[:0]
		}
	}
}

// lineStart returns the start of the last line in raw.
func lineStart(raw []byte) int {
	return bytes.LastIndexByte(raw, '\n') + 1
}

func readError(err error, partial int) error {
	if err == io.EOF && partial > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
