package http1

import (
	"bufio"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestBodiesShareTheirMemory(t *testing.T) {
	const limit, total = 8 << 20, 48 << 20
	for name, framed := range map[string]func(size int) (string, int64){
		"length": func(size int) (string, int64) { return strings.Repeat("x", size), int64(size) },
		"no end": func(size int) (string, int64) { return strings.Repeat("x", size), UntilClose },
		"chunked": func(size int) (string, int64) {
			return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size)), Chunked
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := &Memory{}
			read := func(size int) (int, int64, error) {
				text, length := framed(size)
				data, reserved, err := NewBody(bufio.NewReader(strings.NewReader(text)), length).ReadReserved(limit, total, m)
				return len(data), reserved, err
			}
			for _, size := range []int{1, reserveStep, reserveStep + 1, limit} {
				n, reserved, err := read(size)
				c.Assert(err, qt.IsNil)
				c.Assert(n, qt.Equals, size)
				c.Assert(reserved >= int64(size), qt.IsTrue)
				m.Release(reserved)
				c.Assert(m.Used(), qt.Equals, int64(0))
			}
			_, reserved, err := read(limit + 1)
			c.Assert(err, qt.Equals, ErrBodyTooBig)
			m.Release(reserved)
			held := []int64{}
			for err = nil; err == nil; {
				_, reserved, err = read(limit / 2)
				held = append(held, reserved)
			}
			c.Assert(err, qt.Equals, ErrMemory)
			c.Assert(len(held) >= total/limit, qt.IsTrue)
			c.Assert(m.Used() <= total, qt.IsTrue)
			for _, reserved := range held {
				m.Release(reserved)
			}
			c.Assert(m.Used(), qt.Equals, int64(0))
			_, _, err = read(1)
			c.Assert(err, qt.IsNil)
		})
	}
}
