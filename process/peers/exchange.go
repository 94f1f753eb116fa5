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
	beatsEach = 150
	// beatsLost is how many beats in a row a live router may lose.
	beatsLost = 3
	// farewells is how often a router says that it leaves, as datagrams get lost.
	farewells = 3
)

// Interval returns the pause between beats among n routers.
func Interval(n int) time.Duration {
	return max(leastInterval, time.Duration(n)*time.Second/beatsEach)
}

// Exchange sends and receives beats.
type Exchange struct {
	Table       *Table
	Conn        net.PacketConn
	Log         logr.Logger
	Self        func() Heartbeat                 // this router now; Number is set by Run
	OnHeartbeat func(now time.Time, b Heartbeat) // called after a beat changed the table
	OnRelay     func(now time.Time, r Relay)     // called with records that another router read
	Wake        chan struct{}                    // sends a beat at once

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
		case <-e.Wake:
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

// SendNow sends a beat before its time.
func (e *Exchange) SendNow() {
	select {
	case e.Wake <- struct{}{}:
	default:
	}
}

// send sends one beat to every known router.
func (e *Exchange) send() {
	b := e.Self()
	e.number++
	b.Number = e.number
	e.broadcast(message{Beat: &b})
}

// Relay sends records to every known router. Those that do not fit into a
// datagram are left for the others to read.
func (e *Exchange) Relay(r Relay) { e.broadcast(message{Relay: &r}) }

func (e *Exchange) broadcast(m message) {
	data, err := json.Marshal(m)
	if err != nil {
		e.Log.Error(err, "datagram not encoded")
		return
	}
	if data = pack(data); len(data) > datagramBytes {
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
		e.receiveOne(time.Now(), buf[:n], from.String())
	}
}

// receiveOne takes one datagram. What cannot be read is left out.
func (e *Exchange) receiveOne(now time.Time, data []byte, from string) {
	var m message
	data, err := unpack(data)
	if err == nil {
		err = json.Unmarshal(data, &m)
	}
	if err != nil {
		e.Log.V(1).Info("datagram left out", "from", from, "error", err.Error())
		return
	}
	e.handle(now, m, from)
}

func (e *Exchange) handle(now time.Time, m message, from string) {
	if m.Relay != nil {
		e.OnRelay(now, *m.Relay)
	}
	if m.Beat == nil {
		return
	}
	if e.Table.RecordHeartbeat(now, *m.Beat, from) {
		e.Log.Info("router found", "router", m.Beat.Name, "from", from)
	}
	e.OnHeartbeat(now, *m.Beat)
}

// DeadAfter returns the time after which a silent router among n is not named
// to callers.
func DeadAfter(n int) time.Duration {
	const least = 2 * time.Second
	return max(least, beatsLost*Interval(n))
}
