package forward

import (
	"bufio"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/connection/http1"
)

func TestBufferedResponsesShareTheirMemory(t *testing.T) {
	c := qt.New(t)
	s := &Server{}
	read := func(size int, length int64) (*job, string, error) {
		j := &job{s: s}
		body := http1.NewBody(bufio.NewReader(strings.NewReader(strings.Repeat("x", size))), length)
		data, err := j.readBody(&attempt{head: &http1.Head{Length: length}, body: body})
		return j, string(data), err
	}
	for _, size := range []int{0, 1, bufferStep, bufferStep + 1, maxBufferedBytes} {
		for _, length := range []int64{int64(size), http1.UntilClose} {
			j, data, err := read(size, length)
			c.Assert(err, qt.IsNil)
			c.Assert(len(data), qt.Equals, size)
			j.releaseMemory()
			c.Assert(s.buffered.used.Load(), qt.Equals, int64(0))
		}
	}
	const tooBig = maxBufferedBytes + bufferStep + 1
	var err error
	for _, length := range []int64{tooBig, http1.UntilClose} {
		var j *job
		j, _, err = read(tooBig, length)
		c.Assert(err, qt.Equals, errResponseTooBig)
		j.releaseMemory()
	}
	var held []*job
	for err == errResponseTooBig || err == nil {
		var j *job
		j, _, err = read(maxBufferedBytes/2, http1.UntilClose)
		held = append(held, j)
	}
	c.Assert(err, qt.Equals, errResponseMemory)
	c.Assert(s.buffered.used.Load() <= maxBufferedTotal, qt.IsTrue)
	for _, j := range held {
		j.releaseMemory()
	}
	_, _, err = read(1, 1)
	c.Assert(err, qt.IsNil)
}
