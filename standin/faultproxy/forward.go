package faultproxy

import (
	"net"
	"time"
)

// Bounds of the bytes in flight in one direction.
const (
	chunkBytes  = 32 << 10
	maxInFlight = 1024 // chunks
)

// chunk is a run of bytes in flight.
type chunk struct {
	due  time.Time
	data []byte
}

// forward forwards bytes in one direction until it ends.
func (p *Proxy) forward(conn *proxiedConn, direction Direction, from, to net.Conn) {
	defer p.end(conn, direction)
	transit := make(chan chunk, maxInFlight)
	written := make(chan struct{})
	p.wg.Go(func() {
		defer close(written)
		deliver(conn, direction, transit, to)
	})
	for {
		data := make([]byte, chunkBytes)
		n, err := from.Read(data)
		if n > 0 {
			transit <- chunk{due: time.Now().Add(time.Duration(p.delay.Load())), data: data[:n]}
		}
		if err != nil {
			break
		}
	}
	close(transit)
	<-written
}

// deliver writes chunks when they are due, and discards those of a blackholed direction.
func deliver(conn *proxiedConn, direction Direction, transit <-chan chunk, to net.Conn) {
	for c := range transit {
		if wait := time.Until(c.due); wait > 0 {
			time.Sleep(wait)
		}
		if conn.blackholed[direction].Load() {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			conn.close()
		}
	}
}
