package peers

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

const (
	// datagramBytes bounds a beat.
	datagramBytes = 16 << 10
	// leastInterval is the pause between beats in a small fleet.
	leastInterval = 250 * time.Millisecond
	// beatsEach bounds the beats that a router sends a second, by longer pauses
	// in a large fleet.
	beatsEach = 28
	// beatsLost is how many beats in a row a live router may lose.
	beatsLost = 6
	// farewells is how often a router says that it leaves, as datagrams get lost.
	farewells = 3
)

// Interval returns the pause between beats among n routers.
func Interval(n int) time.Duration {
	return max(leastInterval, time.Duration(n)*time.Second/beatsEach)
}

// Exchange sends and receives beats.
type Exchange struct {
	Table *Table
	Conn  net.PacketConn
	Log   logr.Logger
	Self  func() Beat                 // this router now; Number is set by Run
	Heard func(now time.Time, b Beat) // called after a beat changed the table
	Kick  chan struct{}               // sends a beat at once

	number int64
}

// Run sends and receives until ctx ends, and then says farewell.
func (e *Exchange) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.receive()
	}()
	for ctx.Err() == nil {
		e.send()
		t := time.NewTimer(Interval(e.Table.Count(time.Now())))
		select {
		case <-ctx.Done():
		case <-e.Kick:
		case <-t.C:
		}
		t.Stop()
	}
	for range farewells {
		e.send()
	}
	_ = e.Conn.Close()
	<-done
}

// send sends one beat to every known router.
func (e *Exchange) send() {
	b := e.Self()
	e.number++
	b.Number = e.number
	data, err := json.Marshal(b)
	if err != nil {
		e.Log.Error(err, "beat not encoded")
		return
	}
	for _, addr := range e.Table.Addresses() {
		udp, err := net.ResolveUDPAddr("udp", addr)
		if err != nil {
			e.Log.Info("address of a router not read", "addr", addr, "error", err.Error())
			continue
		}
		_, _ = e.Conn.WriteTo(data, udp) // a lost beat is followed by the next
	}
}

func (e *Exchange) receive() {
	buf := make([]byte, datagramBytes)
	for {
		n, from, err := e.Conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier datagram found no receiver
		}
		var b Beat
		if err := json.Unmarshal(buf[:n], &b); err != nil {
			e.Log.V(1).Info("datagram left out", "from", from.String(), "error", err.Error())
			continue
		}
		now := time.Now()
		if e.Table.Hear(now, b, from.String()) {
			e.Log.Info("router found", "router", b.Name, "from", from.String())
		}
		e.Heard(now, b)
	}
}

// DeadAfter returns the time after which a silent router among n is not named
// to callers.
func DeadAfter(n int) time.Duration {
	const least = 2 * time.Second
	return max(least, beatsLost*Interval(n)/2)
}
