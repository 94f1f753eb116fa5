package faultproxy

import (
	"net"
	"time"
)

// Sizes of what a direction holds in transit.
const (
	chunkBytes  = 32 << 10
	maxInFlight = 1024 // chunks
)

// chunk is a run of bytes on its way.
type chunk struct {
	due  time.Time
	data []byte
}

// pump passes bytes on in one direction until it ends.
func (r *Proxy) pump(l *link, direction Direction, from, to net.Conn) {
	defer r.end(l, direction)
	transit := make(chan chunk, maxInFlight)
	written := make(chan struct{})
	r.wg.Go(func() {
		defer close(written)
		deliver(l, direction, transit, to)
	})
	for {
		data := make([]byte, chunkBytes)
		n, err := from.Read(data)
		if n > 0 {
			transit <- chunk{due: time.Now().Add(time.Duration(r.delay.Load())), data: data[:n]}
		}
		if err != nil {
			break
		}
	}
	close(transit)
	<-written
}

// deliver writes chunks when they are due. Bytes of a dropped direction
// vanish.
func deliver(l *link, direction Direction, transit <-chan chunk, to net.Conn) {
	for c := range transit {
		if wait := time.Until(c.due); wait > 0 {
			time.Sleep(wait)
		}
		if l.dropped[direction].Load() {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			l.close()
		}
	}
}
