package peers

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/process/origins"
)

const (
	maxDatagramBytes = 16 << 10
	// minInterval is the heartbeat interval in a small fleet.
	minInterval = 250 * time.Millisecond
	// maxHeartbeatsPerSecond bounds the heartbeats that a router sends per second, by
	// longer intervals in a large fleet.
	maxHeartbeatsPerSecond = 150
	// maxLostHeartbeats is the number of consecutive lost heartbeats after which a router
	// counts as dead.
	maxLostHeartbeats = 3
	// maxEarlyFactor bounds heartbeats that are sent before their time, as a multiple of the usual rate.
	maxEarlyFactor = 10
	// finalHeartbeats is how often a stopping router sends its last heartbeat, since
	// datagrams get lost.
	finalHeartbeats = 3
)

// Interval returns the heartbeat interval among n routers.
func Interval(n int) time.Duration {
	return max(minInterval, time.Duration(n)*time.Second/maxHeartbeatsPerSecond)
}

// minRolloutInterval is the heartbeat interval in a small fleet while a rollout is in progress.
const minRolloutInterval = 150 * time.Millisecond

// IntervalInRollout returns the heartbeat interval among n routers while a rollout is in progress. The endpoints
// of one of the versions idle then and lower the mean load of their service, so that counts must be fresher
// to keep the others within a multiple of that mean.
func IntervalInRollout(n int) time.Duration { return max(minRolloutInterval, Interval(n)/3) }

// Exchange sends and receives heartbeats and relayed records.
type Exchange struct {
	Table       *Table
	Conn        net.PacketConn
	Log         logr.Logger
	Self        func() Heartbeat                 // returns this router's heartbeat; Number is set by Run
	OnHeartbeat func(now time.Time, h Heartbeat) // called with each heartbeat received, outdated ones too
	OnStoreLost func(now time.Time)              // called when a router tells that it no longer reaches the store; may be nil
	OnRelay     func(now time.Time, r Relay)     // called with records that another router read
	OnQuery     func(now time.Time, q OriginQuery) origins.Answer
	OnBegun     func(now time.Time, list []origins.Begun, from string) // called with streams that this router is to save
	OnSaved     func(saved []origins.Key)                              // called with streams of this router that another one saved
	Interval    func(n int) time.Duration                              // between heartbeats among n routers; nil is the function Interval
	OnPermit    func(now time.Time, p Permit, from string)             // called with messages about permits; may be nil
	Wake        chan struct{}                                          // makes Run send a heartbeat at once; buffers one

	number int64

	queriesMu sync.Mutex // guards the fields below; leaf
	queries   map[int64]chan origins.Answer
	lastQuery int64
}

// Run sends and receives until ctx ends, and then sends the final heartbeats.
func (e *Exchange) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.receive()
	}()
	for ctx.Err() == nil {
		e.send()
		interval := e.interval(e.Table.Count(time.Now()))
		gap := interval / maxEarlyFactor
		wait(ctx, gap, nil)
		wait(ctx, interval-gap, e.Wake)
	}
	for range finalHeartbeats {
		e.send()
	}
	_ = e.Conn.Close()
	<-done
}

func (e *Exchange) interval(n int) time.Duration {
	if e.Interval == nil {
		return Interval(n)
	}
	return e.Interval(n)
}

// wait returns after d, when ctx ends, or when it receives from wake.
func wait(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-t.C:
	}
}

// SendNow sends a heartbeat before its time: at once, or as soon as maxEarlyFactor allows.
func (e *Exchange) SendNow() {
	select {
	case e.Wake <- struct{}{}:
	default:
	}
}

// send sends one heartbeat to every known router.
func (e *Exchange) send() {
	h := e.Self()
	e.number++
	h.Number = e.number
	e.broadcast(message{Heartbeat: &h})
}

// Relay sends records to every known router. Records that do not fit into a
// datagram are not sent; the others read them from the log.
func (e *Exchange) Relay(r Relay) { e.broadcast(message{Relay: &r}) }

// SendBegun sends streams to the router that saves them. Those of a datagram that gets lost come
// with the next heartbeat.
func (e *Exchange) SendBegun(list []origins.Begun, addr string) {
	e.sendTo(message{Begun: list}, []string{addr})
}

// SendSaved confirms to the router at addr that its streams are saved.
func (e *Exchange) SendSaved(saved []origins.Key, addr string) {
	e.sendTo(message{Saved: saved}, []string{addr})
}

func (e *Exchange) broadcast(m message) { e.sendTo(m, e.Table.Addresses()) }

func (e *Exchange) sendTo(m message, addrs []string) {
	data, err := json.Marshal(m)
	if err != nil {
		e.Log.Error(err, "encoding datagram failed")
		return
	}
	if data = compress(data); len(data) > maxDatagramBytes {
		e.Log.Info("datagram over the size limit not sent", "bytes", len(data), "heartbeat", m.Heartbeat != nil)
		return
	}
	for _, addr := range addrs {
		udp, err := net.ResolveUDPAddr("udp", addr)
		if err != nil {
			e.Log.Info("resolving router address failed", "addr", addr, "error", err.Error())
			continue
		}
		_, _ = e.Conn.WriteTo(data, udp) // a lost heartbeat is followed by the next
	}
}

func (e *Exchange) receive() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := e.Conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier datagram was rejected by its receiver's host
		}
		e.receiveOne(time.Now(), buf[:n], from.String())
	}
}

// receiveOne handles one datagram. Malformed datagrams are dropped.
func (e *Exchange) receiveOne(now time.Time, data []byte, from string) {
	var m message
	data, err := decompress(data)
	if err == nil {
		err = json.Unmarshal(data, &m)
	}
	if err != nil {
		e.Log.V(1).Info("datagram dropped", "from", from, "error", err.Error())
		return
	}
	e.handle(now, m, from)
}

func (e *Exchange) handle(now time.Time, m message, from string) {
	if m.Relay != nil {
		e.OnRelay(now, *m.Relay)
	}
	if m.Query != nil {
		e.handleQuery(now, *m.Query, from)
	}
	if m.Reply != nil {
		e.handleReply(*m.Reply)
	}
	if m.Begun != nil && e.OnBegun != nil {
		e.OnBegun(now, m.Begun, from)
	}
	if m.Saved != nil && e.OnSaved != nil {
		e.OnSaved(m.Saved)
	}
	if m.Permit != (Permit{}) && e.OnPermit != nil {
		e.OnPermit(now, m.Permit, from)
	}
	if m.Heartbeat == nil {
		return
	}
	last, heard := e.Table.Last(m.Heartbeat.Name)
	if e.Table.RecordHeartbeat(now, *m.Heartbeat, from) {
		e.Log.Info("router found", "router", m.Heartbeat.Name, "from", from)
	}
	if !heard || last.Incarnation != m.Heartbeat.Incarnation {
		e.SendNow() // the new process waits to hear from others
	}
	e.OnHeartbeat(now, *m.Heartbeat)
	if heard && last.StoreReachable && !m.Heartbeat.StoreReachable && e.OnStoreLost != nil {
		e.OnStoreLost(now)
	}
}

// DeadAfter returns the time without a heartbeat after which a router among n is no
// longer named to callers.
func DeadAfter(n int) time.Duration {
	const least = 2 * time.Second
	return max(least, maxLostHeartbeats*Interval(n))
}
